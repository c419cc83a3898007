#include "yuccapick/overload/waiting_room.h"

#include <algorithm>
#include <utility>

namespace yuccapick {

bool WaitingRoom::Add(const WaitingRequest& request) {
  if (order_.size() >= options_.max_requests) return false;
  if (bytes_ + request.bytes > options_.max_bytes) return false;
  const Place place{request.rank, request.team_usage, ++arrivals_};
  order_.emplace(place, request);
  places_[request.id] = place;
  bytes_ += request.bytes;
  return true;
}

bool WaitingRoom::Remove(std::uint64_t id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return false;
  const auto place = order_.find(it->second);
  bytes_ -= place->second.bytes;
  order_.erase(place);
  places_.erase(it);
  return true;
}

std::vector<std::uint64_t> WaitingRoom::Turns() {
  std::vector<std::uint64_t> turns;
  if (order_.empty()) return turns;
  if (turns_ >= options_.turns_before_least) {
    const std::uint32_t least = order_.rbegin()->first.rank;
    turns.push_back(order_.lower_bound({least, 0, 0})->second.id);
  }
  const auto add = [&turns](std::uint64_t id) {
    const bool has = std::find(turns.begin(), turns.end(), id) != turns.end();
    if (!has) turns.push_back(id);
  };
  for (const auto& [place, request] : order_) {
    if (turns.size() >= options_.first_tries) break;
    add(request.id);
  }
  auto it = order_.upper_bound(tried_last_);
  for (std::size_t n = 0; n < order_.size(); ++n, ++it) {
    if (turns.size() >= options_.max_tries) break;
    if (it == order_.end()) it = order_.begin();
    add(it->second.id);
    tried_last_ = it->first;
  }
  return turns;
}

void WaitingRoom::TryInOrder(
    const std::function<bool(std::uint64_t)>& try_again) {
  for (const std::uint64_t id : Turns()) {
    const auto it = places_.find(id);
    if (it == places_.end()) continue;
    const std::uint32_t rank = it->second.rank;
    const std::uint32_t least = order_.rbegin()->first.rank;
    if (try_again(id)) continue;
    Remove(id);
    turns_ = rank == least ? 0 : turns_ + 1;
  }
}

std::size_t WaitingRoom::AheadOf(const ServiceId& service,
                                 std::uint32_t rank) const {
  std::size_t n = 0;
  for (const auto& [place, request] : order_) {
    if (place.rank > rank) break;
    if (request.service == service) ++n;
  }
  return n;
}

}  // namespace yuccapick
