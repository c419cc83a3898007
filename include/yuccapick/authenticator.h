#ifndef YUCCAPICK_AUTHENTICATOR_H_
#define YUCCAPICK_AUTHENTICATOR_H_

/// @file
/// Finds the team that a bearer token belongs to.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/config_snapshot.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Compares without revealing by its duration where two texts differ.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Teams by the digests of their tokens, for one configuration.
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

  /// Digests by their first characters, so that a look-up compares few.
  absl::flat_hash_map<std::string, std::vector<Entry>> entries_by_prefix_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_AUTHENTICATOR_H_
