#ifndef YUCCAPICK_SHELL_TOML_READER_H_
#define YUCCAPICK_SHELL_TOML_READER_H_

/// @file
/// Reads typed values out of a TOML table and collects every error.

#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace yuccapick {

/// Collects error messages that begin with file and line.
class TomlErrors {
 public:
  explicit TomlErrors(std::string file) : file_(std::move(file)) {}

  void Add(const toml::source_region& place, std::string_view text);
  bool empty() const { return messages_.empty(); }
  std::string Joined() const;

 private:
  std::string file_;
  std::vector<std::string> messages_;
};

/// Reads one table. A key that is absent leaves the value as it is; keys that
/// no call asked for are reported by `Finish`.
class TomlReader {
 public:
  /// @param table null stands for an absent table
  TomlReader(const toml::table* table, std::string name, TomlErrors& errors)
      : table_(table), name_(std::move(name)), errors_(errors) {}

  TomlReader Table(const char* key);
  void Read(const char* key, std::string& value);
  void Read(const char* key, bool& value);
  void Read(const char* key, std::vector<std::string>& value);
  void ReadPort(const char* key, std::uint16_t& value);
  void ReadCount(const char* key, std::size_t& value);
  /// Reads a whole number of milliseconds.
  void ReadMilliseconds(const char* key, std::chrono::milliseconds& value);
  void Require(const char* key, const std::string& value,
               std::string_view remedy);
  /// Reports keys that were not read.
  void Finish();

 private:
  const toml::node* Find(const char* key);
  void WrongType(const toml::node& node, const char* key,
                 std::string_view expected);
  std::string Path(std::string_view key) const;
  bool ReadInteger(const char* key, std::int64_t low, std::int64_t high,
                   std::int64_t& value);

  const toml::table* table_;
  std::string name_;
  TomlErrors& errors_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_TOML_READER_H_
