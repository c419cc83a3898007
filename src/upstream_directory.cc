#include "yuccapick/upstream_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccapick {
namespace {

template <typename Id>
bool Contains(const std::vector<Id>& ids, const Id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

std::uint64_t UpstreamRendezvousScore(const UpstreamId& id,
                                      std::string_view key) {
  const std::uint64_t seed = XXH64(id.value.data(), id.value.size(), 0);
  return XXH64(key.data(), key.size(), seed);
}

void UpstreamDirectory::Apply(const UpstreamInfo& upstream) {
  auto it = entries_.find(upstream.id);
  if (it == entries_.end()) {
    entries_[upstream.id].info = upstream;
    return;
  }
  UpstreamInfo& known = it->second.info;
  if (upstream.agent_incarnation < known.agent_incarnation) return;
  const bool same_incarnation =
      upstream.agent_incarnation == known.agent_incarnation;
  const UpstreamState before = known.state;
  const bool keep_leaving = guards_.draining_is_final && same_incarnation &&
                            before >= UpstreamState::kLeaving;
  known = upstream;
  if (keep_leaving) known.state = std::max(before, upstream.state);
  if (!same_incarnation) it->second.in_flight = 0;
}

void UpstreamDirectory::MarkLeaving(const UpstreamId& id, Incarnation agent) {
  auto it = entries_.find(id);
  if (it == entries_.end() || !guards_.draining_is_final) return;
  if (it->second.info.agent_incarnation != agent) return;
  it->second.info.state =
      std::max(it->second.info.state, UpstreamState::kLeaving);
}

void UpstreamDirectory::ObserveIncarnation(const UpstreamId& id,
                                           Incarnation agent) {
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  it->second.highest_seen = std::max(it->second.highest_seen, agent);
}

void UpstreamDirectory::OnSent(const UpstreamId& id) {
  ++entries_[id].in_flight;
}

void UpstreamDirectory::OnEnded(const UpstreamId& id) {
  auto it = entries_.find(id);
  if (it != entries_.end() && it->second.in_flight > 0) --it->second.in_flight;
}

const UpstreamInfo* UpstreamDirectory::Find(const UpstreamId& id) const {
  auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.info;
}

bool UpstreamDirectory::IsLive(const UpstreamId& id) const {
  const UpstreamInfo* upstream = Find(id);
  return upstream != nullptr && upstream->state == UpstreamState::kLive;
}

bool UpstreamDirectory::HasEnded(const UpstreamId& id,
                                 Incarnation agent) const {
  auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  if (it->second.highest_seen > agent) return true;
  const UpstreamInfo* upstream = &it->second.info;
  if (upstream->agent_incarnation > agent) return true;
  return upstream->agent_incarnation == agent &&
         upstream->state == UpstreamState::kGone;
}

bool UpstreamDirectory::Serves(const Entry& entry, const ServiceId& service,
                               const std::vector<UpstreamId>& excluded) const {
  const UpstreamInfo& info = entry.info;
  return info.kind == UpstreamKind::kPlainService &&
         info.state == UpstreamState::kLive &&
         Contains(info.services, service) && !Contains(excluded, info.id);
}

std::optional<UpstreamId> UpstreamDirectory::PickLeastLoaded(
    const ServiceId& service, std::string_view key,
    const std::vector<UpstreamId>& excluded) const {
  const Entry* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& [id, entry] : entries_) {
    if (!Serves(entry, service, excluded)) continue;
    const std::uint64_t score = UpstreamRendezvousScore(id, key);
    const bool better =
        best == nullptr || entry.in_flight < best->in_flight ||
        (entry.in_flight == best->in_flight && score > best_score);
    if (!better) continue;
    best = &entry;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return best->info.id;
}

std::optional<UpstreamId> UpstreamDirectory::PickByRendezvous(
    const ServiceId& service, std::string_view key,
    const std::vector<UpstreamId>& excluded) const {
  std::optional<UpstreamId> home;
  std::uint64_t best_score = 0;
  for (const auto& [id, entry] : entries_) {
    if (!Serves(entry, service, excluded)) continue;
    const std::uint64_t score = UpstreamRendezvousScore(id, key);
    if (home && score <= best_score) continue;
    home = id;
    best_score = score;
  }
  return home;
}

std::uint32_t UpstreamDirectory::InFlight(const UpstreamId& id) const {
  auto it = entries_.find(id);
  return it == entries_.end() ? 0 : it->second.in_flight;
}

std::size_t UpstreamDirectory::CountLive(UpstreamKind kind) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [kind](const auto& it) {
        return it.second.info.kind == kind &&
               it.second.info.state == UpstreamState::kLive;
      }));
}

}  // namespace yuccapick
