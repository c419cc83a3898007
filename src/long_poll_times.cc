#include "yuccapick/long_poll_times.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// A poll that is answered sooner may have been answered at once, with changes
/// made before it.
constexpr milliseconds kMinHeldPoll{500};
/// Changes made in a longer time before the poll count as made at its
/// beginning.
constexpr milliseconds kMaxGap{500};

}  // namespace

StoreTime LongPollTimes::ChangedAfter() const {
  const bool held = answered_at - began_at >= kMinHeldPoll;
  const bool sent_at_once = began_at - complete_at <= kMaxGap;
  return held && sent_at_once ? answered_at : complete_at;
}

}  // namespace yuccapick
