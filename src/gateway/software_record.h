#ifndef YUCCAPICK_GATEWAY_SOFTWARE_RECORD_H_
#define YUCCAPICK_GATEWAY_SOFTWARE_RECORD_H_

/// @file
/// Stores which software versions services had lately, for gateways that start
/// after a version has left.

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/owned_timer.h"
#include "gateway/store_client.h"
#include "gateway/table_loader.h"
#include "platform/table_calls.h"
#include "yuccapick/stream_origins.h"

namespace yuccapick {

/// When a gateway first knew of a generation of the store.
struct GenerationSeen {
  StoreGeneration generation;
  StoreTime at;
};

/// Keeps one row in the store for each software version that a service had
/// within the lifetime of streams. Without it, gateways that all lost power
/// could take the version that they find for the only one, and continue streams
/// of another at it. Used on one event loop.
///
/// A store that has come back from an older copy lacks the latest rows, and the
/// upstreams take some time to register again. Another row holds the store's
/// generation and since when a gateway has known it, so that one that starts
/// later can tell whether that time has passed.
class SoftwareRecord : public std::enable_shared_from_this<SoftwareRecord> {
 public:
  SoftwareRecord(GatewayState& state, std::shared_ptr<StoreClient> store);

  /// Reads the record, until the store answers, and passes it on to
  /// `GatewayState::stream_origins`.
  void Load() { loader_->Load(); }
  /// Writes the versions that the record lacks, and removes those that were not
  /// listed for the lifetime of streams. A few of the gateways do it.
  void OnTick(TimePoint now);

 private:
  void OnLoaded(const platform::RowsAnswer& rows);
  /// @return since when the store's generation is known to have begun; nullopt
  ///   if the store names none
  std::optional<StoreTime> GenerationSeenAt(const platform::RowsAnswer& rows);
  /// The record, or the list of upstreams, may lack what it had before the
  /// store's generation began.
  void LoadAfter(std::chrono::milliseconds delay);
  void WriteGeneration(const GenerationSeen& seen);
  void WriteMissing(const std::vector<SoftwareGroup>& listed);
  void RemoveForgotten(const std::vector<SoftwareGroup>& listed);
  /// Removes the row unless it was written since it was read here.
  void Remove(const std::string& key);
  void OnReadToRemove(const std::string& key,
                      const absl::StatusOr<StoreAnswer>& answer);
  void Write(const std::string& key);
  void Call(const platform::RowWrite& write);
  void OnWritten(const platform::RowWrite& write,
                 const absl::StatusOr<StoreAnswer>& answer);

  GatewayState& state_;
  std::shared_ptr<StoreClient> store_;
  std::shared_ptr<TableLoader> loader_;
  bool loaded_ = false;
  GenerationSeen own_seen_;  ///< By this gateway.
  OwnedTimer reload_timer_;
  /// Keys of the record's rows, as far as this gateway knows.
  std::set<std::string> keys_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_SOFTWARE_RECORD_H_
