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
#include "yuccapick/guards.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Checks each attempt at the moment of use. A refusal is always not run.
class AttemptGate {
 public:
  explicit AttemptGate(const Guards& guards = {}) : guards_(guards) {}

  // Commands.

  /// Takes a configuration version that was seen; only rises.
  void ObserveConfig(ConfigVersion version);
  /// Remembers the attempt; false for a copy of one that arrived before.
  bool Remember(const AttemptId& attempt);
  /// Checks that `request` was decided for this agent's life.
  /// @return nothing if it was
  std::optional<Error> CheckAddress(const AttemptRequest& request,
                                    const UpstreamInfo& upstream) const;
  /// Checks that the upstream as it is now may take `request`.
  /// @return nothing if it may
  std::optional<Error> CheckUse(const AttemptRequest& request,
                                const UpstreamInfo& upstream);

  // Queries.

  ConfigVersion config() const { return config_; }

 private:
  std::optional<Error> CheckCache(const AttemptRequest& request,
                                  const UpstreamInfo& upstream) const;

  Guards guards_;
  ConfigVersion config_;
  std::set<AttemptId> seen_;
  std::deque<AttemptId> order_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ATTEMPT_GATE_H_
