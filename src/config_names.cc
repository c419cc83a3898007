#include "config_names.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxNameBytes = 64;

}  // namespace

bool IsConfigName(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), allowed);
}

void CheckConfigName(ConfigReader& reader, std::string_view kind,
                     const ConfigText& name) {
  if (IsConfigName(name.value)) return;
  reader.Report(
      name.line, kind,
      fmt::format("'{}' is not a valid {} name", name.value, kind),
      fmt::format("use 1 to {} of a-z, 0-9, '-', '_' and '.'", kMaxNameBytes));
}

}  // namespace yuccapick
