#ifndef YUCCAPICK_GATEWAY_STORE_TIMES_H_
#define YUCCAPICK_GATEWAY_STORE_TIMES_H_

/// @file
/// Times of the store, from its answers.

#include <algorithm>
#include <optional>

#include "platform/table_calls.h"
#include "yuccapick/row_version_times.h"
#include "yuccapick/store_clock.h"

namespace yuccapick {

/// What all answers of the store tell of its clock and of its rows' age.
struct StoreTimes {
  /// @param received_at boot time at which the answer was read
  void OnAnswer(const platform::RowsAnswer& answer, StoreGeneration generation,
                TimePoint received_at) {
    clock.OnAnswer(answer.store_time, received_at);
    rows.OnAnswer({generation, answer.as_of}, answer.store_time);
    newest_own = std::max(newest_own, answer.store_time);
  }
  /// The times of answers in an earlier generation of the store don't count.
  void OnNewGeneration() {
    answered_at.reset();
    newest_own = StoreTime();
  }
  /// The last own answer shows that the store is reachable.
  void OnContact() { OnAnswerTime(newest_own); }
  /// The store has answered a peer at `at`, so its time now is not before. The
  /// same answer is told again and again.
  void OnPeerAnswer(StoreTime at, TimePoint received_at) {
    if (answered_at && at <= *answered_at) return;
    clock.OnAnswer(at, received_at);
    OnAnswerTime(at);
  }
  void OnAnswerTime(StoreTime at) {
    answered_at = std::max(answered_at.value_or(at), at);
  }

  StoreClockEstimate clock;
  RowVersionTimes rows;
  /// When the store answered any gateway last, as far as known.
  std::optional<StoreTime> answered_at;
  StoreTime newest_own;  ///< Of the answers to this gateway.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STORE_TIMES_H_
