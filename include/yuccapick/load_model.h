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

  /// Returns the expected time until work sent now would begin, in seconds.
  double WaitSeconds(bool urgent, TimePoint now) const;
  /// Returns the share of time that the engine has had work waiting.
  double Utilisation() const;
  /// Returns the prefill speed in tokens a second.
  double Speed() const;
  /// Returns when the last report came.
  TimePoint ReportedAt() const;

 private:
  struct Sent {
    TimePoint when;
    double tokens = 0;
  };

  double BacklogAt(TimePoint now) const;
  void Add(double tokens, TimePoint now);
  void ObserveUtilisation(const LoadReport& report);

  std::chrono::milliseconds report_age_;
  double speed_;
  double backlog_ = 0;  ///< Tokens at `backlog_at_`.
  TimePoint backlog_at_;
  TimePoint reported_at_;
  double own_unfinished_ = 0;  ///< Tokens sent whose first token is missing.
  double own_urgent_ = 0;      ///< The urgent part of `own_unfinished_`.
  std::deque<Sent> sent_;      ///< Newer than the last report's state.
  double utilisation_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LOAD_MODEL_H_
