#include "gateway/cache_watch.h"

#include <algorithm>

#include "gateway/http_status.h"
#include "platform/engine_calls.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{1'000};
constexpr milliseconds kTimeout{1'600};
/// Events are collected for this long between two calls.
constexpr milliseconds kPause{150};
constexpr milliseconds kFailurePause{700};
constexpr char kStoreName[] = "kv-store";
/// Part of the watchers that a cache takes which is made use of.
constexpr double kWatcherUse = 0.75;
/// Where not all gateways may watch a cache, this many do, so that one of them
/// can go; the first tells the others.
constexpr std::size_t kFewWatchers = 2;
/// What fits a report beside the rest.
constexpr std::size_t kMaxPartNews = 96;
/// The KV store is left alone after this many failures in a row.
constexpr std::uint32_t kStoreFailures = 1;

}  // namespace

std::size_t CacheWatch::RankFor(const std::string& name) const {
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
         max_watchers * kWatcherUse;
}

bool CacheWatch::MayWatch(const std::string& name,
                          std::uint32_t max_watchers) const {
  if (AllMayWatch(max_watchers)) return true;
  if (state_.live_peers.empty() || max_watchers < kFewWatchers) return false;
  return RankFor(name) < kFewWatchers;
}

void CacheWatch::TellPeers(const Target& target, const CacheChange& change) {
  if (!target.tells_peers) return;
  if (!state_.parts.IsShared(change.part_hash)) return;
  if (state_.part_news.size() >= kMaxPartNews) return;
  state_.part_news.push_back(
      {target.upstream, change.part_hash, change.tokens});
}

void CacheWatch::OnTick(TimePoint now) {
  if (state_.config == nullptr) return;
  std::map<std::string, bool> wanted;
  const GatewayService* store = state_.config->FindKvStore();
  watches_kv_store_ =
      store != nullptr && MayWatch(kStoreName, store->kv_store_watchers);
  if (!watches_kv_store_) state_.kv_store_usable = !state_.peers_lost_kv_store;
  if (watches_kv_store_) {
    wanted[kStoreName] = true;
    Follow(kStoreName, store->kv_store_endpoint, UpstreamId(), false);
  }
  for (const UpstreamEntry* upstream : state_.roster.All()) {
    if (upstream->leaving || upstream->weights.empty()) continue;
    const GatewayService* service =
        state_.config->FindService(upstream->service);
    if (service == nullptr || !service->engine) continue;
    const std::string& name = upstream->id.value;
    if (!MayWatch(name, service->engine->max_cache_watchers)) continue;
    wanted[name] = true;
    const bool tells_peers =
        !AllMayWatch(service->engine->max_cache_watchers) && RankFor(name) == 0;
    Follow(name, upstream->endpoint, upstream->id, tells_peers);
  }
  DropOthers(wanted);
  for (auto& [name, target] : targets_) {
    if (!target.asking && now >= target.next_call) Ask(name, target);
  }
}

void CacheWatch::Follow(const std::string& name, const std::string& endpoint,
                        const UpstreamId& upstream, bool tells_peers) {
  Target& target = targets_[name];
  target.tells_peers = tells_peers;
  if (target.endpoint == endpoint) return;
  target = Target();
  target.endpoint = endpoint;
  target.upstream = upstream;
  target.generation = ++generations_;
  target.tells_peers = tells_peers;
}

void CacheWatch::DropOthers(const std::map<std::string, bool>& wanted) {
  std::erase_if(targets_, [&wanted](const auto& entry) {
    return !wanted.contains(entry.first);
  });
}

void CacheWatch::Ask(const std::string& name, Target& target) {
  target.asking = true;
  const std::uint64_t generation = target.generation;
  calls_.Call(target.endpoint,
              platform::EncodeCacheWatch(target.endpoint, target.since, kWait),
              kTimeout,
              [this, name, generation](const absl::StatusOr<CallAnswer>& it) {
                OnAnswer(name, generation, it);
              });
}

void CacheWatch::OnAnswer(const std::string& name, std::uint64_t generation,
                          const absl::StatusOr<CallAnswer>& answer) {
  const auto it = targets_.find(name);
  if (it == targets_.end() || it->second.generation != generation) return;
  Target& target = it->second;
  target.asking = false;
  if (!answer.ok()) return OnFailure(target, answer.status().message().data());
  if (answer->status != kHttpOk) return OnFailure(target, "refused");
  const absl::StatusOr<CacheEvents> events =
      platform::DecodeCacheEvents(answer->body);
  if (!events.ok()) return OnFailure(target, events.status().message().data());
  target.failures = 0;
  target.next_call = state_.Now() + kPause;
  Apply(target, *events);
}

void CacheWatch::OnFailure(Target& target, std::string_view reason) {
  const TimePoint now = state_.Now();
  ++target.failures;
  target.next_call = now + kFailurePause;
  if (!target.upstream.empty() || target.failures != kStoreFailures) return;
  state_.kv_store_usable = false;
  state_.log.Write(LogKind::kLife, now,
                   "event=kv_store_lost endpoint={} reason=\"{}\"",
                   target.endpoint, reason);
}

void CacheWatch::Apply(Target& target, const CacheEvents& events) {
  const TimePoint now = state_.Now();
  const bool is_store = target.upstream.empty();
  if (is_store && !state_.kv_store_usable) {
    state_.kv_store_usable = true;
    state_.log.Write(LogKind::kLife, now, "event=kv_store_regained endpoint={}",
                     target.endpoint);
  }
  const bool new_life = target.incarnation != Incarnation() &&
                        target.incarnation != events.incarnation;
  target.incarnation = events.incarnation;
  if (new_life && is_store) state_.parts.OnStoreLost();
  if (new_life && !is_store) state_.parts.OnEngineLost(target.upstream);
  for (const CacheChange& change : events.changes) {
    if (is_store) {
      state_.parts.OnStoreChange(change, now);
    } else {
      state_.parts.OnEngineChange(target.upstream, change, now);
      TellPeers(target, change);
    }
  }
  target.since = events.next;
}

}  // namespace yuccapick
