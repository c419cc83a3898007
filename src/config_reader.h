#ifndef YUCCAPICK_SRC_CONFIG_READER_H_
#define YUCCAPICK_SRC_CONFIG_READER_H_

/// @file
/// Typed access to a TOML table that reports errors and unknown keys.

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/config_parser.h"

namespace yuccapick {

/// A string from a TOML file, with its line.
struct ConfigText {
  std::string value;
  std::uint32_t line = 0;
};

/// Inclusive bounds of a number.
template <typename T>
struct ConfigRange {
  T low;
  T high;
};

/// Parses a file as TOML.
/// @param problems gets a problem if the syntax is wrong
/// @return nullopt in that case
std::optional<toml::table> ParseTomlFile(const ConfigFile& file,
                                         std::vector<ConfigProblem>& problems);

/// Reads one table. `Finish` reports every key that was not read.
class ConfigReader {
 public:
  ConfigReader(std::string file, const toml::table& table,
               std::vector<ConfigProblem>& problems)
      : file_(std::move(file)), table_(table), problems_(problems) {}

  // Each leaves `out` unchanged if the key is absent or its value is invalid.
  void Text(std::string_view key, std::string& out);
  void Flag(std::string_view key, bool& out);
  void Real(std::string_view key, ConfigRange<double> range, double& out);
  void Integer(std::string_view key, ConfigRange<std::int64_t> range,
               std::int64_t& out);
  /// Reads a list of strings.
  void TextList(std::string_view key, std::vector<ConfigText>& out);
  /// Calls `visitor` for each table of the array of tables `key`.
  void Tables(std::string_view key,
              const std::function<void(const toml::table&)>& visitor);
  /// Calls `visitor` for each named table below the table `key`.
  void NamedTables(std::string_view key,
                   const std::function<void(const ConfigText&,
                                            const toml::table&)>& visitor);

  /// Reports every key that was not read.
  void Finish();

  /// Reports a problem at `line`, or at the table's line if `line` is 0.
  void Report(std::uint32_t line, std::string_view key, std::string message,
              std::string remedy);

  bool Has(std::string_view key) const { return table_.contains(key); }
  std::uint32_t LineOf(std::string_view key) const;

 private:
  const toml::node* Find(std::string_view key);
  void ReportType(std::string_view key, std::string_view expected);

  std::string file_;
  const toml::table& table_;
  std::vector<ConfigProblem>& problems_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_CONFIG_READER_H_
