#ifndef YUCCAPICK_GATEWAY_STORED_ROW_TIMES_H_
#define YUCCAPICK_GATEWAY_STORED_ROW_TIMES_H_

/// @file
/// The row in which the holder of the rollout lease saves row versions and
/// their times, for gateways that start after all others have ended.

#include "gateway/gateway_state.h"
#include "platform/table_calls.h"

namespace yuccapick {

/// Table of the lease's row and of this one.
inline constexpr char kLeaseTable[] = "yuccapick-lease";
/// Follows the lease's first key, so a read of the table from that key on gets
/// it and the lease's rows.
inline constexpr char kRowTimesKey[] = "rollout-row-times";

/// @return the write that saves the times that this process knows
platform::RowWrite MakeRowTimesWrite(const GatewayState& state);

/// Takes over saved times, if `answer` has their row.
void ImportRowTimes(const platform::RowsAnswer& answer, GatewayState& state);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STORED_ROW_TIMES_H_
