#include "gateway/limit_sync.h"

#include <iterator>
#include <utility>

namespace yuccapick {
namespace {

/// Limits that are seen within this time are told together.
constexpr std::chrono::milliseconds kSendDelay{20};

}  // namespace

LimitSync::LimitSync(GatewayState& state, PeerExchange& exchange,
                     const PeerRegistry& peers)
    : state_(state),
      exchange_(exchange),
      peers_(peers),
      send_(state.loop, kSendDelay, [this] { Send(state_.Now()); }) {}

void LimitSync::OnTick(TimePoint now) {
  state_.limits.SetPeers(state_.live_peers);
  if (const auto store_now = state_.StoreNow()) {
    state_.limits.OnTick(*store_now);
  }
  SendReports(std::exchange(repeated_reports_, {}));
  exchange_.Send(std::exchange(repeated_broadcast_, {}), peers_.Targets(now));
  Send(now);
}

void LimitSync::Send(TimePoint now) {
  std::vector<AddressedLimits> reports = state_.limits.TakeReports();
  SendReports(reports);
  repeated_reports_.insert(repeated_reports_.end(),
                           std::make_move_iterator(reports.begin()),
                           std::make_move_iterator(reports.end()));
  const std::vector<NamedLimit> broadcast = state_.limits.TakeBroadcast();
  exchange_.Send(broadcast, peers_.Targets(now));
  repeated_broadcast_.insert(repeated_broadcast_.end(), broadcast.begin(),
                             broadcast.end());
}

void LimitSync::SendReports(const std::vector<AddressedLimits>& reports) {
  for (const AddressedLimits& it : reports) {
    const std::string endpoint = peers_.EndpointOf(it.to, state_.Now());
    if (!endpoint.empty()) exchange_.Send(it.limits, {endpoint});
  }
}

void LimitSync::OnLimits(const std::vector<NamedLimit>& limits) {
  const auto now = state_.StoreNow();
  if (!now) return;
  for (const NamedLimit& limit : limits) {
    if (state_.limits.OnReport(limit, *now)) {
      state_.LogLimit(limit.upstream, limit.per_second, "peer");
    }
  }
  if (state_.limits.HasNews()) Schedule();
}

}  // namespace yuccapick
