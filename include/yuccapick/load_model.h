#ifndef YUCCAPICK_LOAD_MODEL_H_
#define YUCCAPICK_LOAD_MODEL_H_

/// @file
/// Expected load of one engine: its last report plus what this router sent
/// since.

#include <chrono>
#include <cstdint>
#include <deque>

#include "yuccapick/ids.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Models the prefill backlog of one engine as a queue that drains at the
/// engine's reported prefill rate.
class LoadModel {
 public:
  /// @param report_age age of the reported state when a report arrives
  explicit LoadModel(std::chrono::milliseconds report_age);

  // Commands.

  /// Applies a report of the engine that arrived at `now`.
  void ApplyReport(const LoadReport& report, TimePoint now);
  /// This router sent a request that needs `tokens` of prefill.
  void OnDispatched(std::uint64_t tokens, bool urgent, TimePoint now);
  /// The first token of a request arrived; `tokens` of prefill are done.
  void OnPrefilled(std::uint64_t tokens, bool urgent);
  /// The engine restarted: its queue is empty.
  void Reset(TimePoint now);

  // Queries.

  /// Returns the expected time until non-urgent work sent now would begin.
  double WaitSeconds(TimePoint now) const;
  /// Returns the same for urgent work.
  /// @param residual_seconds expected rest of a running prefill
  double UrgentWaitSeconds(double residual_seconds, TimePoint now) const;
  /// Returns the exponentially decayed count of requests that this router sent.
  double RecentArrivals(TimePoint now) const;
  /// Returns the last reported prefill rate, or a default before the first
  /// report.
  double PrefillTokensPerSecond() const;

 private:
  struct Sent {
    TimePoint sent_at;
    double tokens = 0;
  };

  double BacklogAt(TimePoint now) const;
  void AddBacklog(double tokens, TimePoint now);

  std::chrono::milliseconds report_age_;
  double prefill_tokens_per_second_;
  double backlog_ = 0;  ///< Tokens to prefill, as of `backlog_at_`.
  TimePoint backlog_at_;
  /// Urgent prefill of sent requests whose first token has not arrived.
  double own_urgent_tokens_ = 0;
  std::deque<Sent> sent_;  ///< Newer than the last report's state.
  double arrivals_ = 0;    ///< Decayed count, as of `arrivals_at_`.
  TimePoint arrivals_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LOAD_MODEL_H_
