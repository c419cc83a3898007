#include "yuccapick/gateway_config.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/string_view.h"

namespace yuccapick {
namespace {

std::uint64_t IsolationHash(const std::vector<GatewayTeam>& teams) {
  std::vector<std::string> isolated;
  for (const GatewayTeam& team : teams) {
    if (team.isolated) isolated.push_back(team.id.value);
  }
  std::sort(isolated.begin(), isolated.end());
  std::string joined;
  for (const std::string& name : isolated) joined += name + '\n';
  return XXH3_64bits(joined.data(), joined.size());
}

}  // namespace

GatewayConfig::GatewayConfig(ConfigVersion version,
                             std::vector<GatewayRoute> routes,
                             std::vector<GatewayService> services,
                             AccessControl access,
                             std::vector<GatewayTeam> teams,
                             CallerLimits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      access_(access),
      teams_(std::move(teams)),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    by_host_[routes_[i].host].push_back(i);
  }
  for (auto& [host, positions] : by_host_) {
    std::stable_sort(positions.begin(), positions.end(),
                     [this](std::size_t a, std::size_t b) {
                       return routes_[a].prefix.size() >
                              routes_[b].prefix.size();
                     });
  }
  IndexTeams();
  RankPriorities();
}

void GatewayConfig::IndexTeams() {
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    for (const std::string& key : teams_[i].keys) by_key_.emplace(key, i);
    by_team_.emplace(teams_[i].id, i);
  }
  isolation_hash_ = IsolationHash(teams_);
  has_quotas_ = std::any_of(teams_.begin(), teams_.end(), [](const auto& it) {
    return it.quota.has_value();
  });
}

std::chrono::milliseconds GatewayConfig::LongestStreamTime() const {
  std::chrono::milliseconds longest{0};
  for (const GatewayRoute& route : routes_) {
    if (route.resumable) longest = std::max(longest, route.timeout);
  }
  return longest;
}

const GatewayRoute* GatewayConfig::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const auto it = by_host_.find(absl::string_view(host.data(), host.size()));
  if (it == by_host_.end()) return nullptr;
  for (const std::size_t i : it->second) {
    if (path.starts_with(routes_[i].prefix)) return &routes_[i];
  }
  return nullptr;
}

const GatewayTeam* GatewayConfig::FindTeam(std::string_view key) const {
  const auto it = by_key_.find(absl::string_view(key.data(), key.size()));
  return it == by_key_.end() ? nullptr : &teams_[it->second];
}

std::uint32_t ServiceRanks::RankOf(std::int32_t priority) const {
  return static_cast<std::uint32_t>(
      std::lower_bound(priorities.begin(), priorities.end(), priority) -
      priorities.begin());
}

void GatewayConfig::RankPriorities() {
  for (const GatewayRoute& route : routes_) {
    for (const RouteTarget& target : route.targets) {
      ServiceRanks& ranks = ranks_[target.service];
      const bool first =
          ranks.priorities.empty() || route.priority < ranks.priorities.front();
      const bool sooner = !first &&
                          route.priority == ranks.priorities.front() &&
                          route.target_latency < ranks.urgent_latency;
      if (first || sooner) ranks.urgent_latency = route.target_latency;
      const auto it = std::lower_bound(ranks.priorities.begin(),
                                       ranks.priorities.end(), route.priority);
      if (it == ranks.priorities.end() || *it != route.priority) {
        ranks.priorities.insert(it, route.priority);
      }
    }
  }
}

const ServiceRanks& GatewayConfig::RanksOf(const ServiceId& service) const {
  static const ServiceRanks kNone;
  const auto it = ranks_.find(service);
  return it == ranks_.end() ? kNone : it->second;
}

const GatewayTeam* GatewayConfig::FindTeamById(const TeamId& id) const {
  const auto it = by_team_.find(id);
  return it == by_team_.end() ? nullptr : &teams_[it->second];
}

const GatewayService* GatewayConfig::FindService(const ServiceId& id) const {
  for (const GatewayService& service : services_) {
    if (service.id == id) return &service;
  }
  return nullptr;
}

std::vector<const GatewayService*> GatewayConfig::KvStores() const {
  std::vector<const GatewayService*> stores;
  for (const GatewayService& service : services_) {
    if (!service.kv_store_endpoint.empty()) stores.push_back(&service);
  }
  return stores;
}

std::chrono::duration<double, std::milli> GatewayConfig::KvStoreTimePerToken(
    const GatewayService& store) const {
  using Time = std::chrono::duration<double, std::milli>;
  if (store.kv_store_bits_per_ms <= 0) return Time(0);
  double bits = 0;
  for (const GatewayService& service : services_) {
    if (service.engine) bits = std::max(bits, service.engine->kv_token_bits);
  }
  return Time(bits / store.kv_store_bits_per_ms);
}

std::string GatewayConfig::CacheScopeOf(const GatewayTeam* team,
                                        std::uint64_t weight_version) const {
  const bool isolated = team != nullptr && team->isolated;
  return fmt::format("{}-{:x}-{}", weight_version, isolation_hash_,
                     isolated ? team->id.value : "");
}

}  // namespace yuccapick
