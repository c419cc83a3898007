#include "config_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace yuccapick {

const toml::node* ConfigReader::Find(std::string_view key) {
  read_keys_.emplace(key);
  return table_.get(key);
}

std::uint32_t ConfigReader::LineOf(std::string_view key) const {
  const toml::node* node = table_.get(key);
  return node == nullptr ? table_.source().begin.line
                         : node->source().begin.line;
}

std::optional<toml::table> ParseTomlFile(const ConfigFile& file,
                                         std::vector<ConfigProblem>& problems) {
  try {
    return toml::parse(file.text, file.path);
  } catch (const toml::parse_error& error) {
    problems.push_back({file.path, error.source().begin.line, "",
                        std::string(error.description()),
                        "correct the TOML syntax"});
    return std::nullopt;
  }
}

void ConfigReader::Report(std::uint32_t line, std::string_view key,
                          std::string message, std::string remedy) {
  if (line == 0) line = std::max(1U, table_.source().begin.line);
  problems_.push_back(
      {file_, line, std::string(key), std::move(message), std::move(remedy)});
}

void ConfigReader::ReportType(std::string_view key, std::string_view expected) {
  Report(LineOf(key), key, fmt::format("'{}' has the wrong type", key),
         fmt::format("write {}", expected));
}

void ConfigReader::Text(std::string_view key, std::string& out) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto value = node->value_exact<std::string>();
  if (!value) return ReportType(key, "a string in quotes");
  out = *value;
}

void ConfigReader::Flag(std::string_view key, bool& out) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto value = node->value_exact<bool>();
  if (!value) return ReportType(key, "true or false");
  out = *value;
}

void ConfigReader::Real(std::string_view key, ConfigRange<double> range,
                        double& out) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  if (!node->is_number()) return ReportType(key, "a number");
  const double value = node->value<double>().value_or(range.low);
  if (!(value >= range.low && value <= range.high)) {
    return Report(LineOf(key), key, fmt::format("'{}' is out of range", key),
                  fmt::format("use {} to {}", range.low, range.high));
  }
  out = value;
}

void ConfigReader::Integer(std::string_view key,
                           ConfigRange<std::int64_t> range, std::int64_t& out) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) return ReportType(key, "a whole number");
  if (*value < range.low || *value > range.high) {
    return Report(LineOf(key), key, fmt::format("'{}' is out of range", key),
                  fmt::format("use {} to {}", range.low, range.high));
  }
  out = *value;
}

void ConfigReader::TextList(std::string_view key,
                            std::vector<ConfigText>& out) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const toml::array* list = node->as_array();
  if (list == nullptr) return ReportType(key, "a list of strings");
  for (const toml::node& element : *list) {
    const auto value = element.value_exact<std::string>();
    if (!value) return ReportType(key, "a list of strings");
    out.push_back({*value, element.source().begin.line});
  }
}

void ConfigReader::Tables(
    std::string_view key,
    const std::function<void(const toml::table&)>& visitor) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    return ReportType(key, fmt::format("[[{}]] before each entry", key));
  }
  for (const toml::node& element : *list) {
    const toml::table* table = element.as_table();
    if (table == nullptr) {
      return ReportType(key, fmt::format("[[{}]] before each entry", key));
    }
    visitor(*table);
  }
}

void ConfigReader::NamedTables(
    std::string_view key,
    const std::function<void(const ConfigText&, const toml::table&)>& visitor) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const toml::table* tables = node->as_table();
  if (tables == nullptr) {
    return ReportType(key, fmt::format("[{}.NAME] before each entry", key));
  }
  for (const auto& [name, entry] : *tables) {
    const std::uint32_t line = entry.source().begin.line;
    const toml::table* table = entry.as_table();
    if (table == nullptr) {
      Report(line, key, fmt::format("'{}.{}' is not a table", key, name.str()),
             fmt::format("write [{}.{}]", key, name.str()));
      continue;
    }
    visitor({std::string(name.str()), line}, *table);
  }
}

void ConfigReader::Finish() {
  for (const auto& [key, node] : table_) {
    if (read_keys_.contains(key.str())) continue;
    Report(node.source().begin.line, key.str(),
           fmt::format("unknown key '{}'", key.str()),
           fmt::format("remove it or use one of: {}",
                       fmt::join(read_keys_, ", ")));
  }
}

}  // namespace yuccapick
