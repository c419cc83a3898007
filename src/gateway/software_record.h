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
#include "yuccapick/version_record.h"

namespace yuccapick {

/// When a gateway first knew of a generation of the store.
struct GenerationSeen {
  StoreGeneration generation;
  StoreTime at;
  /// Streams may run that were begun before the store came back with this
  /// generation, or with a later one; zero if it has never come back.
  StoreGeneration oldest_return;
};

/// What a write changes in the record.
enum class SoftwareRecordChange : std::uint8_t {
  kListed,          ///< A version's row, without a time.
  kTimed,           ///< The time of a version's row.
  kRenewed,         ///< A version's row is as before, but not removed.
  kRemoved,         ///< A version's row.
  kGenerationSeen,  ///< The row about the store's generation.
};

/// Keeps one row in the store for each software version that a service had
/// within the lifetime of streams. Without it, gateways that all lost power
/// could take the version that they find for the only one, and continue streams
/// of another at it. Used on one event loop.
///
/// A row is written in two steps: first the row, then, once it was read, the
/// time of that answer. So however late a call is carried out, the row is at
/// least as old as it says. What follows from the times: `VersionRecord`.
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
  using Change = SoftwareRecordChange;

  void OnLoaded(const platform::RowsAnswer& rows);
  /// Passes the versions and their times on to `GatewayState::version_record`.
  /// @return the versions
  std::vector<SoftwareGroup> TakeVersions(
      const platform::RowsAnswer& rows,
      const std::optional<GenerationSeen>& seen);
  /// @return nullopt if the store names no generation
  std::optional<GenerationSeen> SeenGeneration(
      const platform::RowsAnswer& rows);
  /// @param recorded what the record says, of an earlier generation
  GenerationSeen FirstSeen(const std::optional<GenerationSeen>& recorded,
                           StoreTime at) const;
  /// The record, or the list of upstreams, may lack what it had before the
  /// store's generation began.
  void LoadAfter(std::chrono::milliseconds delay);
  /// Reads the record again while it has no time for a listed version.
  void LoadUntimed(const std::vector<SoftwareGroup>& listed, TimePoint now);
  /// Writes the time at which these rows were read to those that have none.
  void WriteTimes(const platform::RowsAnswer& rows);
  void WriteGeneration(const GenerationSeen& seen);
  void WriteMissing(const std::vector<SoftwareGroup>& listed);
  void RemoveForgotten(const std::vector<SoftwareGroup>& listed);
  void Write(const std::string& key);
  /// Writes the row of a version that is listed again once more, so that a
  /// removal that has read it before fails.
  void Renew(const std::string& key);
  void OnReadToRenew(const std::string& key, const MirrorRow* row);
  /// Removes the row unless it was written since it was read here.
  void Remove(const std::string& key);
  void OnReadToRemove(const std::string& key, const MirrorRow* row);
  /// @param on_read gets null if there is no row
  void ReadRow(const std::string& key,
               void (SoftwareRecord::*on_read)(const std::string& key,
                                               const MirrorRow* row));
  void OnRowUnread(const std::string& key);
  void Call(const platform::RowWrite& write, Change change);
  void OnWritten(const std::string& key, Change change,
                 const absl::StatusOr<StoreAnswer>& answer);

  GatewayState& state_;
  std::shared_ptr<StoreClient> store_;
  std::shared_ptr<TableLoader> loader_;
  bool loaded_ = false;
  GenerationSeen own_seen_;  ///< By this gateway.
  OwnedTimer reload_timer_;
  TimePoint next_untimed_load_;
  std::chrono::milliseconds untimed_load_interval_{0};
  /// Keys of the record's rows, as far as this gateway knows.
  std::set<std::string> keys_;
  /// Keys whose rows this gateway took for obsolete.
  std::set<std::string> forgotten_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_SOFTWARE_RECORD_H_
