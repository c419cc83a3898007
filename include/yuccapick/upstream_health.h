#ifndef YUCCAPICK_UPSTREAM_HEALTH_H_
#define YUCCAPICK_UPSTREAM_HEALTH_H_

/// @file
/// How well upstreams answered lately, from what requests saw.

#include <chrono>
#include <cstdint>
#include <map>

#include "yuccapick/ids.h"

namespace yuccapick {

struct UpstreamHealthOptions {
  /// A failure's weight falls to a third within this time.
  std::chrono::milliseconds memory{4'000};
  /// Outcomes that the estimate starts from, all good.
  double prior_successes = 4.0;
  /// An unreachable upstream gets nothing for this long, then longer.
  std::chrono::milliseconds first_pause{250};
  std::chrono::milliseconds longest_pause{2'000};
};

/// Failure rates and pauses. A rate is compared with that of the service as a
/// whole by the placement, so failures that all upstreams share eject none.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(UpstreamHealthOptions options = {})
      : options_(options) {}

  // Commands.

  void OnSuccess(const UpstreamId& id, TimePoint now);
  void OnFailure(const UpstreamId& id, TimePoint now);
  /// No connection could be opened, or the upstream went silent.
  void OnUnreachable(const UpstreamId& id, TimePoint now);
  /// Bytes of any answer came.
  void OnBytesReceived(const UpstreamId& id, TimePoint now);
  void Forget(const UpstreamId& id) { records_.erase(id); }

  // Queries.

  /// Share of recent requests that failed, 0 to 1.
  double FailureRate(const UpstreamId& id, TimePoint now) const;
  bool Paused(const UpstreamId& id, TimePoint now) const;
  /// Nothing was heard from the upstream since `since`.
  bool SilentSince(const UpstreamId& id, TimePoint since) const;

 private:
  struct Record {
    double successes = 0;  ///< Weighted by age.
    double failures = 0;
    TimePoint weighted_at;
    TimePoint last_heard;
    TimePoint paused_until;
    std::chrono::milliseconds pause{0};
  };

  double Fade(const Record& record, TimePoint now) const;
  Record& Faded(const UpstreamId& id, TimePoint now);

  UpstreamHealthOptions options_;
  std::map<UpstreamId, Record> records_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_HEALTH_H_
