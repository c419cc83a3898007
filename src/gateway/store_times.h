#ifndef YUCCAPICK_GATEWAY_STORE_TIMES_H_
#define YUCCAPICK_GATEWAY_STORE_TIMES_H_

/// @file
/// Times of the store, from its answers.

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
  }

  StoreClockEstimate clock;
  RowVersionTimes rows;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STORE_TIMES_H_
