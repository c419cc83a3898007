#ifndef YUCCAPICK_LOAD_SHEDDER_H_
#define YUCCAPICK_LOAD_SHEDDER_H_

/// @file
/// Rejects a share of the requests while the upstreams are overloaded.

#include <chrono>
#include <cstdint>

#include "yuccapick/ids.h"

namespace yuccapick {

struct LoadShedderOptions {
  /// Answers should begin within this many times their target.
  double set_point = 1.2;
  /// Change of the refused share a second, for each target that answers begin
  /// later or earlier.
  double rise = 0.15;
  double fall = 0.8;
  /// Enough is always let in to see how long answers take.
  double most = 0.6;
  /// Lateness beyond this many targets changes nothing more.
  double most_late = 3.0;
  /// When a refused caller may come back: the more is refused, the later.
  std::chrono::milliseconds first_return{800};
  std::chrono::milliseconds return_by_share{3'000};
};

/// Answers the load of a heavy day, of engines that stand still or load
/// weights: more prompts than the rest can read. Queued requests would all
/// begin too late, and callers leave what the engines then still work on. A
/// share is refused at once instead, which follows how late answers begin, so
/// that the others are served in time.
class LoadShedder {
 public:
  explicit LoadShedder(LoadShedderOptions options = {}) : options_(options) {}

  // Commands.

  /// @param begins how long answers take to begin at present
  /// @param target how long they should take; zero sheds nothing
  void Update(std::chrono::milliseconds begins,
              std::chrono::milliseconds target, TimePoint now);

  // Queries.

  /// Share of requests to refuse, 0 to 1.
  double share() const { return share_; }
  /// Time after which a refused caller is likely to be let in.
  std::chrono::milliseconds RetryAfter() const;
  /// @param request_hash spread evenly over requests
  bool ShouldReject(std::uint64_t request_hash) const;

 private:
  LoadShedderOptions options_;
  double share_ = 0.0;
  TimePoint updated_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LOAD_SHEDDER_H_
