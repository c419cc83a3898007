#ifndef YUCCAPICK_SRC_ROUTER_ACTIVE_REQUEST_H_
#define YUCCAPICK_SRC_ROUTER_ACTIVE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/admission.h"
#include "yuccapick/answer_assembler.h"
#include "yuccapick/claim_ledger.h"
#include "yuccapick/placement.h"

namespace yuccapick {

/// An attempt that was sent and has not ended.
struct Attempt {
  AttemptId id;
  UpstreamId upstream;
  Incarnation agent_incarnation;
  Incarnation engine_incarnation;
  AttemptId resumed_attempt;  ///< Attempt whose stream this one resumes.
  TimePoint sent_at;
  bool has_head = false;
  AnswerHead head;
};

/// Claim and outcome state of a non-idempotent request, which runs at most
/// once.
struct OperationClaim {
  enum class Stage : std::uint8_t {
    kClaiming,   ///< Waits for the claim to be committed.
    kHeld,       ///< The claim is held and an attempt is running.
    kResolving,  ///< Determines the outcome of the last attempt.
    kReleasing,  ///< The claim is being released.
  };

  OperationId id;
  bool in_table = true;  ///< False for keys that the router generated.
  std::string digest;
  Stage stage = Stage::kClaiming;
  FencingToken fence;
  ClaimTarget target;
  bool take_over = false;  ///< An attempt with a lower token may run.
  /// An attempt of this router was sent and may have run.
  bool may_have_run = false;
  /// End of `kClaiming`, or next step of `kResolving`.
  TimePoint stage_deadline;
  std::uint32_t outcome_checks = 0;
  Error failure;  ///< Reported once the claim is released.
  StoredAnswer answer;
  std::size_t answer_bytes = 0;
};

/// A caller's request from admission to its final answer.
struct ActiveRequest {
  CallerRequest request;
  AdmittedRequest admitted;
  TimePoint arrived_at;
  TimePoint first_sent_at;
  std::optional<TimePoint> first_token_at;
  std::vector<Attempt> attempts;
  std::uint32_t attempts_made = 0;
  std::vector<UpstreamId> excluded;  ///< Upstreams that failed this request.
  AnswerAssembler answer;
  bool answer_begun = false;  ///< `BeginAnswer` was sent.
  /// The caller got an error or disconnected; the operation is still resolved.
  bool detached = false;
  std::uint32_t resume_count = 0;
  std::optional<TimePoint> retry_at;
  std::optional<TimePoint> hedge_at;
  PlacementRequest placement;
  std::optional<OperationClaim> operation;
  Usage usage;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_ROUTER_ACTIVE_REQUEST_H_
