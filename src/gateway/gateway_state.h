#ifndef YUCCAPICK_GATEWAY_GATEWAY_STATE_H_
#define YUCCAPICK_GATEWAY_GATEWAY_STATE_H_

/// @file
/// What all requests of a gateway share.

#include <asio.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "gateway/gateway_settings.h"
#include "gateway/http_connection.h"
#include "gateway/log_sink.h"
#include "yuccapick/direct_placement.h"
#include "yuccapick/gateway_config.h"
#include "yuccapick/latency_estimate.h"
#include "yuccapick/load_shedder.h"
#include "yuccapick/part_directory.h"
#include "yuccapick/peer_report.h"
#include "yuccapick/request_metrics.h"
#include "yuccapick/retry_budget.h"
#include "yuccapick/target_weights.h"
#include "yuccapick/upstream_health.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// Beliefs and tools of one gateway process; used on its event loop only.
struct GatewayState {
  GatewayState(asio::io_context& io, GatewaySettings process_settings);

  /// The service's budget for extra attempts.
  RetryBudget& BudgetOf(const ServiceId& service);
  /// Splits the services' budgets among this many gateways.
  void SetGatewayCount(std::size_t n);
  /// An upstream told which weights it has; peers will hear of it.
  void NoteWeights(const UpstreamId& upstream, const ModelId& model,
                   WeightVersionNumber weights);
  TimePoint Now() const { return std::chrono::steady_clock::now(); }

  asio::io_context& loop;
  GatewaySettings settings;
  LogSink log;
  RequestMetrics metrics;
  HttpConnectionPool upstream_connections;
  absl::BitGen random;

  GatewayConfigPtr config;  ///< Null before the first one.
  UpstreamRoster roster;
  UpstreamLoad load;
  UpstreamHealth health;
  DirectPlacement placement;
  PartDirectory parts;
  std::set<UpstreamId> loading;  ///< New weights are on their way to these.
  TargetWeightsHistory named_weights;
  /// False while the store of kept KV cache does not answer.
  bool kv_store_usable = true;
  /// A peer that watches that store says that it does not answer.
  bool peers_lost_kv_store = false;
  TransferLink kv_store_link;
  /// Sent over that link, and not reported to peers yet.
  std::uint64_t kv_store_tokens = 0;
  /// Parts put into the KV store that peers have not heard of yet.
  PartChain exported;
  /// Changes of watched caches that peers have not heard of yet.
  std::vector<PartUpdate> part_news;
  /// Live peers, for sharing out what not all of them may do.
  std::vector<InstanceId> live_peers;
  /// Weights seen at upstreams that peers have not heard of yet.
  std::vector<ObservedWeights> seen_weights;

  std::map<ServiceId, RetryBudget> budgets;
  /// How one route's streams are answered at present.
  struct StreamLoad {
    LatencyEstimate first_event;  ///< From sending a request.
    LoadShedder shedder;
  };
  std::map<std::string, StreamLoad> stream_loads;  ///< By route.
  std::size_t gateway_count;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_GATEWAY_STATE_H_
