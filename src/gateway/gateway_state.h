#ifndef YUCCAPICK_GATEWAY_GATEWAY_STATE_H_
#define YUCCAPICK_GATEWAY_GATEWAY_STATE_H_

/// @file
/// State that all requests of a gateway share.

#include <asio.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/random/random.h"
#include "gateway/gateway_settings.h"
#include "gateway/http_connection_pool.h"
#include "gateway/kv_store_state.h"
#include "gateway/log_sink.h"
#include "gateway/overload_control.h"
#include "gateway/store_times.h"
#include "gateway/team_quotas.h"
#include "gateway/upstream_speeds.h"
#include "yuccapick/crash_quarantine.h"
#include "yuccapick/direct_placement.h"
#include "yuccapick/gateway_config.h"
#include "yuccapick/latency_estimate.h"
#include "yuccapick/memory_budget.h"
#include "yuccapick/part_directory.h"
#include "yuccapick/part_messages.h"
#include "yuccapick/peer_report.h"
#include "yuccapick/prefill_rate.h"
#include "yuccapick/request_metrics.h"
#include "yuccapick/retry_budget.h"
#include "yuccapick/store_contact.h"
#include "yuccapick/stream_origins.h"
#include "yuccapick/target_weights.h"
#include "yuccapick/upstream_health.h"
#include "yuccapick/upstream_limits.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_pauses.h"
#include "yuccapick/upstream_roster.h"
#include "yuccapick/version_record.h"

namespace yuccapick {

/// Time limits of membership that follow from the bounds.
RosterOptions RosterOptionsFor(const GatewayBounds& bounds);

/// @return callers' connections that are open at a time, at most: below the
///   process's descriptors, with a reserve for upstreams, peers and the store,
///   and within a part of its memory
std::size_t CallerConnectionLimit(const GatewaySettings& settings);

/// @return bytes that answers of upstreams to the gateway's own calls may take
///   together; 0 if there is no limit
std::size_t CallMemoryLimit(const GatewaySettings& settings);

/// State of one gateway process; used on its event loop only.
struct GatewayState {
  GatewayState(asio::io_context& io, GatewaySettings process_settings);

  /// The service's retry budget.
  RetryBudget& RetryBudgetOf(const ServiceId& service);
  /// Splits the services' retry budgets among `n` gateways. The count never
  /// falls.
  void SetGatewayCount(std::size_t n);
  /// Records the weights that an upstream has, for the next report to peers.
  void RecordObservedWeights(const UpstreamId& upstream, const ModelId& model,
                             WeightVersionNumber weights);
  /// Logs that the limit of an upstream began, changed or ended.
  /// @param source `answer` or `peer`
  void LogLimit(const UpstreamId& upstream, std::optional<double> per_second,
                std::string_view source);
  /// An answer says that the upstream leaves. Peers learn it with the next
  /// report.
  /// @param run incarnation to which the request was sent
  void RecordLeaving(UpstreamRun run);
  /// @return the rest of the pause that the upstream has asked for
  std::chrono::milliseconds WaitForPause(const UpstreamEntry& upstream) const;
  /// Number of live gateways, including this one.
  std::size_t LiveGateways() const { return live_peers.size() + 1; }
  /// @return a random time below `spread`
  std::chrono::milliseconds RandomDelay(std::chrono::milliseconds spread);
  /// @return the local time of a time of the store, at most `now`; nullopt if
  ///   the store's clock isn't known
  std::optional<TimePoint> LocalTime(StoreTime time, TimePoint now) const;
  /// The store has answered a peer.
  /// @param at by the store's clock
  /// @return false if an own call to the store failed later
  bool OnPeerAnswer(StoreTime at);
  /// Peers' answers that were told before the store's time was known count.
  void OnStoreTimeKnown();
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
  /// @return the store's time in its last answer of this generation to any
  ///   gateway, as far as known
  std::optional<StoreTime> StoreAnsweredAt() const;
  /// Returns the known versions that may have begun a stream of which nothing
  /// else is known.
  std::vector<SoftwareGroup> PossibleOrigins(const ServiceId& service) const;
  /// @return the only version that may have begun such a stream; nullopt if
  ///   there are several, or if an unknown one may have
  std::optional<SoftwareGroup> OnlyOrigin(const ServiceId& service) const;
  /// @return nullopt before the store's time is known
  std::optional<StoreTime> StoreNow() const;
  /// Takes over the KV stores of the configuration.
  void ListKvStores();
  /// Returns the KV store, of those that answer, for a prompt with these parts;
  /// empty if there is none. All gateways choose the same.
  std::string KvStoreFor(const std::vector<PromptPart>& parts) const;

  asio::io_context& loop;
  GatewaySettings settings;
  LogSink log;
  RequestMetrics metrics;
  HttpConnectionPool upstream_connections;
  /// Shared with requests, which may outlive the state.
  std::shared_ptr<MemoryBudget> request_memory;
  /// Messages and connections of callers that were ended for a limit.
  std::uint64_t callers_ended = 0;
  absl::BitGen random;

  GatewayConfigPtr config;  ///< Null before the first one.
  /// When the requests that are left must be answered, since the process ends
  /// soon after; nullopt unless it is stopping.
  std::optional<TimePoint> stops_at;
  UpstreamRoster roster;
  UpstreamLoad load;
  UpstreamHealth health;
  UpstreamSpeeds speeds;
  DirectPlacement placement;
  PartDirectory parts;
  std::set<UpstreamId> loading;  ///< Upstreams that load new weights.
  StreamOrigins stream_origins;
  VersionRecord version_record;
  /// Streams refused since it isn't known which software version began them.
  std::uint64_t unknown_stream_origins = 0;
  /// Those of them whose origin nobody will ever know.
  std::uint64_t lost_stream_origins = 0;
  /// Tells whether the list of upstreams is known as it is now, within a time
  /// limit. Calls the function once, from the loop.
  std::function<void(std::chrono::milliseconds, std::function<void(bool)>)>
      confirm_list = [](std::chrono::milliseconds,
                        const std::function<void(bool)>& done) { done(false); };
  /// Looks up where a stream began that no peer has told of, within a time
  /// limit. Calls the function once, from the loop.
  std::function<void(StreamId, std::chrono::milliseconds,
                     std::function<void()>)>
      look_up_stream_origin = [](StreamId, std::chrono::milliseconds,
                                 const std::function<void()>& done) { done(); };
  /// Tells whether no lookup will ever find where a stream began.
  std::function<bool(StreamId)> is_stream_origin_lost = [](StreamId) {
    return false;
  };
  /// Called when the record of software versions was read.
  std::function<void()> on_software_history = [] {};
  /// Called when peers should be told where a stream began.
  std::function<void()> on_stream_began = [] {};
  CrashQuarantine quarantine;
  /// Called when `quarantine` may have something to tell peers.
  std::function<void()> on_suspect_observed = [] {};
  /// Requests refused, or not retried, because of a blocked part of a prompt.
  std::uint64_t requests_with_blocked_part = 0;
  /// Requests refused, or not retried, because upstreams crash on them.
  std::uint64_t blocked_requests_refused = 0;
  /// Requests sent to try whether a suspect is still to be blocked.
  std::uint64_t suspect_trials = 0;
  UpstreamLimits limits;
  /// Called when `limits` may have something to tell peers.
  std::function<void()> on_limit_changed = [] {};
  UpstreamPauses pauses;
  /// Requests refused since all upstreams were at the limits that they name, or
  /// had asked for a pause.
  std::uint64_t requests_held_back = 0;
  StoreTimes store_times;
  StoreContact store_contact;
  TargetWeightsHistory target_weights;
  /// Attempts sent although the upstream's weights were too old.
  std::uint64_t attempts_on_overdue_weights = 0;
  std::map<std::string, KvStoreState> kv_stores;  ///< By endpoint.
  /// Asks the gateway that owns the chain's last part which engines hold it,
  /// and calls the function when `parts` has learned the answer. Returns false
  /// if there is nobody to ask.
  std::function<bool(const PartChain&, std::function<void()>)> ask_part_owner =
      [](const PartChain&, const std::function<void()>&) { return false; };
  /// Tells the gateway that owns a part what an engine holds of it.
  std::function<void(const HolderUpdate&)> tell_part_owner =
      [](const HolderUpdate&) {};
  /// False if the caches of some engines are watched by other gateways only.
  bool watches_all_caches = true;
  /// Messages about cached parts, between gateways.
  struct PartCounters {
    std::uint64_t queries_sent = 0;
    std::uint64_t queries_answered = 0;
    std::uint64_t updates_sent = 0;
  };
  PartCounters part_counters;
  /// Live peers, among which limited tasks are distributed.
  std::vector<InstanceId> live_peers;
  /// Upstreams that said that they leave, not yet reported to peers.
  std::vector<UpstreamRun> unreported_leaving;
  /// Weights observed at upstreams and not yet reported to peers.
  std::vector<ObservedWeights> unreported_weights;

  OverloadControl overload;
  /// Null in tests without quotas.
  TeamQuotas* quotas = nullptr;
  /// Number of the last request whose quota was checked.
  std::uint64_t quota_requests = 0;

  std::map<ServiceId, RetryBudget> budgets;
  /// Latency of one route's streams.
  struct StreamLoad {
    LatencyEstimate first_event;  ///< From sending to the first event.
  };
  std::map<std::string, StreamLoad> stream_loads;  ///< By route.
  std::map<ServiceId, PrefillRateEstimate> prefill_rates;
  std::size_t gateway_count;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_GATEWAY_STATE_H_
