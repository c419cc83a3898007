#ifndef YUCCAPICK_OPERATION_DEDUP_H_
#define YUCCAPICK_OPERATION_DEDUP_H_

/// @file
/// An agent's memory of the operations it passed on: what makes a call run at
/// most once within one agent incarnation.

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

/// Remembers each key's highest fencing token and whether it was passed on.
class OperationDedup {
 public:
  enum class Verdict : std::uint8_t {
    kPassOn,      ///< First to come: pass it on.
    kRunning,     ///< Passed on before, no whole answer yet.
    kAnswered,    ///< Passed on before; the answer is kept.
    kUnknown,     ///< Passed on before; it broke off.
    kStaleFence,  ///< A later claim was seen.
    kKeyReused,   ///< Same key, another request.
    kFull,        ///< No room to remember it.
  };

  explicit OperationDedup(OperationDedupOptions options = {});

  // Commands.

  /// Decides on one arrival and remembers it, with its fencing token even if
  /// the caller refuses it afterwards (`OnNotRun`).
  Verdict Accept(const AttemptRequest& request, TimePoint now);
  /// The attempt's call certainly did not run; a higher token may try again.
  void OnNotRun(const AttemptId& attempt);
  /// The upstream broke off the attempt's call. It ran if its head arrived,
  /// else whether it ran is unknown.
  void OnBroken(const AttemptId& attempt);
  void OnHead(const AnswerHead& head);
  void OnChunk(const AnswerChunk& chunk);
  void OnEnd(const AnswerEnd& end);
  /// Forgets what ended longer ago than the retention period.
  void Sweep(TimePoint now);

  // Queries.

  /// The kept answer of an operation, or null.
  const StoredAnswer* Answer(const AttemptRequest& request) const;
  /// True if `attempt` is the one that was passed on for its key.
  bool Owns(const AttemptId& attempt) const;
  std::size_t size() const { return entries_.size(); }

 private:
  enum class State : std::uint8_t { kOpen, kRunning, kAnswered, kUnknown };

  struct Entry {
    State state = State::kOpen;
    FencingToken fence;
    std::string digest;
    AttemptId attempt;
    StoredAnswer answer;
    bool has_head = false;
    std::size_t answer_bytes = 0;
    TimePoint touched;
  };

  Entry* EntryOf(const AttemptId& attempt);
  OperationId IdOf(const AttemptRequest& request) const;
  /// Forgets the operation that was idle for longest; false if none ended.
  bool MakeRoom();

  OperationDedupOptions options_;
  std::map<OperationId, Entry> entries_;
  std::map<AttemptId, OperationId> owners_;
  bool forgot_any_ = false;  ///< A key that is not held may have run.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_OPERATION_DEDUP_H_
