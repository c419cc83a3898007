#ifndef YUCCAPICK_GATEWAY_STREAM_ORIGIN_LOOKUP_H_
#define YUCCAPICK_GATEWAY_STREAM_ORIGIN_LOOKUP_H_

/// @file
/// Looks up in the store where streams began that no peer has told of.

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/owned_timer.h"
#include "gateway/store_client.h"
#include "gateway/table_loader.h"
#include "yuccapick/unknown_streams.h"

namespace yuccapick {

/// Reads all saved origins when a request needs one of them, and lets requests
/// wait for it. Used on one event loop.
class StreamOriginLookup {
 public:
  StreamOriginLookup(GatewayState& state, std::shared_ptr<StoreClient> store);

  // Commands.

  /// Calls `done` when `GatewayState::stream_origins` has what the store knows
  /// of the stream, or after `limit`; not at all after `Stop`.
  void Find(StreamId stream, std::chrono::milliseconds limit,
            std::function<void()> done);
  void Stop();

  // Queries.

  /// True if neither a peer nor the store will ever tell where a stream began
  /// that `Find` didn't find.
  bool IsLost(StreamId stream) const;

 private:
  struct Waiter {
    StreamId stream;
    TimePoint until;
    std::function<void()> done;
  };

  void StartRead(TimePoint now);
  void OnLoaded(const platform::RowsAnswer& rows);
  /// @return the least time from the start of a read to that of the next one
  std::chrono::milliseconds MinReadInterval() const;
  /// True if one of the streams that requests wait for is known.
  bool FoundAny() const;
  /// Calls back the requests that wait no longer.
  /// @param read_done all are called back
  void Resolve(bool read_done);
  void ArmTimer();

  GatewayState& state_;
  std::shared_ptr<TableLoader> loader_;
  OwnedTimer timer_;
  UnknownStreams unknown_;
  bool reading_ = false;
  TimePoint read_started_at_;
  TimePoint next_read_;
  /// Grows while reads find none of the streams.
  std::chrono::milliseconds read_interval_{0};
  std::optional<TimePoint> last_read_sent_at_;
  std::vector<Waiter> waiters_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STREAM_ORIGIN_LOOKUP_H_
