#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Shortest delay after which a caller should retry if no upstream takes a
/// request now.
constexpr milliseconds kMinRetryAfter{150};

/// In cache scopes; versions of weights begin at 1.
constexpr WeightVersionNumber kUnknownWeights = 0;

bool AnyUsable(const std::vector<PlacementCandidate>& candidates) {
  return std::any_of(
      candidates.begin(), candidates.end(),
      [](const PlacementCandidate& it) { return !it.held_back; });
}

}  // namespace

std::optional<WeightVersionNumber> ProxiedRequest::WeightsAt(
    const UpstreamEntry& upstream) const {
  const auto it = upstream.weights.find(admitted_.caller.model);
  if (it == upstream.weights.end()) return std::nullopt;
  return it->second;
}

milliseconds ProxiedRequest::WeightsReplacedFor(
    const UpstreamEntry& upstream) const {
  const std::optional<WeightVersionNumber> weights = WeightsAt(upstream);
  if (!weights) return milliseconds(0);
  const std::optional<StoreTime> replaced_at =
      state_.target_weights.ReplacedAt(admitted_.caller.model, *weights);
  const std::optional<StoreTime> now = state_.StoreNow();
  if (!replaced_at || !now) return milliseconds(0);
  return *now - *replaced_at;
}

PlacementFleet ProxiedRequest::FleetWithoutCandidates() const {
  PlacementFleet fleet;
  const GatewayConfig& config = *admitted_.config;
  const GatewayService* service = config.FindService(service_);
  if (service == nullptr || !service->engine) return fleet;
  fleet.kv_capacity_tokens = service->engine->kv_capacity_tokens;
  const auto rate = state_.prefill_rates.find(service_);
  if (rate != state_.prefill_rates.end()) {
    fleet.prefill_tokens_per_ms = rate->second.tokens_per_ms();
  }
  fleet.kv_store_endpoint = state_.KvStoreFor(query_.parts);
  const auto store = state_.kv_stores.find(fleet.kv_store_endpoint);
  if (store != state_.kv_stores.end()) {
    fleet.kv_store_link = &store->second.link;
  }
  return fleet;
}

PlacementCandidate ProxiedRequest::CandidateFor(
    const UpstreamEntry& upstream) const {
  PlacementCandidate candidate;
  candidate.upstream = &upstream;
  candidate.loading = state_.loading.contains(upstream.id);
  candidate.limited = state_.limits.LimitOf(upstream.id).has_value();
  candidate.held_back = WaitFor(upstream) > milliseconds(0);
  const std::optional<WeightVersionNumber> weights = WeightsAt(upstream);
  // A prompt is kept apart from other teams' even where its weights are
  // unknown.
  if (weights || !query_.parts.empty()) {
    candidate.cache_scope = admitted_.config->CacheScopeOf(
        admitted_.team, weights.value_or(kUnknownWeights));
  }
  if (!weights) return candidate;
  candidate.old_weights =
      *weights < state_.target_weights.Newest(admitted_.caller.model);
  return candidate;
}

bool ProxiedRequest::IsOverdue(const UpstreamEntry& upstream) const {
  const std::optional<WeightVersionNumber> weights = WeightsAt(upstream);
  const std::optional<StoreTime> now = state_.StoreNow();
  if (!weights || !now) return false;
  const milliseconds limit =
      state_.settings.bounds.stale_weights_limit - StaleWeightsMargin();
  return state_.target_weights.IsOverdue(admitted_.caller.model, *weights,
                                         limit, *now);
}

bool ProxiedRequest::BeginsResumableStream() const {
  return admitted_.route->kind == RouteKind::kStreaming &&
         admitted_.route->resumable && !stream_software_;
}

std::vector<const UpstreamEntry*> ProxiedRequest::UsableBySoftware() const {
  std::vector<const UpstreamEntry*> usable = state_.roster.Usable(service_);
  if (stream_software_) {
    std::erase_if(usable, [this](const UpstreamEntry* it) {
      return it->software != *stream_software_;
    });
    return usable;
  }
  const bool one_version =
      std::all_of(usable.begin(), usable.end(), [&](const UpstreamEntry* it) {
        return it->software == usable.front()->software;
      });
  if (one_version || !BeginsResumableStream()) return usable;
  const TimePoint now = state_.Now();
  std::map<SoftwareGroup, Incarnation> oldest;
  for (const UpstreamEntry* it : usable) {
    if (state_.health.Paused(it->id, now)) continue;
    const auto [known, added] =
        oldest.try_emplace({service_, it->software}, it->incarnation);
    if (!added) known->second = std::min(known->second, it->incarnation);
  }
  std::vector<ServingVersion> serving;
  for (const auto& [group, incarnation] : oldest) {
    serving.push_back({group, incarnation});
  }
  if (serving.size() < 2) return usable;
  const std::vector<SoftwareGroup> starters =
      state_.version_record.Starters(serving, state_.StoreAnsweredAt());
  std::erase_if(usable, [&](const UpstreamEntry* it) {
    return std::find(starters.begin(), starters.end(),
                     SoftwareGroup{service_, it->software}) == starters.end();
  });
  return usable;
}

PlacementFleet ProxiedRequest::Fleet() const {
  PlacementFleet fleet = FleetWithoutCandidates();
  const GatewayService* service = admitted_.config->FindService(service_);
  const bool engines = service != nullptr && service->engine.has_value();
  const bool needs_room = !returns_only_ && NeedsRoom(fleet);
  RoomDemand demand;
  if (needs_room) demand = MakeRoomDemand();
  const TimePoint now = state_.Now();
  lacks_room_ = false;
  std::vector<PlacementCandidate> overdue;
  for (const UpstreamEntry* upstream : UsableBySoftware()) {
    if (engines && !WeightsAt(*upstream)) continue;
    PlacementCandidate candidate = CandidateFor(*upstream);
    candidate.slowdown = state_.speeds.SlowdownOf(*upstream, now);
    if (needs_room && !candidate.held_back &&
        CheckRoom(demand, CapacityOf(*upstream, fleet),
                  state_.load.Total(upstream->id, now),
                  state_.overload.limits()) != RoomVerdict::kRoom) {
      candidate.held_back = true;
      lacks_room_ = true;
    }
    if (!candidate.old_weights || !IsOverdue(*upstream)) {
      fleet.candidates.push_back(std::move(candidate));
    } else if (UseOfOverdueWeights(*WeightsAt(*upstream)) !=
               OverdueUse::kForbidden) {
      overdue.push_back(std::move(candidate));
    }
  }
  if (lacks_room_) HoldBackLastResorts(fleet.candidates);
  // Without any usable engine, the others tell when one will have room.
  const bool only_overdue = fleet.candidates.empty() || AnyUsable(overdue);
  if (!AnyUsable(fleet.candidates) && only_overdue) {
    fleet.candidates = std::move(overdue);
  }
  return fleet;
}

void ProxiedRequest::HoldBackLastResorts(
    std::vector<PlacementCandidate>& candidates) const {
  const TimePoint now = state_.Now();
  for (PlacementCandidate& it : candidates) {
    const bool paused = state_.health.Paused(it.upstream->id, now);
    if (it.loading || paused) it.held_back = true;
  }
}

bool ProxiedRequest::HasUntriedUpstream() const {
  for (const PlacementCandidate& candidate : Fleet().candidates) {
    if (candidate.held_back) continue;
    const auto& tried = query_.tried;
    if (std::find(tried.begin(), tried.end(), candidate.upstream->id) ==
        tried.end()) {
      return true;
    }
  }
  return false;
}

void ProxiedRequest::ExcludeAllButSilentUpstreams() {
  for (const UpstreamEntry* it : state_.roster.All()) {
    std::erase(query_.tried, it->id);
    query_.tried.push_back(it->id);
  }
}

void ProxiedRequest::ReadmitSilentUpstreams() {
  for (const UpstreamId& upstream : std::exchange(silent_upstreams_, {})) {
    std::erase(query_.tried, upstream);
  }
}

milliseconds ProxiedRequest::WaitForLimit(const UpstreamEntry& upstream) const {
  if (!state_.limits.LimitOf(upstream.id)) return milliseconds(0);
  const std::optional<StoreTime> now = state_.StoreNow();
  if (!now) return milliseconds(0);
  return state_.limits.WaitFor(upstream.id, upstream.incarnation, *now);
}

milliseconds ProxiedRequest::WaitFor(const UpstreamEntry& upstream) const {
  return std::max(WaitForLimit(upstream), state_.WaitForPause(upstream));
}

std::optional<milliseconds> ProxiedRequest::TimeUntilRoom() const {
  std::optional<milliseconds> shortest_pause;
  double rate = 0;
  bool limited = false;
  for (const UpstreamEntry* upstream : state_.roster.Usable(service_)) {
    const milliseconds pause = state_.WaitForPause(*upstream);
    if (pause > milliseconds(0)) {
      shortest_pause = std::min(pause, shortest_pause.value_or(pause));
    } else if (WaitForLimit(*upstream) > milliseconds(0)) {
      limited = true;
      rate += state_.limits.LimitOf(upstream->id).value_or(0);
    }
  }
  if (!limited) return shortest_pause;
  // All gateways together get one request through in this time.
  const std::chrono::duration<double> interval(
      1.0 / std::max(rate, state_.limits.lowest_rate()));
  const auto room = std::chrono::ceil<milliseconds>(interval);
  return std::min(room, shortest_pause.value_or(room));
}

void ProxiedRequest::OnNoUpstream(TimePoint now) {
  const std::optional<milliseconds> room = TimeUntilRoom();
  if (!room) return OnEnd(AttemptEnd::kNotSent, "no usable upstream");
  retry_after_ = std::max(kMinRetryAfter, *room);
  ++state_.requests_held_back;
  state_.log.Write(LogKind::kFailure, now,
                   "event=held_back id={} route={} service={} limited={} "
                   "paused={} retry_after_ms={}",
                   admitted_.caller.attempt_id, admitted_.route->name,
                   service_.value, state_.limits.limited_count(),
                   state_.pauses.size(), retry_after_->count());
  OnEnd(AttemptEnd::kNotSent, "upstreams take no more requests for now");
}

}  // namespace yuccapick
