#include <algorithm>
#include <iterator>
#include <utility>

#include "gateway/gateway_process.h"

namespace yuccapick {
namespace {

/// Limits the exported parts in one report, so that it fits a datagram together
/// with the work reports.
constexpr std::size_t kMaxExportedPartsPerReport = 48;
/// Limit each list in one report, for the same reason. What is new waits for
/// the next report; of the work, the upstreams with the most count.
constexpr std::size_t kMaxNewsPerReport = 256;
constexpr std::size_t kMaxWorkPerReport = 512;

/// Takes up to `n` elements from the front.
template <typename T>
std::vector<T> TakeFirst(std::vector<T>& list, std::size_t n) {
  const auto end =
      list.begin() + static_cast<std::ptrdiff_t>(std::min(n, list.size()));
  std::vector<T> taken(std::make_move_iterator(list.begin()),
                       std::make_move_iterator(end));
  list.erase(list.begin(), end);
  return taken;
}

/// Keeps the `n` reports with the most work.
void KeepHeaviest(std::vector<WorkReport>& work, std::size_t n) {
  if (work.size() <= n) return;
  const auto end = work.begin() + static_cast<std::ptrdiff_t>(n);
  std::nth_element(work.begin(), end, work.end(),
                   [](const WorkReport& a, const WorkReport& b) {
                     return a.amount.requests > b.amount.requests;
                   });
  work.erase(end, work.end());
}

}  // namespace

PeerReport GatewayProcess::MakeReport() {
  PeerReport report;
  report.instance = state_.settings.instance;
  report.incarnation = incarnation_;
  report.sequence = ++reports_sent_;
  report.endpoint = exchange_.endpoint();
  report.store_reachable =
      freshness_sync_->Confirmed(WatchedTable::kOperator, state_.Now());
  report.store_answered_at = state_.store_times.answered_at;
  if (state_.config != nullptr) report.config = state_.config->version();
  report.store_generation = OwnProgress().generation;
  report.operator_rows = operator_watch_->mirror().newest_change();
  report.upstream_rows = upstream_watch_->mirror().newest_change();
  report.holds_rollout_lease = rollout_->holds();
  if (report.holds_rollout_lease) report.rollout_lease = rollout_->last_write();
  report.leaving = draining_;
  report.limits = state_.limits.CoordinatedLimits();
  if (report.limits.size() > kMaxNewsPerReport) {
    exchange_.Send(std::exchange(report.limits, {}),
                   peers_.Targets(state_.Now()));
  }
  report.work = state_.load.OwnReports();
  KeepHeaviest(report.work, kMaxWorkPerReport);
  const std::set<UpstreamId> loading = rollout_->Loading();
  report.loading.assign(loading.begin(), loading.end());
  report.leaving_upstreams =
      TakeFirst(state_.unreported_leaving, kMaxNewsPerReport);
  report.weights = TakeFirst(state_.unreported_weights, kMaxNewsPerReport);
  report.members = quota_sync_->members();
  report.gateways = quota_sync_->gateways();
  report.team_work = state_.overload.TeamReport(state_.Now());
  state_.speeds.AddNews(report, state_.live_peers.size(), state_.Now());
  for (auto& [endpoint, store] : state_.kv_stores) {
    report.kv_stores.push_back(MakeKvStoreReport(endpoint, store));
  }
  return report;
}

KvStoreReport GatewayProcess::MakeKvStoreReport(const std::string& endpoint,
                                                KvStoreState& store) {
  KvStoreReport report;
  report.endpoint = endpoint;
  if (store.watched) report.incarnation = store.incarnation;
  report.lost = store.watched && !store.usable;
  report.transferred_tokens = std::exchange(store.unreported_tokens, 0);
  PartChain& exports = store.unreported_exports;
  report.exported = TakeFirst(exports, kMaxExportedPartsPerReport);
  return report;
}

void GatewayProcess::ApplyKvStoreReport(const KvStoreReport& report,
                                        TimePoint now) {
  const auto it = state_.kv_stores.find(report.endpoint);
  if (it == state_.kv_stores.end()) return;
  KvStoreState& store = it->second;
  store.link.OnTransfer(report.transferred_tokens, now);
  if (!store.watched && report.incarnation != Incarnation()) {
    const bool restarted = store.incarnation != Incarnation() &&
                           store.incarnation != report.incarnation;
    store.incarnation = report.incarnation;
    if (restarted) state_.parts.OnStoreLost(report.endpoint);
  }
  state_.parts.OnExported(report.exported, report.endpoint, now);
}

}  // namespace yuccapick
