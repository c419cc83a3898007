#ifndef YUCCAPICK_AUTHENTICATOR_H_
#define YUCCAPICK_AUTHENTICATOR_H_

/// @file
/// Maps bearer tokens to teams.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/config_snapshot.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Compares two strings, those of equal length in constant time, so that the
/// duration does not reveal where they differ.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Teams indexed by the SHA-256 digests of their tokens, for one configuration.
class Authenticator {
 public:
  explicit Authenticator(const ConfigSnapshot& config);

  /// Returns the team of `token`, or nothing if no team has it.
  std::optional<TeamId> Authenticate(std::string_view token) const;

 private:
  struct Entry {
    std::string digest;
    TeamId team;
  };

  /// Digests by their first characters, to keep the number of constant-time
  /// comparisons of a lookup small.
  absl::flat_hash_map<std::string, std::vector<Entry>> entries_by_prefix_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_AUTHENTICATOR_H_
