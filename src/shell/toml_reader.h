#ifndef YUCCAPICK_SHELL_TOML_READER_H_
#define YUCCAPICK_SHELL_TOML_READER_H_

/// @file
/// Reads typed values from a TOML table and collects all errors.

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
  std::string ToString() const;

 private:
  std::string file_;
  std::vector<std::string> messages_;
};

/// Reads one table. An absent key leaves the value unchanged; `Finish` reports
/// keys that were never read.
class TomlReader {
 public:
  /// @param table null stands for an absent table
  TomlReader(const toml::table* table, std::string name, TomlErrors& errors)
      : table_(table), name_(std::move(name)), errors_(errors) {}

  /// Returns a reader of the subtable `key`.
  TomlReader Table(const char* key);
  void Read(const char* key, std::string& value);
  void Read(const char* key, bool& value);
  void Read(const char* key, std::vector<std::string>& value);
  void ReadPort(const char* key, std::uint16_t& value);
  void ReadCount(const char* key, std::size_t& value);
  /// Reads a whole number of milliseconds.
  void ReadMilliseconds(const char* key, std::chrono::milliseconds& value);
  /// Adds an error if `value` is empty.
  /// @param remedy appended to the message
  void Require(const char* key, const std::string& value,
               std::string_view remedy);
  /// Reports keys that were not read.
  void Finish();

 private:
  const toml::node* Find(const char* key);
  void AddTypeError(const toml::node& node, const char* key,
                    std::string_view expected);
  std::string QualifiedKey(std::string_view key) const;
  bool ReadInteger(const char* key, std::int64_t low, std::int64_t high,
                   std::int64_t& value);

  const toml::table* table_;
  std::string name_;
  TomlErrors& errors_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_TOML_READER_H_
