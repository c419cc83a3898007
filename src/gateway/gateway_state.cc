#include "gateway/gateway_state.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::size_t kTeamsWithLabels = 64;
constexpr std::chrono::milliseconds kPeerReportLifetime{1'500};
/// Gateways that share the retry budget while the peers are not known yet.
constexpr std::size_t kAssumedGateways = 8;
/// Part of the promised retry budget that is made use of.
constexpr double kBudgetUse = 0.8;

HttpConnectionOptions UpstreamConnectionOptions() { return {}; }

}  // namespace

GatewayState::GatewayState(asio::io_context& io,
                           GatewaySettings process_settings)
    : loop(io),
      settings(std::move(process_settings)),
      metrics(kTeamsWithLabels),
      upstream_connections(io, UpstreamConnectionOptions()),
      load(kPeerReportLifetime),
      placement(settings.domain, {}),
      gateway_count(kAssumedGateways) {}

RetryBudget& GatewayState::BudgetOf(const ServiceId& service) {
  const auto it = budgets.find(service);
  if (it != budgets.end()) return it->second;
  RetryBudgetOptions options;
  options.share = settings.bounds.retry_share * kBudgetUse;
  options.reserve = settings.bounds.retry_reserve * kBudgetUse /
                    static_cast<double>(gateway_count);
  return budgets.emplace(service, RetryBudget(options)).first->second;
}

void GatewayState::SetGatewayCount(std::size_t n) {
  // Those cut off spend from the same budget, so the count never falls.
  gateway_count = std::max(gateway_count, n);
  for (auto& [service, budget] : budgets) {
    budget.SetReserve(settings.bounds.retry_reserve * kBudgetUse /
                      static_cast<double>(gateway_count));
  }
}

void GatewayState::NoteWeights(const UpstreamId& upstream, const ModelId& model,
                               WeightVersionNumber weights) {
  if (!roster.OnWeightsSeen(upstream, model, weights)) return;
  parts.OnEngineLost(upstream);
  seen_weights.push_back({upstream, model, weights});
  log.Write(LogKind::kBelief, Now(),
            "event=weights_seen upstream={} model={} weights={}",
            upstream.value, model.value, weights);
}

}  // namespace yuccapick
