#ifndef YUCCAPICK_GATEWAY_OVERLOAD_CONTROL_H_
#define YUCCAPICK_GATEWAY_OVERLOAD_CONTROL_H_

/// @file
/// Lets requests wait until engines have room for them.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/owned_timer.h"
#include "yuccapick/gateway_config.h"
#include "yuccapick/ids.h"
#include "yuccapick/overload/room.h"
#include "yuccapick/overload/team_usage.h"
#include "yuccapick/overload/waiting_room.h"

namespace yuccapick {

/// Keeps the waiting requests of a gateway and lets them try again when room
/// may have come free. Used on one event loop.
class OverloadControl {
 public:
  explicit OverloadControl(asio::io_context& loop) : timer_(loop) {}

  // Commands.

  /// Lets a request wait.
  /// @param try_again returns whether the request still waits
  /// @return false if too many wait
  bool Wait(const WaitingRequest& request, std::function<bool()> try_again);
  void Remove(std::uint64_t id);
  /// Work has ended, or a peer has told of its work.
  void OnRoomMayBeFree();
  /// A request of this rank found no room and was refused.
  void OnRefused(const ServiceId& service, std::uint32_t rank, TimePoint now);
  /// A request of this rank was sent without waiting.
  void OnRoomFound(const ServiceId& service, std::uint32_t rank);
  void OnTick(const GatewayConfig* config, TimePoint now);
  void Stop() { timer_.Cancel(); }

  // Queries.

  std::uint64_t NextId() { return ++ids_; }
  const WaitingRoom& waiting() const { return waiting_; }
  /// Since when requests of this rank are refused.
  std::optional<TimePoint> ShortSince(const ServiceId& service,
                                      std::uint32_t rank) const;
  /// True if a request found no room lately.
  bool Short(TimePoint now) const;
  /// @return the teams' work for peers; empty unless room lacks
  std::vector<TeamWork> TeamReport(TimePoint now) const;
  const RoomLimits& limits() const { return limits_; }
  std::string RenderMetrics() const;

  TeamUsage teams;

 private:
  using RankKey = std::pair<ServiceId, std::uint32_t>;

  void TryNow();
  void ArmTimer();

  RoomLimits limits_;
  WaitingRoom waiting_;
  std::map<std::uint64_t, std::function<bool()>> try_again_;
  std::map<RankKey, TimePoint> short_since_;
  TimePoint last_short_at_;
  std::uint64_t ids_ = 0;
  std::uint64_t waited_ = 0;
  std::uint64_t refused_ = 0;
  OwnedTimer timer_;
  bool timer_armed_ = false;
  bool trying_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_OVERLOAD_CONTROL_H_
