#ifndef YUCCAPICK_OPERATION_DEDUP_H_
#define YUCCAPICK_OPERATION_DEDUP_H_

/// @file
/// An agent's record of the operations that it forwarded. It makes a call run
/// at most once within one agent incarnation.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/guards.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/operation_record.h"

namespace yuccapick {

struct OperationDedupOptions {
  std::size_t max_operations = 20'000;
  std::size_t max_answer_bytes = 64 << 10;
  std::chrono::milliseconds retention{3'600'000};
  Guards guards;
};

/// Records each key's highest fencing token, whether it was forwarded and its
/// answer.
class OperationDedup {
 public:
  enum class Verdict : std::uint8_t {
    kForward,     ///< Not yet run: forward it.
    kRunning,     ///< Forwarded before, no complete answer yet.
    kAnswered,    ///< Forwarded before; the answer is stored.
    kUnknown,     ///< Forwarded before; it may have run.
    kStaleFence,  ///< A claim with a higher or equal token was seen.
    kKeyReused,   ///< Same key, different request.
    kFull,        ///< No entry can be evicted for it.
  };

  explicit OperationDedup(OperationDedupOptions options = {});

  // Commands.

  /// Decides whether to forward `request`. On `kForward` it records the request
  /// as running; its fencing token stays recorded even if the caller refuses
  /// the request afterwards (`OnNotRun`).
  Verdict Accept(const AttemptRequest& request, TimePoint now);
  /// The attempt's call certainly did not run; a request with a higher token
  /// may run.
  void OnNotRun(const AttemptId& attempt);
  /// The attempt's call failed. It ran if the answer's head arrived, else it is
  /// unknown whether it ran.
  void OnBroken(const AttemptId& attempt);
  void OnHead(const AnswerHead& head);
  void OnChunk(const AnswerChunk& chunk);
  void OnEnd(const AnswerEnd& end);
  /// Evicts the entries that ended and were unused for the retention period.
  void EvictExpired(TimePoint now);

  // Queries.

  /// Returns the stored answer of an operation, or null.
  const StoredAnswer* Answer(const AttemptRequest& request) const;
  /// True if `attempt` is the one that was forwarded for its key.
  bool Owns(const AttemptId& attempt) const;
  std::size_t size() const { return entries_.size(); }

 private:
  enum class State : std::uint8_t { kNotRun, kRunning, kAnswered, kUnknown };

  struct Entry {
    State state = State::kNotRun;
    FencingToken fence;
    std::string digest;
    AttemptId attempt;
    StoredAnswer answer;
    bool has_head = false;
    std::size_t answer_bytes = 0;
    TimePoint last_used_at;
  };

  Entry* FindEntry(const AttemptId& attempt);
  OperationId MakeOperationId(const AttemptRequest& request) const;
  /// Evicts the least recently used entry that is not running; false if there
  /// is none.
  bool EvictOldest();

  OperationDedupOptions options_;
  std::map<OperationId, Entry> entries_;
  std::map<AttemptId, OperationId> operation_by_attempt_;
  bool evicted_any_ = false;  ///< A key without an entry may have run.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_OPERATION_DEDUP_H_
