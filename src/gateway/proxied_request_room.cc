#include <algorithm>
#include <utility>

#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A request waits for room for at most this share of its target latency: an
/// answer that begins later is late anyway.
constexpr double kMaxWaitShare = 0.4;
/// It leaves its caller this part of the remaining time to try elsewhere.
constexpr int kMaxWaitPartOfTime = 4;
/// Time until an engine has memory or a slot again, as its requests end.
constexpr milliseconds kTimeUntilMemoryFits{150};
/// While room lacks, callers come back after as long as it has lacked.
constexpr milliseconds kMinShortRetryAfter{500};
constexpr milliseconds kMaxShortRetryAfter{3'000};

}  // namespace

bool ProxiedRequest::NeedsRoom(const PlacementFleet& fleet) const {
  // A request that was sent before isn't refused for lack of room.
  return fleet.kv_capacity_tokens > 0 && attempts_sent_ == 0 &&
         !answer_started_;
}

bool ProxiedRequest::ExceedsFairShare() const {
  return admitted_.team != nullptr &&
         state_.overload.teams.Exceeds(TeamHash(admitted_.team->id));
}

RoomDemand ProxiedRequest::MakeRoomDemand() const {
  RoomDemand demand;
  const ServiceRanks& ranks = admitted_.config->RanksOf(service_);
  demand.rank = ranks.RankOf(Urgency());
  if (ExceedsFairShare()) ++demand.rank;
  demand.kv_tokens = KvTokensNeeded();
  demand.target_latency = admitted_.route->target_latency;
  demand.urgent_latency = ranks.urgent_latency.count() > 0
                              ? ranks.urgent_latency
                              : demand.target_latency;
  return demand;
}

EngineCapacity ProxiedRequest::CapacityOf(const UpstreamEntry& upstream,
                                          const PlacementFleet& fleet) const {
  return {upstream.slots, fleet.kv_capacity_tokens,
          fleet.prefill_tokens_per_ms /
              state_.speeds.SlowdownOf(upstream, state_.Now())};
}

milliseconds ProxiedRequest::TimeUntilEngineFits() const {
  const PlacementFleet fleet = Fleet();
  const RoomDemand demand = MakeRoomDemand();
  const TimePoint now = state_.Now();
  milliseconds soonest = milliseconds::max();
  for (const PlacementCandidate& it : fleet.candidates) {
    const EngineCapacity capacity = CapacityOf(*it.upstream, fleet);
    const WorkAmount work = state_.load.Total(it.upstream->id, now);
    const RoomLimits& limits = state_.overload.limits();
    const RoomVerdict verdict = CheckRoom(demand, capacity, work, limits);
    const milliseconds wait =
        verdict == RoomVerdict::kBacklog
            ? TimeUntilBacklogFits(demand, capacity, work, limits)
            : kTimeUntilMemoryFits;
    soonest = std::min(soonest, wait);
  }
  // Requests that wait at all gateways begin one after the other.
  const double engines = std::max<std::size_t>(fleet.candidates.size(), 1);
  const double ahead = static_cast<double>(
      state_.overload.waiting().AheadOf(service_, demand.rank) *
      state_.LiveGateways());
  const milliseconds turn(static_cast<std::int64_t>(
      ahead * query_.prompt_tokens / (fleet.prefill_tokens_per_ms * engines)));
  return soonest == milliseconds::max() ? kMaxShortRetryAfter : soonest + turn;
}

bool ProxiedRequest::AwaitRoom(TimePoint now) {
  if (!lacks_room_) return false;
  const milliseconds max_wait =
      std::min(duration_cast<milliseconds>(admitted_.route->target_latency *
                                           kMaxWaitShare),
               TimeLeft(now) / kMaxWaitPartOfTime);
  const RoomDemand demand = MakeRoomDemand();
  const milliseconds expected = TimeUntilEngineFits();
  WaitingRequest waiting;
  waiting.id = state_.overload.NextId();
  waiting.service = service_;
  waiting.rank = demand.rank;
  waiting.bytes = body_->size();
  waiting.kv_tokens = demand.kv_tokens;
  if (admitted_.team != nullptr) {
    waiting.team_usage =
        state_.overload.teams.UsageOf(TeamHash(admitted_.team->id));
  }
  const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  const bool waits =
      expected <= max_wait && state_.overload.Wait(waiting, [weak] {
        const auto self = weak.lock();
        return self != nullptr && self->TryAgainForRoom();
      });
  if (!waits) {
    RefuseForRoom(expected, milliseconds(0), now);
    return true;
  }
  room_id_ = waiting.id;
  room_wait_began_at_ = now;
  timer_.expires_at(now + max_wait);
  timer_.async_wait([weak](const asio::error_code& ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->OnRoomTimeout();
  });
  return true;
}

bool ProxiedRequest::TryAgainForRoom() {
  if (done_ || room_id_ == 0) return false;
  const TimePoint now = state_.Now();
  const PlacementFleet fleet = Fleet();
  const auto choice = state_.placement.Choose(query_, fleet, state_.parts,
                                              state_.load, state_.health, now);
  if (!choice) return true;
  const auto self = shared_from_this();
  room_id_ = 0;
  timer_.cancel();
  TrySend();
  return false;
}

void ProxiedRequest::OnRoomTimeout() {
  if (done_ || room_id_ == 0) return;
  const auto self = shared_from_this();
  const TimePoint now = state_.Now();
  const auto waited = duration_cast<milliseconds>(now - room_wait_began_at_);
  state_.overload.Remove(std::exchange(room_id_, 0));
  RefuseForRoom(TimeUntilEngineFits(), waited, now);
}

void ProxiedRequest::RecordTeamWork(const DirectPlacementDecision& choice,
                                    TimePoint now) {
  if (query_.prompt_tokens == 0) return;
  if (admitted_.team != nullptr) {
    state_.overload.teams.OnSent(TeamHash(admitted_.team->id),
                                 choice.missing_tokens + query_.output_tokens,
                                 now);
  }
  if (attempts_sent_ == 0 && room_wait_began_at_ == TimePoint()) {
    state_.overload.OnRoomFound(service_, MakeRoomDemand().rank);
  }
}

void ProxiedRequest::RefuseForRoom(milliseconds expected, milliseconds waited,
                                   TimePoint now) {
  const RoomDemand demand = MakeRoomDemand();
  state_.overload.OnRefused(service_, demand.rank, now);
  const auto since = state_.overload.ShortSince(service_, demand.rank);
  const auto lacking = duration_cast<milliseconds>(now - since.value_or(now));
  retry_after_ = std::max(
      expected, std::clamp(lacking, kMinShortRetryAfter, kMaxShortRetryAfter));
  state_.log.Write(LogKind::kFailure, now,
                   "event=no_room id={} route={} team={} rank={} kv_tokens={} "
                   "expected_ms={} "
                   "waited_ms={} waiting={} lacking_ms={} retry_after_ms={}",
                   admitted_.caller.attempt_id, admitted_.route->name,
                   admitted_.team == nullptr ? "-" : admitted_.team->id.value,
                   demand.rank, demand.kv_tokens, expected.count(),
                   waited.count(), state_.overload.waiting().size(),
                   lacking.count(), retry_after_->count());
  OnEnd(AttemptEnd::kNotSent, "engines have no room");
}

}  // namespace yuccapick
