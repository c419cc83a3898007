#ifndef YUCCAPICK_LOAD_MODEL_H_
#define YUCCAPICK_LOAD_MODEL_H_

/// @file
/// Expected load of one engine: its lagged report plus what this router sent.

#include <chrono>
#include <cstdint>
#include <deque>

#include "yuccapick/ids.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Follows the prefill backlog of one engine as a fluid queue.
class LoadModel {
 public:
  /// @param report_age age of the state that a report describes
  explicit LoadModel(std::chrono::milliseconds report_age);

  // Commands.

  /// Takes the engine's own report, which arrived at `now`.
  void ApplyReport(const LoadReport& report, TimePoint now);
  /// This router sent a request that needs `tokens` of prefill.
  void OnDispatched(std::uint64_t tokens, bool urgent, TimePoint now);
  /// The first token of a request came; `tokens` of prefill are done.
  void OnPrefilled(std::uint64_t tokens, bool urgent);
  /// The engine restarted: its queue is empty.
  void Reset(TimePoint now);

  // Queries.

  /// Returns the expected time until normal work sent now would begin.
  double WaitSeconds(TimePoint now) const;
  /// Returns the same for urgent work.
  /// @param residual_seconds expected rest of a running prefill
  double UrgentWaitSeconds(double residual_seconds, TimePoint now) const;
  /// Returns the requests that this router sent lately, decayed.
  double RecentArrivals(TimePoint now) const;
  /// Returns the prefill speed in tokens a second.
  double Speed() const;

 private:
  struct Sent {
    TimePoint when;
    double tokens = 0;
  };

  double BacklogAt(TimePoint now) const;
  void Add(double tokens, TimePoint now);

  std::chrono::milliseconds report_age_;
  double speed_;
  double backlog_ = 0;  ///< Tokens at `backlog_at_`.
  TimePoint backlog_at_;
  double own_urgent_ = 0;  ///< Urgent tokens whose first token is missing.
  std::deque<Sent> sent_;  ///< Newer than the last report's state.
  double arrivals_ = 0;
  TimePoint arrivals_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LOAD_MODEL_H_
