#ifndef YUCCAPICK_ATTEMPT_GATE_H_
#define YUCCAPICK_ATTEMPT_GATE_H_

/// @file
/// Agent-side check of attempts: refuses those that a router decided for
/// another incarnation, configuration or weight version.

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

/// Checks each attempt on arrival. Every refusal has `Execution::kNotRun`.
class AttemptGate {
 public:
  explicit AttemptGate(const Guards& guards = {}) : guards_(guards) {}

  // Commands.

  /// Raises the known configuration version to `version`; never lowers it.
  void ObserveConfig(ConfigVersion version);
  /// Records the attempt. Returns false for a duplicate of a recorded one. The
  /// oldest records are dropped beyond a fixed number.
  bool RecordIfNew(const AttemptId& attempt);
  /// Checks that `request` names this agent's incarnation.
  /// @return nothing if it does
  std::optional<Error> CheckIncarnation(const AttemptRequest& request,
                                        const UpstreamInfo& upstream) const;
  /// Checks configuration version, deadline, draining, engine incarnation,
  /// weights and cache salt of `request` against the upstream's present state,
  /// and adopts a newer configuration version.
  /// @return nothing if the upstream may take `request`
  std::optional<Error> CheckAdmissible(const AttemptRequest& request,
                                       const UpstreamInfo& upstream);

  // Queries.

  ConfigVersion config() const { return config_; }

 private:
  std::optional<Error> CheckEngineState(const AttemptRequest& request,
                                        const UpstreamInfo& upstream) const;

  Guards guards_;
  ConfigVersion config_;
  std::set<AttemptId> recorded_;
  std::deque<AttemptId> arrival_order_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ATTEMPT_GATE_H_
