#ifndef YUCCAPICK_TRANSFER_LINK_H_
#define YUCCAPICK_TRANSFER_LINK_H_

/// @file
/// Estimates the wait at a link whose transfers run one after another.

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "yuccapick/ids.h"

namespace yuccapick {

/// The link of the KV store, which all engines share. A process counts the
/// transfers that it causes, and those that its peers report.
class TransferLink {
 public:
  using Time = std::chrono::duration<double, std::milli>;

  // Commands.

  /// @param per_token time that the link takes for one token
  void SetRate(Time per_token) { time_per_token_ = per_token; }
  /// A transfer of `tokens` tokens was requested.
  void OnTransfer(std::uint64_t tokens, TimePoint now) {
    const Time busy = TimeFor(tokens);
    busy_until_ =
        std::max(busy_until_, now) +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(busy);
  }

  // Queries.

  /// Returns how long a transfer takes, without waiting.
  Time TimeFor(std::uint64_t tokens) const {
    return time_per_token_ * static_cast<double>(tokens);
  }
  /// Returns how long a transfer requested now waits for earlier ones.
  Time Wait(TimePoint now) const {
    return busy_until_ <= now ? Time(0) : Time(busy_until_ - now);
  }

 private:
  Time time_per_token_{0};
  TimePoint busy_until_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TRANSFER_LINK_H_
