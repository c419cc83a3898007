#ifndef YUCCAPICK_GATEWAY_STREAM_ORIGIN_RECORD_H_
#define YUCCAPICK_GATEWAY_STREAM_ORIGIN_RECORD_H_

/// @file
/// Saves in the store where streams began, for gateways that start later.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/store_client.h"
#include "platform/table_calls.h"
#include "yuccapick/origin_save_queue.h"

namespace yuccapick {

/// Table of the saved origins. Each row holds origins of one time; no row is
/// changed after it was written.
inline constexpr char kStreamOriginTable[] = "yuccapick-streams";

/// One of the live gateways saves the origins that all of them have told each
/// other, and removes those of streams that have ended. Used on one event loop.
class StreamOriginRecord
    : public std::enable_shared_from_this<StreamOriginRecord> {
 public:
  StreamOriginRecord(GatewayState& state, std::shared_ptr<StoreClient> store);

  /// Streams began here or at a peer.
  void OnBegan(const std::vector<StreamOriginReport>& origins);
  /// The store has come back from an older copy.
  void OnStoreGeneration(TimePoint now);
  void OnTick(TimePoint now);

  std::uint64_t saved() const { return saved_; }
  std::uint64_t dropped() const { return queue_.dropped(); }

 private:
  /// True if this gateway saves for all, as far as it knows the others.
  bool IsSaver() const;
  void Save();
  void OnSaved(std::size_t streams, const absl::StatusOr<StoreAnswer>& answer);
  std::vector<platform::RowWrite> MakeRows(
      const std::vector<StreamOriginReport>& origins);
  /// Removes the rows of streams that have ended.
  void FindExpired();
  void OnExpiredFound(const absl::StatusOr<StoreAnswer>& answer);

  GatewayState& state_;
  std::shared_ptr<StoreClient> store_;
  OriginSaveQueue queue_;
  std::uint64_t rows_written_ = 0;
  std::uint64_t saved_ = 0;
  TimePoint next_save_;
  TimePoint next_removal_;
  TimePoint last_added_at_;
  /// The table may hold rows, of this process or an earlier one.
  bool may_have_rows_ = true;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STREAM_ORIGIN_RECORD_H_
