#ifndef YUCCAPICK_GATEWAY_TARGET_SET_TIMES_H_
#define YUCCAPICK_GATEWAY_TARGET_SET_TIMES_H_

/// @file
/// Stores when weights were set as a model's target, for gateways that start
/// later.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/store_client.h"
#include "gateway/table_loader.h"
#include "yuccapick/target_weights.h"

namespace yuccapick {

/// A target whose row was in the store before this process read it first.
struct UndatedTarget {
  ModelId model;
  WeightVersionNumber weights = 0;
  std::uint64_t row_version = 0;
  StoreGeneration generation;  ///< Of `row_version`.
};

class TargetSetTimes : public std::enable_shared_from_this<TargetSetTimes> {
 public:
  TargetSetTimes(GatewayState& state, std::shared_ptr<StoreClient> store);

  /// Writes a time, if it is chosen by `IsChosenWriter`, unless
  /// another gateway did. A failed write is retried a few times.
  void Save(const TargetSetTime& target);
  /// Saves a time after the next `Load`, unless the store has one.
  void SaveIfMissing(const TargetSetTime& target);
  /// Loads the time of a target. If none was saved, the row versions and times
  /// count that the holder of the rollout lease has saved.
  void LoadFor(UndatedTarget target);
  /// Saves the known times again that a new generation of the store lacks,
  /// after reading which ones these are.
  void SaveMissing();
  /// Reads all times and corrects `GatewayState::target_weights`. Retries while
  /// the store doesn't answer.
  void Load() { loader_->Load(); }

 private:
  /// A time that is to be written.
  struct PendingWrite {
    TargetSetTime target;
    int attempts = 0;
  };

  void Write(PendingWrite pending);
  void OnWritten(PendingWrite pending,
                 const absl::StatusOr<StoreAnswer>& answer);
  void OnLoaded(const platform::RowsAnswer& rows);
  /// Dates targets by the row versions and times that are known by now.
  void DateByRowVersion();
  void ReadRowTimes();
  void OnRowTimes(const absl::StatusOr<StoreAnswer>& answer);

  GatewayState& state_;
  std::shared_ptr<StoreClient> store_;
  std::shared_ptr<TableLoader> loader_;
  std::vector<UndatedTarget> undated_;
  std::vector<TargetSetTime> unsaved_;  ///< Saved if the store has no time.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_TARGET_SET_TIMES_H_
