#ifndef YUCCAPICK_LOAD_SHEDDER_H_
#define YUCCAPICK_LOAD_SHEDDER_H_

/// @file
/// Rejects a share of the requests while the upstreams are overloaded.

#include <chrono>
#include <cstdint>

#include "yuccapick/ids.h"

namespace yuccapick {

struct LoadShedderOptions {
  /// Set point of the controller: ratio of latency to target.
  double set_point = 1.2;
  /// Change of the rejected share per second, for each multiple of the target
  /// by which the latency is above (rise) or below (fall) the set point.
  double rise_gain = 0.15;
  double fall_gain = 0.8;
  /// Upper bound of the share; the rest is needed to measure the latency.
  double max_share = 0.6;
  /// Bound of the deviation above the set point, in multiples of the target.
  double max_lateness = 3.0;
  /// Retry-after delay of a rejected request; grows with the rejected share.
  std::chrono::milliseconds base_retry_after{800};
  std::chrono::milliseconds retry_after_per_share{3'000};
};

/// Sheds load when the engines cannot keep up, for example while some are
/// stalled or load weights. If all excess requests were queued, all would be
/// late, and engines would work on requests whose callers have given up.
/// Instead a share is rejected at once; a controller follows the latency of
/// answers so that the admitted requests are served in time.
class LoadShedder {
 public:
  explicit LoadShedder(LoadShedderOptions options = {}) : options_(options) {}

  // Commands.

  /// Adjusts the rejected share.
  /// @param latency current time until answers begin
  /// @param target desired time until answers begin; zero disables shedding
  void Update(std::chrono::milliseconds latency,
              std::chrono::milliseconds target, TimePoint now);

  // Queries.

  /// Share of requests to reject, 0 to 1.
  double share() const { return share_; }
  /// Time after which a rejected caller should retry.
  std::chrono::milliseconds RetryAfter() const;
  /// @param request_hash uniformly distributed over requests
  bool ShouldReject(std::uint64_t request_hash) const;

 private:
  LoadShedderOptions options_;
  double share_ = 0.0;
  TimePoint updated_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LOAD_SHEDDER_H_
