#include "gateway/overload_control.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "shell/metrics_server.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Engines make progress without a message, so waiting requests look for room
/// this often.
constexpr milliseconds kTryInterval{25};
/// Room counts as lacking for this long after a request found none.
constexpr milliseconds kShortFor{1'000};

}  // namespace

bool OverloadControl::Wait(const WaitingRequest& request,
                           std::function<bool()> try_again) {
  if (!waiting_.Add(request)) return false;
  try_again_[request.id] = std::move(try_again);
  ++waited_;
  ArmTimer();
  return true;
}

void OverloadControl::Remove(std::uint64_t id) {
  waiting_.Remove(id);
  try_again_.erase(id);
}

void OverloadControl::OnRoomMayBeFree() {
  if (waiting_.size() > 0) TryNow();
}

void OverloadControl::TryNow() {
  // A request that is sent or refused may end others' work at once.
  if (trying_) return;
  trying_ = true;
  waiting_.TryInOrder([this](std::uint64_t id) {
    const auto it = try_again_.find(id);
    if (it == try_again_.end()) return false;
    const std::function<bool()> try_again = it->second;
    const bool waits = try_again();
    if (!waits) try_again_.erase(id);
    return waits;
  });
  trying_ = false;
}

void OverloadControl::ArmTimer() {
  if (timer_armed_ || waiting_.size() == 0) return;
  timer_armed_ = true;
  timer_.StartAfter(kTryInterval, [this] {
    timer_armed_ = false;
    TryNow();
    ArmTimer();
  });
}

void OverloadControl::OnRefused(const ServiceId& service, std::uint32_t rank,
                                TimePoint now) {
  ++refused_;
  last_short_at_ = now;
  short_since_.try_emplace({service, rank}, now);
}

void OverloadControl::OnRoomFound(const ServiceId& service,
                                  std::uint32_t rank) {
  short_since_.erase({service, rank});
}

std::optional<TimePoint> OverloadControl::ShortSince(const ServiceId& service,
                                                     std::uint32_t rank) const {
  const auto it = short_since_.find({service, rank});
  if (it == short_since_.end()) return std::nullopt;
  return it->second;
}

bool OverloadControl::Short(TimePoint now) const {
  return waiting_.size() > 0 || now - last_short_at_ < kShortFor;
}

std::vector<TeamWork> OverloadControl::TeamReport(TimePoint now) const {
  if (!Short(now)) return {};
  return teams.OwnReport(now);
}

void OverloadControl::OnTick(const GatewayConfig* config, TimePoint now) {
  if (config == nullptr) return;
  if (!Short(now)) return teams.ClearFairShare();
  // Teams with a quota share room in proportion to it.
  absl::flat_hash_map<std::uint64_t, double> weights;
  for (const GatewayTeam& team : config->teams()) {
    if (team.quota) weights[TeamHash(team.id)] = team.quota->per_second;
  }
  teams.Update(
      [&weights](std::uint64_t team) {
        const auto it = weights.find(team);
        return it == weights.end() ? 1.0 : it->second;
      },
      now);
}

std::string OverloadControl::RenderMetrics() const {
  std::string out;
  AppendMetric(out, "gauge", "yuccapick_requests_waiting_for_room",
               waiting_.size());
  AppendMetric(out, "gauge", "yuccapick_bytes_waiting_for_room",
               waiting_.bytes());
  AppendMetric(out, "counter", "yuccapick_requests_waited_for_room", waited_);
  AppendMetric(out, "counter", "yuccapick_requests_without_room", refused_);
  return out;
}

}  // namespace yuccapick
