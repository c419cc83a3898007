#ifndef YUCCAPICK_SRC_ROUTER_FLIGHT_H_
#define YUCCAPICK_SRC_ROUTER_FLIGHT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/admission.h"
#include "yuccapick/answer_assembler.h"
#include "yuccapick/claim_ledger.h"
#include "yuccapick/placement.h"

namespace yuccapick {

/// One attempt that may still bring an answer.
struct Attempt {
  AttemptId id;
  UpstreamId upstream;
  Incarnation agent_incarnation;
  Incarnation engine_incarnation;
  AttemptId resumes;  ///< The attempt whose stream it goes on with.
  TimePoint sent;
  bool has_head = false;
  AnswerHead head;
};

/// What makes a non-idempotent request run at most once.
struct OperationClaim {
  enum class Stage : std::uint8_t {
    kClaiming,   ///< Waits for the table before the first attempt.
    kHeld,       ///< An attempt is out.
    kSettling,   ///< An attempt's outcome is being found out.
    kReleasing,  ///< The claim is being handed back.
  };

  OperationId id;
  bool in_table = true;  ///< False for keys that the router made.
  std::string digest;
  Stage stage = Stage::kClaiming;
  FencingToken fence;
  ClaimTarget target;
  bool take_over = false;     ///< A lower token may be out elsewhere.
  bool may_have_run = false;  ///< An own attempt left; its fate is open.
  TimePoint stage_until;      ///< For `kClaiming` and `kSettling`.
  std::uint32_t settle_tries = 0;
  Error failure;  ///< To be told after `kReleasing`.
  StoredAnswer answer;
  std::size_t answer_bytes = 0;
};

/// One caller's request from admission to its final answer.
struct Flight {
  CallerRequest request;
  AdmittedRequest admitted;
  TimePoint arrived;
  TimePoint first_sent;
  std::optional<TimePoint> first_token;
  std::vector<Attempt> attempts;
  std::uint32_t attempts_made = 0;
  std::vector<UpstreamId> excluded;
  AnswerAssembler answer;
  bool begun = false;     ///< The caller has the head.
  bool detached = false;  ///< The caller has its final answer or is gone.
  std::uint32_t resumes = 0;
  std::optional<TimePoint> retry_at;
  std::optional<TimePoint> hedge_at;
  PlacementRequest placement;
  std::optional<OperationClaim> operation;
  Usage usage;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_ROUTER_FLIGHT_H_
