#ifndef YUCCAPICK_OVERLOAD_WAITING_ROOM_H_
#define YUCCAPICK_OVERLOAD_WAITING_ROOM_H_

/// @file
/// Requests that wait in the gateway until an engine has room for them.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

struct WaitingRoomOptions {
  std::size_t max_requests = 256;
  std::size_t max_bytes = 8'388'608;  ///< Of the requests' bodies.
  /// After this many turns of more urgent requests, one turn is left to the
  /// least urgent, so that it doesn't starve.
  std::uint32_t turns_before_least = 15;
  /// Requests that are tried in one round: each looks at all engines.
  std::size_t max_tries = 4;
  /// Of these, the first in order; the others take turns, so that a request
  /// that finds no room doesn't block those behind it.
  std::size_t first_tries = 2;
};

/// A request that waits.
struct WaitingRequest {
  std::uint64_t id = 0;
  ServiceId service;
  std::uint32_t rank = 0;
  double team_usage = 0;  ///< The team with the lowest one goes first.
  std::size_t bytes = 0;  ///< Of its body.
  std::uint64_t kv_tokens = 0;
};

/// Orders waiting requests by rank, then by the usage of their teams, then by
/// arrival.
class WaitingRoom {
 public:
  explicit WaitingRoom(WaitingRoomOptions options = {}) : options_(options) {}

  // Commands.

  /// @return false if there are too many
  bool Add(const WaitingRequest& request);
  /// @return false if it doesn't wait
  bool Remove(std::uint64_t id);
  /// Lets requests try again, in order.
  /// @param try_again sends a request if an engine has room for it; returns
  ///   whether it still waits. It may remove requests.
  void TryInOrder(const std::function<bool(std::uint64_t)>& try_again);

  // Queries.

  std::size_t size() const { return order_.size(); }
  std::size_t bytes() const { return bytes_; }
  /// Requests of the service that go before those of this rank.
  std::size_t AheadOf(const ServiceId& service, std::uint32_t rank) const;

 private:
  struct Place {
    std::uint32_t rank = 0;
    double team_usage = 0;
    std::uint64_t arrival = 0;

    auto operator<=>(const Place&) const = default;
  };

  std::vector<std::uint64_t> Turns();

  WaitingRoomOptions options_;
  std::map<Place, WaitingRequest> order_;
  std::map<std::uint64_t, Place> places_;
  std::uint64_t arrivals_ = 0;
  std::size_t bytes_ = 0;
  std::uint32_t turns_ = 0;  ///< Since the least urgent had one.
  Place tried_last_;         ///< Of those that take turns.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_OVERLOAD_WAITING_ROOM_H_
