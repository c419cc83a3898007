#include "gateway/part_sharing.h"

#include <utility>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Updates that arise within this time are told together.
constexpr milliseconds kUpdateDelay{10};
/// Updates for one owner that are not sent yet are told at once when there are
/// this many, so that they fit a datagram.
constexpr std::size_t kMaxUpdatesPerDatagram = 32;
/// Answers that arrive later than this are ignored.
constexpr milliseconds kMaxAnswerDelay{1'000};

}  // namespace

PartSharing::PartSharing(GatewayState& state, PeerExchange& exchange,
                         const PeerRegistry& peers)
    : state_(state),
      exchange_(exchange),
      peers_(peers),
      send_updates_(state.loop, kUpdateDelay, [this] { SendUpdates(); }) {}

void PartSharing::OnTick(TimePoint now) {
  std::vector<PartOwner> members;
  for (const InstanceId& peer : peers_.LiveInstances(now)) {
    std::string endpoint = peers_.EndpointOf(peer, now);
    if (!endpoint.empty()) members.push_back({peer, std::move(endpoint)});
  }
  owners_.SetMembers(state_.settings.instance, members);
  std::erase_if(pending_, [now](const auto& entry) {
    return now - entry.second.sent_at >= kMaxAnswerDelay;
  });
}

bool PartSharing::Ask(const PartChain& chain, std::function<void()> done) {
  if (chain.empty()) return false;
  const std::string& owner = owners_.EndpointOf(chain.back().hash);
  if (owner.empty()) return false;
  const std::uint64_t id = ++queries_sent_;
  pending_[id] = {chain, std::move(done), state_.Now()};
  ++state_.part_counters.queries_sent;
  exchange_.Send(HoldersQuery{id, exchange_.endpoint(), chain.back().hash},
                 owner);
  return true;
}

void PartSharing::OnQuery(const HoldersQuery& query) {
  exchange_.Send(HoldersAnswer{query.id, state_.parts.HoldersOf(query.part_hash,
                                                                state_.Now())},
                 query.reply_to);
}

void PartSharing::OnAnswer(const HoldersAnswer& answer) {
  const auto it = pending_.find(answer.id);
  if (it == pending_.end()) return;
  const PendingQuery query = std::move(it->second);
  pending_.erase(it);
  ++state_.part_counters.queries_answered;
  state_.parts.OnHoldersLearned(query.chain, answer.holders, state_.Now());
  query.done();
}

void PartSharing::Tell(const HolderUpdate& update) {
  const std::string& owner = owners_.EndpointOf(update.part_hash);
  if (owner.empty()) return;
  std::vector<HolderUpdate>& updates = updates_[owner];
  updates.push_back(update);
  if (updates.size() >= kMaxUpdatesPerDatagram) return SendUpdates();
  send_updates_.Schedule();
}

void PartSharing::SendUpdates() {
  for (const auto& [owner, updates] : std::exchange(updates_, {})) {
    state_.part_counters.updates_sent += updates.size();
    exchange_.Send(updates, owner);
  }
}

void PartSharing::OnUpdates(const std::vector<HolderUpdate>& updates) {
  const TimePoint now = state_.Now();
  for (const HolderUpdate& update : updates) {
    state_.parts.OnHolderUpdate(update, now);
  }
}

}  // namespace yuccapick
