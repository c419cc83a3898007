#include "gateway/cache_watch.h"

#include <algorithm>

#include "gateway/http_status.h"
#include "platform/engine_calls.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongPollWait{1'000};
constexpr milliseconds kCallTimeout{1'300};
/// Of some ten thousand events. To parse them takes several times as much.
constexpr std::size_t kMaxEventsBytes = 1'048'576;
/// After a failure a short poll shows soon whether the cache answers.
constexpr milliseconds kShortPollWait{200};
constexpr milliseconds kShortCallTimeout{400};
/// Delay between two calls, so that one answer carries several events.
constexpr milliseconds kPollInterval{150};
constexpr milliseconds kRetryDelay{700};
/// Share of a cache's watcher limit that the gateways use.
constexpr double kUsableWatcherShare = 0.75;
/// Number of watchers of a cache that not all gateways may watch: one spare, so
/// that one can fail. The first of them reports changes to its peers.
constexpr std::size_t kMinWatchers = 2;

}  // namespace

std::size_t CacheWatch::WatcherRank(const std::string& name) const {
  const std::uint64_t key = RendezvousNodeHash(name);
  const std::uint64_t own =
      RendezvousScore(key, RendezvousNodeHash(state_.settings.instance.value));
  std::size_t rank = 0;
  for (const InstanceId& peer : state_.live_peers) {
    if (RendezvousScore(key, RendezvousNodeHash(peer.value)) > own) ++rank;
  }
  return rank;
}

bool CacheWatch::AllMayWatch(std::uint32_t max_watchers) const {
  return static_cast<double>(state_.gateway_count) <=
         max_watchers * kUsableWatcherShare;
}

bool CacheWatch::MayWatch(const std::string& name,
                          std::uint32_t max_watchers) const {
  if (AllMayWatch(max_watchers)) return true;
  if (state_.live_peers.empty() || max_watchers < kMinWatchers) return false;
  return WatcherRank(name) < kMinWatchers;
}

void CacheWatch::TellOwner(const Target& target, const CacheChange& change) {
  if (!target.reports_to_peers) return;
  HolderRecord holder{target.upstream, change.tokens, false, {}, false};
  if (target.upstream.empty()) {
    holder.upstream = UpstreamId(target.endpoint);
    holder.kv_store = true;
  }
  state_.tell_part_owner({change.part_hash, holder, /*from_cache=*/true});
}

void CacheWatch::WatchKvStores(std::map<std::string, bool>& wanted) {
  for (const GatewayService* service : state_.config->KvStores()) {
    const std::string& endpoint = service->kv_store_endpoint;
    const std::uint32_t max_watchers = service->kv_store_watchers;
    KvStoreState& store = state_.kv_stores[endpoint];
    store.watched = MayWatch(endpoint, max_watchers);
    if (!store.watched) {
      store.usable = !store.lost_by_peers;
      continue;
    }
    wanted[endpoint] = true;
    SetTarget(endpoint, endpoint, UpstreamId(),
              !AllMayWatch(max_watchers) && WatcherRank(endpoint) == 0);
  }
}

void CacheWatch::WatchEngines(std::map<std::string, bool>& wanted) {
  state_.watches_all_caches = true;
  for (const UpstreamEntry* upstream : state_.roster.All()) {
    if (upstream->leaving || upstream->weights.empty()) continue;
    const GatewayService* service =
        state_.config->FindService(upstream->service);
    if (service == nullptr || !service->engine) continue;
    const std::string& name = upstream->id.value;
    const bool all_watch = AllMayWatch(service->engine->max_cache_watchers);
    if (!all_watch) state_.watches_all_caches = false;
    if (!MayWatch(name, service->engine->max_cache_watchers)) continue;
    wanted[name] = true;
    SetTarget(name, upstream->endpoint, upstream->id,
              !all_watch && WatcherRank(name) == 0);
  }
}

void CacheWatch::OnTick(TimePoint now) {
  if (state_.config == nullptr) return;
  std::map<std::string, bool> wanted;
  WatchKvStores(wanted);
  WatchEngines(wanted);
  RemoveUnwantedTargets(wanted);
  for (auto& [name, target] : targets_) {
    if (target.polling || now < target.next_call) continue;
    if (!IsPaused(target.upstream, now)) Poll(name, target);
  }
}

bool CacheWatch::IsPaused(const UpstreamId& upstream, TimePoint now) const {
  const UpstreamEntry* entry = state_.roster.Find(upstream);
  if (entry == nullptr) return false;
  return state_.pauses.WaitFor(upstream, entry->incarnation, now) >
         std::chrono::milliseconds(0);
}

void CacheWatch::SetTarget(const std::string& name, const std::string& endpoint,
                           const UpstreamId& upstream, bool reports_to_peers) {
  Target& target = targets_[name];
  target.reports_to_peers = reports_to_peers;
  if (target.endpoint == endpoint) return;
  target = Target();
  target.endpoint = endpoint;
  target.upstream = upstream;
  target.generation = ++generations_;
  target.reports_to_peers = reports_to_peers;
}

void CacheWatch::RemoveUnwantedTargets(
    const std::map<std::string, bool>& wanted) {
  std::erase_if(targets_, [&wanted](const auto& entry) {
    return !wanted.contains(entry.first);
  });
}

void CacheWatch::Poll(const std::string& name, Target& target) {
  target.polling = true;
  const bool failed = target.failures > 0;
  const std::uint64_t generation = target.generation;
  calls_.Call(
      target.endpoint,
      platform::EncodeWatchCacheEvents(target.endpoint, target.since,
                                       failed ? kShortPollWait : kLongPollWait),
      failed ? kShortCallTimeout : kCallTimeout,
      [this, name, generation](const absl::StatusOr<CallAnswer>& it,
                               const CallProgress& /*progress*/) {
        OnAnswer(name, generation, it);
      },
      {ConnectionUse::kShared, kMaxEventsBytes, /*within_budget=*/true});
}

void CacheWatch::OnAnswer(const std::string& name, std::uint64_t generation,
                          const absl::StatusOr<CallAnswer>& answer) {
  const auto it = targets_.find(name);
  if (it == targets_.end() || it->second.generation != generation) return;
  Target& target = it->second;
  target.polling = false;
  if (absl::IsDeadlineExceeded(answer.status()) && target.failures == 0) {
    return OnSilence(target);
  }
  if (!answer.ok()) return OnFailure(target, answer.status().message().data());
  if (answer->status != kHttpOk) return OnFailure(target, "refused");
  const absl::StatusOr<CacheEvents> events =
      platform::DecodeCacheEvents(answer->body);
  if (!events.ok()) return OnFailure(target, events.status().message().data());
  target.failures = 0;
  target.next_call = state_.Now() + kPollInterval;
  if (events->unreadable > 0) {
    state_.log.Write(LogKind::kFailure, state_.Now(),
                     "event=cache_events_unreadable endpoint={} events={}",
                     target.endpoint, events->unreadable);
  }
  Apply(target, *events);
}

void CacheWatch::OnSilence(Target& target) {
  const TimePoint now = state_.Now();
  ++target.failures;
  target.next_call = now;
  state_.log.Write(LogKind::kFailure, now,
                   "event=cache_poll_unanswered endpoint={} upstream={} "
                   "waited_ms={} since={}",
                   target.endpoint,
                   target.upstream.empty() ? "-" : target.upstream.value,
                   kCallTimeout.count(), target.since);
}

void CacheWatch::OnFailure(Target& target, std::string_view reason) {
  const TimePoint now = state_.Now();
  ++target.failures;
  target.next_call = now + kRetryDelay;
  if (!target.upstream.empty() || !StoreOf(target).usable) return;
  StoreOf(target).usable = false;
  state_.log.Write(LogKind::kLifecycle, now,
                   "event=kv_store_lost endpoint={} reason=\"{}\"",
                   target.endpoint, reason);
}

void CacheWatch::Apply(Target& target, const CacheEvents& events) {
  const bool restarted = target.incarnation != Incarnation() &&
                         target.incarnation != events.incarnation;
  const bool same_order = target.incarnation == events.incarnation;
  if (same_order && events.next < target.since) {
    state_.log.Write(LogKind::kFailure, state_.Now(),
                     "event=cache_answer_skipped endpoint={} since={} next={} "
                     "reason=\"answers an earlier poll\"",
                     target.endpoint, target.since, events.next);
    return;
  }
  target.incarnation = events.incarnation;
  if (target.upstream.empty()) {
    ApplyStoreAnswer(target, restarted);
  } else if (restarted) {
    state_.parts.OnEngineLost(target.upstream);
  }
  const TimePoint now = state_.Now();
  for (const auto& [number, change] : events.changes) {
    const bool seen = same_order && number <= target.since;
    if (seen) continue;
    if (target.upstream.empty()) {
      state_.parts.OnStoreChange(target.endpoint, change, now);
    } else {
      state_.parts.OnEngineChange(target.upstream, change, now);
    }
    TellOwner(target, change);
  }
  target.since = events.next;
}

void CacheWatch::ApplyStoreAnswer(const Target& target, bool restarted) {
  KvStoreState& store = StoreOf(target);
  store.incarnation = target.incarnation;
  if (restarted) state_.parts.OnStoreLost(target.endpoint);
  if (store.usable) return;
  store.usable = true;
  state_.log.Write(LogKind::kLifecycle, state_.Now(),
                   "event=kv_store_regained endpoint={}", target.endpoint);
}

}  // namespace yuccapick
