#include "shell/toml_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace yuccapick {
namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxCount = std::int64_t{1} << 40;
constexpr std::int64_t kMaxMilliseconds = std::int64_t{1} << 40;

}  // namespace

void TomlErrors::Add(const toml::source_region& place, std::string_view text) {
  const auto line = place.begin.line;
  messages_.push_back(line == 0 ? fmt::format("{}: {}", file_, text)
                                : fmt::format("{}:{}: {}", file_, line, text));
}

std::string TomlErrors::ToString() const {
  return fmt::format("{}", fmt::join(messages_, "\n"));
}

std::string TomlReader::QualifiedKey(std::string_view key) const {
  return name_.empty() ? std::string(key) : fmt::format("{}.{}", name_, key);
}

const toml::node* TomlReader::Find(const char* key) {
  known_keys_.insert(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void TomlReader::AddTypeError(const toml::node& node, const char* key,
                              std::string_view expected) {
  errors_.Add(node.source(),
              fmt::format("'{}' must be {}", QualifiedKey(key), expected));
}

TomlReader TomlReader::Table(const char* key) {
  const toml::node* node = Find(key);
  if (node != nullptr && !node->is_table()) AddTypeError(*node, key, "a table");
  const toml::table* table = node == nullptr ? nullptr : node->as_table();
  return {table, QualifiedKey(key), errors_};
}

void TomlReader::Read(const char* key, std::string& value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  if (const auto text = node->value_exact<std::string>()) {
    value = *text;
  } else {
    AddTypeError(*node, key, "a string in quotes");
  }
}

void TomlReader::Read(const char* key, bool& value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  if (const auto flag = node->value_exact<bool>()) {
    value = *flag;
  } else {
    AddTypeError(*node, key, "true or false");
  }
}

void TomlReader::Read(const char* key, std::vector<std::string>& value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const toml::array* array = node->as_array();
  const bool texts =
      array != nullptr &&
      (array->empty() || array->is_homogeneous(toml::node_type::string));
  if (!texts) {
    AddTypeError(*node, key, "a list of strings");
    return;
  }
  value.clear();
  for (const toml::node& item : *array) {
    value.push_back(item.value_or(std::string()));
  }
}

bool TomlReader::ReadInteger(const char* key, std::int64_t low,
                             std::int64_t high, std::int64_t& value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return false;
  const auto number = node->value_exact<std::int64_t>();
  if (!number || *number < low || *number > high) {
    AddTypeError(*node, key,
                 fmt::format("a whole number from {} to {}", low, high));
    return false;
  }
  value = *number;
  return true;
}

void TomlReader::ReadPort(const char* key, std::uint16_t& value) {
  std::int64_t number = 0;
  if (ReadInteger(key, 0, kMaxPort, number)) {
    value = static_cast<std::uint16_t>(number);
  }
}

void TomlReader::ReadCount(const char* key, std::size_t& value) {
  std::int64_t number = 0;
  if (ReadInteger(key, 0, kMaxCount, number)) {
    value = static_cast<std::size_t>(number);
  }
}

void TomlReader::ReadMilliseconds(const char* key,
                                  std::chrono::milliseconds& value) {
  std::int64_t number = 0;
  if (ReadInteger(key, 0, kMaxMilliseconds, number)) {
    value = std::chrono::milliseconds(number);
  }
}

void TomlReader::Require(const char* key, const std::string& value,
                         std::string_view remedy) {
  if (!value.empty()) return;
  const toml::source_region place =
      table_ == nullptr ? toml::source_region{} : table_->source();
  errors_.Add(place,
              fmt::format("'{}' is missing; {}", QualifiedKey(key), remedy));
}

void TomlReader::Finish() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    if (known_keys_.contains(std::string(key.str()))) continue;
    errors_.Add(
        node.source(),
        fmt::format("unknown key '{}'; remove it or use one of: {}",
                    QualifiedKey(key.str()), fmt::join(known_keys_, ", ")));
  }
}

}  // namespace yuccapick
