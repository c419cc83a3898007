#include "yuccapick/suspect.h"

#include <fmt/format.h>
#include <xxhash.h>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace yuccapick {
namespace {

constexpr std::size_t kHashDigits = 16;

std::uint64_t Hash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace

std::string_view SuspectKindName(SuspectKind kind) {
  switch (kind) {
    case SuspectKind::kPart:
      return "part";
    case SuspectKind::kRequest:
      return "request";
  }
  return "unknown";
}

SuspectId SuspectOf(const RequestIdentity& request) {
  std::uint64_t hash = 0;
  for (const std::string_view field :
       {request.method, request.host, request.target, request.caller,
        request.body}) {
    hash = Hash(field, hash);
  }
  return {SuspectKind::kRequest, hash};
}

SuspectId SuspectOf(PartId part) { return {SuspectKind::kPart, part.value}; }

std::string FormatSuspect(const SuspectId& suspect) {
  return fmt::format("{}:{:016x}", SuspectKindName(suspect.kind), suspect.hash);
}

std::string FormatSuspects(const std::vector<SuspectId>& suspects) {
  std::string text;
  for (const SuspectId& it : suspects) {
    if (!text.empty()) text += ',';
    text += FormatSuspect(it);
  }
  return text.empty() ? "-" : text;
}

std::optional<SuspectId> ParseSuspect(std::string_view text) {
  for (const SuspectKind kind : {SuspectKind::kPart, SuspectKind::kRequest}) {
    const std::string prefix = fmt::format("{}:", SuspectKindName(kind));
    if (!text.starts_with(prefix)) continue;
    const std::string_view digits = text.substr(prefix.size());
    SuspectId suspect{kind, 0};
    const bool valid =
        digits.size() == kHashDigits &&
        absl::SimpleHexAtoi(absl::string_view(digits.data(), digits.size()),
                            &suspect.hash);
    if (valid) return suspect;
  }
  return std::nullopt;
}

}  // namespace yuccapick
