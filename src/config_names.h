#ifndef YUCCAPICK_SRC_CONFIG_NAMES_H_
#define YUCCAPICK_SRC_CONFIG_NAMES_H_

/// @file
/// Names in configuration files, and references to them from other files.

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config_reader.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// True if `text` can name a team, model, adapter, service or weight version.
bool IsConfigName(std::string_view text);

/// Reports a problem if `name` is not valid.
/// @param kind what it names, for the message
void CheckConfigName(ConfigReader& reader, std::string_view kind,
                     const ConfigText& name);

/// Names that the services' files can refer to.
struct KnownNames {
  std::set<TeamId> teams;
  std::set<ModelId> models;
  std::set<AdapterId> adapters;
};

namespace detail {

/// @return the end of a message that suggests known names
template <typename Id>
std::string UseOneOf(const std::set<Id>& known) {
  constexpr std::size_t kMaxListed = 8;
  if (known.empty()) return "";
  std::string out = " or use one of:";
  std::size_t listed = 0;
  for (const Id& id : known) {
    if (listed == kMaxListed) return fmt::format("{}, ...", out);
    out += fmt::format("{} {}", listed == 0 ? "" : ",", id.value);
    ++listed;
  }
  return out;
}

}  // namespace detail

/// Reads a list of names that another file must define.
/// @param kind what they name, for messages
/// @param place where such a name is defined, for messages
/// @param out gets the known names in order, each once
template <typename Id>
void ReadReferences(ConfigReader& reader, std::string_view key,
                    std::string_view kind, std::string_view place,
                    const std::set<Id>& known, std::vector<Id>& out) {
  std::vector<ConfigText> names;
  reader.TextList(key, names);
  for (const ConfigText& name : names) {
    const Id id(name.value);
    if (!known.contains(id)) {
      reader.Report(
          name.line, key,
          fmt::format("unknown {} '{}' in '{}'", kind, name.value, key),
          fmt::format("add it under {}{}", place, detail::UseOneOf(known)));
      continue;
    }
    if (std::find(out.begin(), out.end(), id) != out.end()) {
      reader.Report(
          name.line, key,
          fmt::format("'{}' is listed twice in '{}'", name.value, key),
          "remove one of them");
      continue;
    }
    out.push_back(id);
  }
  std::sort(out.begin(), out.end());
}

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_CONFIG_NAMES_H_
