#ifndef YUCCAPICK_SUSPECT_H_
#define YUCCAPICK_SUSPECT_H_

/// @file
/// What upstreams may crash on: a request, or a part of a prompt.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/part_directory.h"

namespace yuccapick {

enum class SuspectKind : std::uint8_t {
  kPart,     ///< A part of prompts; many requests share it.
  kRequest,  ///< A request that its caller repeats.
};

/// Returns the name of the kind for log lines.
std::string_view SuspectKindName(SuspectKind kind);

/// Identifies a suspect among those of its kind.
struct SuspectId {
  SuspectKind kind = SuspectKind::kPart;
  std::uint64_t hash = 0;

  auto operator<=>(const SuspectId&) const = default;
};

/// What makes two requests the same one, whatever their attempts.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view caller;  ///< The caller's key; empty if it has none.
  std::string_view body;
};

SuspectId SuspectOf(const RequestIdentity& request);
SuspectId SuspectOf(PartId part);

/// Writes the kind and the hash, for example `request:00f3a1c09b5d2e47`.
std::string FormatSuspect(const SuspectId& suspect);
/// @return the suspects as in the log, or "-" if there are none
std::string FormatSuspects(const std::vector<SuspectId>& suspects);
/// @return nullopt if `text` is not of the form that `FormatSuspect` writes
std::optional<SuspectId> ParseSuspect(std::string_view text);

}  // namespace yuccapick

#endif  // YUCCAPICK_SUSPECT_H_
