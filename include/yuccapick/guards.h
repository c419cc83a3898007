#ifndef YUCCAPICK_GUARDS_H_
#define YUCCAPICK_GUARDS_H_

/// @file
/// Switches that let mutation tests disable single safety checks.

namespace yuccapick {

/// One switch per safety check of routers and agents. All are on in production.
/// A mutation test disables one and requires that the guarantee it provides is
/// then violated.
struct Guards {
  bool agent_incarnation = true;     ///< Refuse attempts for another run.
  bool engine_incarnation = true;    ///< Do not rely on an earlier run's cache.
  bool weights = true;               ///< Refuse attempts for other weights.
  bool cache_scope = true;           ///< Refuse a cache salt of another scope.
  bool config_version = true;        ///< Refuse outdated decisions.
  bool duplicate_attempt = true;     ///< Ignore duplicated messages.
  bool operation_dedup = true;       ///< Agents forward a key once.
  bool fence = true;                 ///< Refuse lower fencing tokens.
  bool claim = true;                 ///< Run no operation before its claim.
  bool unknown_commit = true;        ///< Resolve writes of unknown outcome.
  bool takeover_incarnation = true;  ///< Take over only from the same run.
  bool evicted_claim = true;         ///< Assume that evicted keys may have run.
  bool sole_claim = true;            ///< Say "not run" only as sole claimant.
  bool body_digest = true;           ///< Refuse a key with another request.
  bool team_scope = true;            ///< Keep the teams' operations apart.
  bool attempt_match = true;         ///< Match answers to their attempt.
  bool positions = true;             ///< Deliver answer parts in order.
  bool complete_answer = true;       ///< Finish only complete answers.
  bool draining_is_final = true;     ///< A draining upstream stays draining.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GUARDS_H_
