#include "gateway/gateway_process.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/http_status.h"
#include "gateway/proxied_request.h"
#include "platform/header_fields.h"
#include "platform/names.h"
#include "platform/operator_rows.h"
#include "yuccapick/gateway_admission.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{100};
/// Streams that begin within this time are reported together.
constexpr milliseconds kStreamOriginsDelay{20};
/// A tick that is later than this is logged as a pause of the process.
constexpr milliseconds kMinPause{600};
constexpr std::uint64_t kTicksBetweenSweeps = 10;
constexpr std::uint64_t kTicksBetweenFlushes = 2;
/// The process ends this long before its shutdown grace is over, whether or not
/// requests are still running.
constexpr milliseconds kShutdownMargin{300};
/// Requests that are left are answered this long before the process ends, so
/// that their answers are sent.
constexpr milliseconds kLastAnswersTime{200};
/// A lease holder with work left releases the lease this long before the
/// shutdown grace is over.
constexpr milliseconds kLeaseReleaseMargin{900};

CallClientOptions CallClientOptionsFor(const GatewaySettings& settings) {
  CallClientOptions options;
  options.memory = std::make_shared<MemoryBudget>(CallMemoryLimit(settings));
  return options;
}

constexpr std::string_view kRetryAfterSeconds = "0.5";
/// Short, since another gateway can take the request at once.
constexpr std::string_view kDrainRetryAfterSeconds = "0.02";

}  // namespace

/// Serves the load balancer's readiness checks and the metrics page.
class GatewayProcess::StatusPages : public IngressHandler {
 public:
  StatusPages(asio::io_context& loop, GatewayProcess& process)
      : process_(process), ready_(loop, *this), metrics_(loop, *this) {}

  absl::Status Open(const GatewaySettings& settings) {
    const absl::Status status = ready_.Open(settings.ready_endpoint);
    if (!status.ok()) return status;
    return metrics_.Open(
        fmt::format("{}:{}", settings.ip, settings.metrics_port));
  }

  void CheckTimeouts(TimePoint now) {
    ready_.CheckTimeouts(now);
    metrics_.CheckTimeouts(now);
  }

 private:
  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request,
      std::shared_ptr<IngressSession> session) override {
    if (request.head.target == "/metrics") {
      session->Respond(kHttpOk, {{"Content-Type", "text/plain"}},
                       process_.RenderMetrics());
      return nullptr;
    }
    const bool ready = process_.Ready();
    session->Respond(ready ? kHttpOk : kHttpUnavailable, {},
                     ready ? "ready\n" : "not ready\n");
    return nullptr;
  }
  std::string OnBadRequest(int /*status*/, std::string_view reason) override {
    return std::string(reason);
  }
  CallerLimits limits() const override { return {}; }

  GatewayProcess& process_;
  IngressServer ready_;
  IngressServer metrics_;
};

GatewayProcess::GatewayProcess(asio::io_context& loop, GatewaySettings settings,
                               Incarnation incarnation)
    : loop_(loop),
      state_(loop, std::move(settings)),
      table_calls_(loop, CallClientOptionsFor(state_.settings)),
      store_(std::make_shared<StoreClient>(table_calls_, state_.log)),
      incarnation_(incarnation),
      exchange_(
          loop, table_calls_,
          fmt::format("{}:{}", state_.settings.ip, state_.settings.peer_port),
          *this),
      quarantine_sync_(
          std::make_shared<QuarantineSync>(state_, store_, exchange_, peers_)),
      limit_sync_(std::make_unique<LimitSync>(state_, exchange_, peers_)),
      part_sharing_(std::make_unique<PartSharing>(state_, exchange_, peers_)),
      quota_sync_(
          std::make_unique<QuotaSync>(state_, exchange_, peers_, incarnation)),
      rollout_(std::make_shared<RolloutController>(state_, table_calls_, store_,
                                                   incarnation)),
      target_set_times_(std::make_shared<TargetSetTimes>(state_, store_)),
      software_record_(std::make_shared<SoftwareRecord>(state_, store_)),
      stream_origin_record_(
          std::make_shared<StreamOriginRecord>(state_, store_)),
      stream_origin_lookup_(
          std::make_unique<StreamOriginLookup>(state_, store_)),
      list_confirmation_(std::make_unique<ListConfirmation>(
          loop, [this] { freshness_sync_->RequestCheck(); },
          [this] { return state_.stream_origins.KnowsHistory(state_.Now()); })),
      cache_watch_(state_, table_calls_),
      send_stream_origins_(loop, kStreamOriginsDelay,
                           [this] { SendStreamOrigins(); }),
      pause_detector_(kMinPause),
      tick_timer_(loop) {
  TableWatchHandler& watch_handler = *this;
  IngressHandler& ingress_handler = *this;
  TableWatchOptions options;
  options.endpoint = state_.settings.table_endpoint;
  state_.on_stream_began = [this] { send_stream_origins_.Schedule(); };
  state_.confirm_list = [this](milliseconds limit,
                               ListConfirmation::Done done) {
    if (store_lost_) return done(false);
    list_confirmation_->Await(limit, std::move(done));
  };
  state_.look_up_stream_origin = [this](StreamId stream, milliseconds limit,
                                        std::function<void()> done) {
    if (store_lost_) return done();
    stream_origin_lookup_->Find(stream, limit, std::move(done));
  };
  state_.is_stream_origin_lost = [this](StreamId stream) {
    return stream_origin_lookup_->IsLost(stream);
  };
  state_.on_software_history = [this] { list_confirmation_->OnHistoryKnown(); };
  state_.on_limit_changed = [this] { limit_sync_->Schedule(); };
  state_.quotas = quota_sync_.get();
  state_.ask_part_owner = [this](const PartChain& chain,
                                 std::function<void()> done) {
    return part_sharing_->Ask(chain, std::move(done));
  };
  state_.tell_part_owner = [this](const HolderUpdate& update) {
    part_sharing_->Tell(update);
  };
  store_->SetOnChange(
      [this](StoreGeneration generation) { OnStoreGeneration(generation); });
  state_.on_suspect_observed = [this] { quarantine_sync_->Schedule(); };
  options.table = platform::kOperator;
  operator_watch_ = std::make_shared<TableWatch>(
      loop, *store_, state_.store_times, options, watch_handler);
  options.table = platform::kServers;
  upstream_watch_ = std::make_shared<TableWatch>(
      loop, *store_, state_.store_times, options, watch_handler);
  freshness_sync_ = std::make_unique<FreshnessSync>(
      state_, exchange_, peers_, *operator_watch_, *upstream_watch_,
      [this] { OnTablesConfirmed(); });
  status_pages_ = std::make_unique<StatusPages>(loop, *this);
  IngressOptions ingress_options;
  ingress_options.max_sessions = CallerConnectionLimit(state_.settings);
  ingress_server_ = std::make_unique<IngressServer>(loop, ingress_handler,
                                                    std::move(ingress_options));
}

GatewayProcess::~GatewayProcess() {
  freshness_sync_->Stop();
  list_confirmation_->Stop();
  stream_origin_lookup_->Stop();
  store_->Stop();
  operator_watch_->Stop();
  upstream_watch_->Stop();
  quarantine_sync_->Stop();
  limit_sync_->Stop();
  part_sharing_->Stop();
  quota_sync_->Stop();
  state_.overload.Stop();
  state_.quotas = nullptr;
}

absl::Status GatewayProcess::Start() {
  absl::Status status = status_pages_->Open(state_.settings);
  if (!status.ok()) return status;
  status = exchange_.Open();
  if (!status.ok()) return status;
  status = ingress_server_->Open(state_.settings.caller_endpoint);
  if (!status.ok()) return status;
  state_.log.Write(LogKind::kLifecycle, state_.Now(),
                   "event=started instance={} domain={} store={}",
                   state_.settings.instance.value, state_.settings.domain.value,
                   state_.settings.table_endpoint);
  operator_watch_->Start();
  upstream_watch_->Start();
  quarantine_sync_->Start();
  software_record_->Load();
  for (const std::string& seed : state_.settings.seed_endpoints) {
    const std::string ip = seed.substr(0, seed.rfind(':'));
    peers_.OnEndpoint(fmt::format("{}:{}", ip, state_.settings.peer_port),
                      state_.Now());
  }
  Tick();
  return absl::OkStatus();
}

bool GatewayProcess::Ready() const {
  return !draining_ && state_.config != nullptr && !state_.roster.All().empty();
}

bool GatewayProcess::ConfigConfirmed(TimePoint now) const {
  return freshness_sync_->Confirmed(WatchedTable::kOperator, now);
}

std::shared_ptr<PendingRequest> GatewayProcess::OnRequest(
    IngressRequest request, std::shared_ptr<IngressSession> session) {
  CallerHeaders caller = platform::DecodeCallerHeaders(request.head);
  const std::string* host = request.head.Find("Host");
  if (host == nullptr || request.head.Count("Host") != 1 ||
      !request.head.target.starts_with('/')) {
    session->Respond(kHttpBadRequest, {},
                     OnBadRequest(kHttpBadRequest, "no usable host or path"));
    return nullptr;
  }
  const TimePoint now = state_.Now();
  if (draining_ &&
      now - drain_started_at_ >= state_.settings.listen_after_drain) {
    state_.log.Write(LogKind::kFailure, now,
                     "event=request_not_admitted id={} status={} reason=drain",
                     caller.attempt_id, kHttpUnavailable);
    session->Respond(kHttpUnavailable,
                     {{"Retry-After", std::string(kDrainRetryAfterSeconds)}},
                     "stopping\n");
    return nullptr;
  }
  const auto admission = AdmitToRoute(state_.config.get(), ConfigConfirmed(now),
                                      {*host, request.head.target, caller.key});
  if (const auto* refusal = std::get_if<AdmissionRefusal>(&admission)) {
    int status = kHttpUnavailable;
    if (*refusal == AdmissionRefusal::kUnknownRoute) status = kHttpNotFound;
    if (*refusal == AdmissionRefusal::kUnknownKey) status = kHttpUnauthorized;
    std::vector<HttpField> fields;
    if (status == kHttpUnavailable) {
      fields.push_back({"Retry-After", std::string(kRetryAfterSeconds)});
    }
    state_.log.Write(
        LogKind::kFailure, now,
        "event=request_not_admitted id={} status={} target={} config={}",
        caller.attempt_id, status, request.head.target,
        state_.config == nullptr ? 0 : state_.config->version().value);
    ++not_admitted_;
    session->Respond(status, fields, "not admitted\n");
    return nullptr;
  }
  const AdmittedRoute& admitted_route = std::get<AdmittedRoute>(admission);
  AdmittedProxyRequest admitted{state_.config, admitted_route.route,
                                admitted_route.team, std::move(request),
                                std::move(caller)};
  auto proxied = std::make_shared<ProxiedRequest>(state_, std::move(admitted),
                                                  std::move(session));
  proxied->Begin();
  return proxied;
}

std::string GatewayProcess::OnBadRequest(int status, std::string_view reason) {
  state_.log.Write(LogKind::kFailure, state_.Now(),
                   "event=bad_request status={} reason=\"{}\"", status, reason);
  return std::string(reason);
}

void GatewayProcess::OnCallerEnded(std::string_view cause, std::size_t held) {
  ++state_.callers_ended;
  state_.log.Write(LogKind::kFailure, state_.Now(),
                   "event=caller_ended held_bytes={} memory_bytes={} "
                   "connections={} reason=\"{}\"",
                   held, state_.request_memory->used(),
                   ingress_server_->session_count(), cause);
}

CallerLimits GatewayProcess::limits() const {
  return state_.config == nullptr ? CallerLimits() : state_.config->limits();
}

void GatewayProcess::CheckPause(TimePoint now) {
  const auto pause = pause_detector_.OnTick(now, BootTimeNow());
  if (!pause) return;
  ++pauses_;
  freshness_sync_->OnSuspended(pause->suspended);
  state_.log.Write(LogKind::kLifecycle, now,
                   "event=process_paused duration_ms={} suspended_ms={}",
                   pause->duration.count(), pause->suspended.count());
}

void GatewayProcess::Tick() {
  const TimePoint now = state_.Now();
  CheckPause(now);
  TrackStoreOutage();
  CheckListGap(now);
  RemoveUnconfirmed(now);
  RepeatStreamOrigins(now);
  stream_origin_record_->OnTick(now);
  CatchUpWithStore(now);
  ExchangeWithPeers(now);
  freshness_sync_->OnTick(now);
  quarantine_sync_->OnTick(now);
  limit_sync_->OnTick(now);
  part_sharing_->OnTick(now);
  quota_sync_->OnTick(now);
  state_.pauses.OnTick(now);
  state_.overload.OnTick(state_.config.get(), now);
  state_.loading = peers_.Loading(now);
  const std::set<UpstreamId> own_loading = rollout_->Loading();
  state_.loading.insert(own_loading.begin(), own_loading.end());
  if (state_.config != nullptr) {
    rollout_->OnTick(peers_.AnyPeerHoldsRolloutLease(now));
  }
  for (auto& [endpoint, store] : state_.kv_stores) {
    store.lost_by_peers = peers_.AnyPeerLostKvStore(endpoint, now);
  }
  cache_watch_.OnTick(now);
  ingress_server_->CheckTimeouts(now);
  if (++ticks_ % kTicksBetweenSweeps == 0) {
    state_.upstream_connections.DropExpired(now);
    table_calls_.DropExpired(now);
    RecordListedSoftware(now);
    state_.speeds.LogChanges(state_.roster, state_.log, now);
    software_record_->OnTick(now);
    status_pages_->CheckTimeouts(now);
    exchange_.CheckTimeouts(now);
  }
  if (draining_) CheckDrained(now);
  if (ticks_ % kTicksBetweenFlushes == 0) state_.log.Flush(now);
  tick_timer_.StartAfter(kTickInterval, [this] { Tick(); });
}

void GatewayProcess::Drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  drain_started_at_ = state_.Now();
  state_.stops_at = drain_started_at_ + state_.settings.bounds.shutdown_grace -
                    kShutdownMargin - kLastAnswersTime;
  on_drained_ = std::move(done);
  ingress_server_->AnnounceClose();
  quota_sync_->OnLeaving(drain_started_at_);
  // Peers learn it with the next report.
  if (quota_sync_->members() != 0) next_report_ = drain_started_at_;
  state_.log.Write(LogKind::kLifecycle, drain_started_at_,
                   "event=drain_started sessions={} busy={}",
                   ingress_server_->session_count(),
                   ingress_server_->busy_count());
}

void GatewayProcess::EndRequests(TimePoint now) {
  const std::size_t n = ingress_server_->EndRequests(
      {{"Retry-After", std::string(kDrainRetryAfterSeconds)}});
  if (n == 0) return;
  state_.log.Write(LogKind::kLifecycle, now,
                   "event=requests_ended_by_stop requests={}", n);
}

void GatewayProcess::CheckDrained(TimePoint now) {
  const auto age = now - drain_started_at_;
  const bool out_of_time =
      age >= state_.settings.bounds.shutdown_grace - kShutdownMargin;
  if (now >= *state_.stops_at) EndRequests(now);
  if (age < state_.settings.listen_after_drain && !out_of_time) return;
  ingress_server_->CloseListener();
  ingress_server_->DrainSessions();
  // The next holder must wait out the handover gap before its first order, so
  // the lease is kept as long as there is work and time.
  const bool lease_release_due =
      !rollout_->HasWork() ||
      age >= state_.settings.bounds.shutdown_grace - kLeaseReleaseMargin;
  if (lease_release_due) rollout_->ReleaseLease();
  const bool busy =
      ingress_server_->busy_count() > 0 || !rollout_->lease_released();
  if (busy && !out_of_time) return;
  if (on_drained_ == nullptr) return;
  state_.log.Write(LogKind::kLifecycle, now, "event=stopped busy={}",
                   ingress_server_->busy_count());
  state_.log.Flush(now);
  std::exchange(on_drained_, nullptr)();
}

void GatewayProcess::OnSettingsChanged(const GatewaySettings& settings) {
  state_.settings.bounds = settings.bounds;
  state_.roster.SetOptions(RosterOptionsFor(settings.bounds));
  state_.settings.seed_endpoints = settings.seed_endpoints;
  state_.SetGatewayCount(state_.gateway_count);
  quota_sync_->OnSettingsChanged();
  state_.log.Write(LogKind::kLifecycle, state_.Now(),
                   "event=settings_reloaded");
}

}  // namespace yuccapick
