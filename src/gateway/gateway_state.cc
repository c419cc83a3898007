#include "gateway/gateway_state.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "gateway/boot_clock.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

/// Share of the process's memory that the bodies of requests may take.
constexpr double kRequestMemoryShare = 0.6;

/// Memory of a process without callers. Where the settings allow at least twice
/// as much, it is kept free of requests.
constexpr std::size_t kOwnMemoryBytes = 16'777'216;
/// Share of the memory for callers that connections may take.
constexpr double kConnectionShare = 0.25;
/// Of a connection without requests: its buffer and what belongs to it.
constexpr std::size_t kConnectionBytes = 10'240;
/// Descriptors that are kept for files, listeners, peers and the store.
constexpr std::size_t kReservedFds = 200;
/// A caller's request takes a second descriptor, at its upstream.
constexpr std::size_t kFdsPerCaller = 2;
constexpr std::size_t kMinCallerConnections = 16;

/// Part of the memory that answers to the gateway's own calls may take.
constexpr std::size_t kCallMemoryPart = 8;

std::size_t RequestMemoryLimit(const GatewaySettings& settings) {
  const std::size_t memory = settings.memory_bytes;
  const auto share = static_cast<std::size_t>(static_cast<double>(memory) *
                                              kRequestMemoryShare);
  if (memory < 2 * kOwnMemoryBytes) return share;
  const std::size_t calls = CallMemoryLimit(settings);
  return std::min(share, memory - kOwnMemoryBytes - calls);
}

std::size_t DescriptorLimit(const GatewaySettings& settings) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return settings.max_fds;
  const auto own = static_cast<std::size_t>(limit.rlim_cur);
  return settings.max_fds == 0 ? own : std::min(settings.max_fds, own);
}

constexpr std::size_t kTeamsWithLabels = 64;
constexpr std::chrono::milliseconds kPeerReportMaxAge{1'500};
/// Number of gateways assumed to share the retry budget until peers are known.
constexpr std::size_t kInitialGatewayCount = 8;
/// Share of the configured retry budget that is used.
constexpr double kUsableBudgetShare = 0.8;

/// Time from the end of connecting until the request is at the upstream.
constexpr std::chrono::milliseconds kTransitTime{100};

HttpConnectionOptions UpstreamConnectionOptions() { return {}; }

}  // namespace

std::size_t CallMemoryLimit(const GatewaySettings& settings) {
  return settings.memory_bytes / kCallMemoryPart;
}

RosterOptions RosterOptionsFor(const GatewayBounds& bounds) {
  RosterOptions options;
  options.drain_timeout = bounds.drain_timeout;
  options.contact_time = bounds.contact_time;
  options.delivery_time =
      UpstreamConnectionOptions().connect_timeout + kTransitTime;
  return options;
}

std::size_t CallerConnectionLimit(const GatewaySettings& settings) {
  const std::size_t fds = DescriptorLimit(settings);
  std::size_t most = (fds - std::min(fds, kReservedFds)) / kFdsPerCaller;
  if (settings.memory_bytes > 0) {
    const double memory =
        static_cast<double>(RequestMemoryLimit(settings)) * kConnectionShare;
    most = std::min(most, static_cast<std::size_t>(memory) / kConnectionBytes);
  }
  if (settings.caller_connections > 0) {
    most = std::min(most, settings.caller_connections);
  }
  return std::max(most, kMinCallerConnections);
}

GatewayState::GatewayState(asio::io_context& io,
                           GatewaySettings process_settings)
    : loop(io),
      settings(std::move(process_settings)),
      metrics(kTeamsWithLabels),
      upstream_connections(io, UpstreamConnectionOptions()),
      request_memory(
          std::make_shared<MemoryBudget>(RequestMemoryLimit(settings))),
      roster(RosterOptionsFor(settings.bounds)),
      load(kPeerReportMaxAge),
      placement(settings.domain, {}),
      quarantine(settings.instance),
      limits(settings.instance),
      overload(io),
      gateway_count(kInitialGatewayCount) {}

std::optional<StoreTime> GatewayState::StoreNow() const {
  return store_times.clock.Now(BootTimeNow());
}

std::optional<StoreTime> GatewayState::StoreAnsweredAt() const {
  const StoreTime own = store_times.newest_own;
  const StoreTime newest = std::max(own, store_times.answered_at.value_or(own));
  if (newest == StoreTime()) return std::nullopt;
  return newest;
}

std::vector<SoftwareGroup> GatewayState::PossibleOrigins(
    const ServiceId& service) const {
  return version_record.PossibleOrigins(stream_origins.ListedOf(service, Now()),
                                        StoreAnsweredAt());
}

std::optional<SoftwareGroup> GatewayState::OnlyOrigin(
    const ServiceId& service) const {
  const TimePoint now = Now();
  if (!stream_origins.KnowsHistory(now)) return std::nullopt;
  return version_record.OnlyOrigin(stream_origins.ListedOf(service, now),
                                   StoreAnsweredAt());
}

void GatewayState::ListKvStores() {
  std::map<std::string, KvStoreState> listed;
  for (const GatewayService* store : config->KvStores()) {
    KvStoreState& state = listed[store->kv_store_endpoint];
    const auto known = kv_stores.find(store->kv_store_endpoint);
    if (known != kv_stores.end()) state = std::move(known->second);
    state.link.SetRate(config->KvStoreTimePerToken(*store));
  }
  kv_stores = std::move(listed);
}

std::string GatewayState::KvStoreFor(
    const std::vector<PromptPart>& parts) const {
  const PartChain chain = SharedChain("", parts);
  if (chain.empty()) return {};
  std::string chosen;
  std::uint64_t best = 0;
  for (const auto& [endpoint, store] : kv_stores) {
    if (!store.usable) continue;
    const std::uint64_t score =
        RendezvousScore(chain.back().hash, RendezvousNodeHash(endpoint));
    if (!chosen.empty() && score <= best) continue;
    chosen = endpoint;
    best = score;
  }
  return chosen;
}

std::chrono::milliseconds GatewayState::WaitForPause(
    const UpstreamEntry& upstream) const {
  if (pauses.size() == 0) return std::chrono::milliseconds(0);
  return pauses.WaitFor(upstream.id, upstream.incarnation, Now());
}

std::chrono::milliseconds GatewayState::RandomDelay(
    std::chrono::milliseconds spread) {
  return std::chrono::milliseconds(
      absl::Uniform<std::int64_t>(random, 0, spread.count()));
}

RetryBudget& GatewayState::RetryBudgetOf(const ServiceId& service) {
  const auto it = budgets.find(service);
  if (it != budgets.end()) return it->second;
  RetryBudgetOptions options;
  options.share = settings.bounds.retry_share * kUsableBudgetShare;
  options.reserve = settings.bounds.retry_reserve * kUsableBudgetShare /
                    static_cast<double>(gateway_count);
  return budgets.emplace(service, RetryBudget(options)).first->second;
}

void GatewayState::SetGatewayCount(std::size_t n) {
  // Gateways behind a partition still spend from the same budget, so the count
  // never falls.
  gateway_count = std::max(gateway_count, n);
  for (auto& [service, budget] : budgets) {
    budget.SetReserve(settings.bounds.retry_reserve * kUsableBudgetShare /
                      static_cast<double>(gateway_count));
  }
}

bool GatewayState::OnPeerAnswer(StoreTime at) {
  const TimePoint now = Now();
  const TimePoint boot_now = BootTimeNow();
  if (!StoreNow()) {
    // The time may be long past, so that it can't begin the clock's estimate.
    store_times.OnAnswerTime(at);
    return false;
  }
  store_times.OnPeerAnswer(at, boot_now);
  const TimePoint local = LocalTime(at, now).value_or(now);
  return store_contact.OnPeerAnswer(boot_now - (now - local), boot_now);
}

void GatewayState::OnStoreTimeKnown() {
  if (store_times.answered_at) OnPeerAnswer(*store_times.answered_at);
}

std::optional<TimePoint> GatewayState::LocalTime(StoreTime time,
                                                 TimePoint now) const {
  const std::optional<StoreTime> store_now = StoreNow();
  if (!store_now) return std::nullopt;
  return now - std::max(std::chrono::milliseconds(0), *store_now - time);
}

void GatewayState::RecordLeaving(UpstreamRun run) {
  const UpstreamEntry* listed = roster.Find(run.id);
  if (listed != nullptr) {
    run.incarnation = std::max(run.incarnation, listed->incarnation);
  }
  if (!roster.OnLeavingSeen(run, Now())) return;
  unreported_leaving.push_back(run);
  log.Write(LogKind::kStateChange, Now(),
            "event=upstream_changed upstream={} change={} source=answer",
            run.id.value, RosterChangeName(RosterChange::Kind::kLeaving));
}

void GatewayState::LogLimit(const UpstreamId& upstream,
                            std::optional<double> per_second,
                            std::string_view source) {
  log.Write(LogKind::kStateChange, Now(),
            "event={} upstream={} per_second={:.2f} source={} gateways={}",
            per_second ? "upstream_limited" : "upstream_limit_ended",
            upstream.value, per_second.value_or(0), source,
            live_peers.size() + 1);
}

void GatewayState::RecordObservedWeights(const UpstreamId& upstream,
                                         const ModelId& model,
                                         WeightVersionNumber weights) {
  if (!roster.OnWeightsSeen(upstream, model, weights)) return;
  parts.OnEngineLost(upstream);
  unreported_weights.push_back({upstream, model, weights});
  log.Write(LogKind::kStateChange, Now(),
            "event=weights_seen upstream={} model={} weights={}",
            upstream.value, model.value, weights);
}

}  // namespace yuccapick
