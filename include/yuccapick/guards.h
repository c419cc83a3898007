#ifndef YUCCAPICK_GUARDS_H_
#define YUCCAPICK_GUARDS_H_

/// @file
/// Switches for mutation tests.

namespace yuccapick {

/// One switch for each guard of the decisions. All are on in production; a
/// test switches one off and requires that the promise it keeps is then broken.
struct Guards {
  bool agent_incarnation = true;   ///< Attempts for another life are refused.
  bool engine_incarnation = true;  ///< Cache of a dead engine is not relied on.
  bool weights = true;             ///< Other weights do not answer.
  bool cache_scope = true;         ///< Cache of another scope is not used.
  bool config_version = true;      ///< Old decisions are refused.
  bool duplicate_attempt = true;   ///< A copied message runs nothing.
  bool operation_dedup = true;     ///< An agent runs a key once.
  bool fence = true;               ///< A lower fencing token is refused.
  bool claim = true;               ///< Nothing runs before its claim.
  bool unknown_commit = true;      ///< An unknown write is settled.
  bool takeover_incarnation = true;  ///< Only the same life is taken over.
  bool evicted_claim = true;         ///< Old claims may have been forgotten.
  bool sole_claim = true;            ///< "Not run" needs the sole claim.
  bool body_digest = true;           ///< A key names one request.
  bool team_scope = true;            ///< An operation belongs to its team.
  bool attempt_match = true;         ///< Answers belong to their attempt.
  bool positions = true;             ///< Parts are passed on in order.
  bool complete_answer = true;       ///< Only a whole answer is finished.
  bool draining_is_final = true;     ///< A leaving mark stays.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GUARDS_H_
