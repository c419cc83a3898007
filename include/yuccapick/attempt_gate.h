#ifndef YUCCAPICK_ATTEMPT_GATE_H_
#define YUCCAPICK_ATTEMPT_GATE_H_

/// @file
/// First stage of the agent: refuses attempts that were decided for another
/// incarnation, configuration or set of weights.

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "yuccapick/error.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Checks each attempt at the moment of use. A refusal is always not run.
class AttemptGate {
 public:
  // Commands.

  /// Takes a configuration version that was seen; only rises.
  void ObserveConfig(ConfigVersion version);
  /// Checks `request` against the upstream as it is now.
  /// @return nothing if it may pass
  std::optional<Error> Check(const AttemptRequest& request,
                             const UpstreamInfo& upstream);

  // Queries.

  ConfigVersion config() const { return config_; }

 private:
  /// Remembers the id; false if it was seen before.
  bool Remember(const AttemptId& attempt);

  ConfigVersion config_;
  std::set<AttemptId> seen_;
  std::deque<AttemptId> order_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ATTEMPT_GATE_H_
