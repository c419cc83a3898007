#include <fmt/format.h>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "yuccapick/table_freshness.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
constexpr milliseconds kStep{1};
constexpr milliseconds kLatency{5};
constexpr milliseconds kCheckTimeout{500};
/// Reads that the store answers in a second.
constexpr std::size_t kStoreRate = 2'000;
/// Time within which all gateways know of a change, and within which the last
/// of 660 gateways does if it hears from none.
constexpr milliseconds kKnownLimit{600};
constexpr milliseconds kKnownAloneLimit{2'200};

InstanceId GatewayName(std::size_t n) {
  return InstanceId(fmt::format("gateway-{}", n));
}

/// Gateways whose polls are all lost, and the store. Time is the store's, too.
class GatewayGroup {
 public:
  GatewayGroup(std::size_t n, double loss, std::uint64_t seed = 1)
      : loss_(loss), random_(seed) {
    std::vector<InstanceId> names;
    for (std::size_t i = 0; i < n; ++i) names.push_back(GatewayName(i));
    for (std::size_t i = 0; i < n; ++i) AddGateway(names, i);
  }

  void Pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      now_ += kStep;
      EndCalls();
      for (std::size_t i = 0; i < gateways_.size(); ++i) Tick(i);
    }
  }
  void set_silent(bool silent) { silent_ = silent; }
  void Change() { ++version_; }
  /// The gateway ends; its peers go on listing it as live.
  void Kill(std::size_t gateway) { dead_.insert(gateway); }
  std::size_t First() const {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (gateways_[i].rank() == 0) return i;
    }
    return 0;
  }
  /// True if every gateway has the newest change or knows that it lacks it.
  bool AllKnow() const {
    return All([this](std::size_t i) {
      return as_of_[i] == version_ ||
             gateways_[i].Behind(WatchedTable::kOperator);
    });
  }
  bool AllHave() const {
    return All([this](std::size_t i) { return as_of_[i] == version_; });
  }
  bool AllConfirmed() const {
    return All([this](std::size_t i) {
      return gateways_[i].Confirmed(WatchedTable::kOperator, now_);
    });
  }
  /// @return time that passes until `done` holds, at most some seconds
  template <typename Condition>
  milliseconds TimeUntil(Condition done) {
    const TimePoint from = now_;
    while (!done() && now_ - from < std::chrono::seconds(8)) Pass(kStep);
    return std::chrono::duration_cast<milliseconds>(now_ - from);
  }
  /// @return the largest number of calls in a second that began after `from`
  std::size_t CallsPerSecond(TimePoint from) const {
    std::size_t most = 0;
    for (auto it = calls_.lower_bound(from); it != calls_.end(); ++it) {
      std::size_t n = 0;
      const TimePoint end = it->first + std::chrono::seconds(1);
      for (auto at = it; at != calls_.end() && at->first < end; ++at) {
        n += at->second;
      }
      most = std::max(most, n);
    }
    return most;
  }
  std::size_t CallsSince(TimePoint from) const {
    std::size_t n = 0;
    for (auto it = calls_.lower_bound(from); it != calls_.end(); ++it) {
      n += it->second;
    }
    return n;
  }
  TimePoint now() const { return now_; }

 private:
  struct Call {
    std::size_t gateway = 0;
    bool answered = false;
    bool renewal = false;
  };

  template <typename Condition>
  bool All(Condition condition) const {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (!dead_.contains(i) && !condition(i)) return false;
    }
    return true;
  }
  void AddGateway(const std::vector<InstanceId>& names, std::size_t n) {
    TableFreshness& gateway = gateways_.emplace_back(names[n], now_);
    std::vector<InstanceId> peers = names;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(n));
    gateway.SetPeers(peers);
    gateway.SetGatewayCount(names.size());
    as_of_.push_back(version_);
    for (const WatchedTable table : kWatchedTables) {
      gateway.OnCurrent(table, version_, now_);
      gateway.OnPollOpened(table, now_);
    }
  }
  StoreTime StoreNow() const {
    return StoreTime(
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
  }
  TimePoint LocalTime(StoreTime time) const {
    return TimePoint(time.time_since_epoch());
  }
  void Tick(std::size_t i) {
    if (dead_.contains(i) || now_ < gateways_[i].NextDue()) return;
    for (const FreshnessAction& action : gateways_[i].OnTick(now_)) {
      const bool renewal = std::holds_alternative<RenewPoll>(action);
      // A check calls for both tables; a renewal is followed by a poll.
      calls_[now_] += 2;
      const milliseconds wait = silent_ ? kCheckTimeout : kLatency;
      open_calls_.emplace(now_ + wait, Call{i, !silent_, renewal});
    }
  }
  void EndCalls() {
    while (!open_calls_.empty() && open_calls_.begin()->first <= now_) {
      const Call call = open_calls_.begin()->second;
      open_calls_.erase(open_calls_.begin());
      if (dead_.contains(call.gateway)) continue;
      call.renewal ? EndRenewal(call) : EndCheck(call);
    }
  }
  void EndRenewal(const Call& call) {
    TableFreshness& gateway = gateways_[call.gateway];
    gateway.OnPollEnded(WatchedTable::kOperator);
    if (call.answered) {
      as_of_[call.gateway] = version_;
      gateway.OnCurrent(WatchedTable::kOperator, version_, now_);
    }
    gateway.OnPollOpened(WatchedTable::kOperator, now_);
  }
  void EndCheck(const Call& call) {
    TableFreshness& gateway = gateways_[call.gateway];
    if (!call.answered) {
      gateway.OnCheckFailed(now_);
      gateway.OnCheckFailed(now_);
      return;
    }
    const bool changed = as_of_[call.gateway] != version_;
    as_of_[call.gateway] = version_;
    gateway.OnCurrent(WatchedTable::kOperator, version_, now_);
    gateway.OnCurrent(WatchedTable::kUpstreams, version_, now_);
    gateway.OnCheckAnswered(
        {WatchedTable::kOperator, StoreNow(), version_, true, changed}, now_);
    const auto confirmation = gateway.OnCheckAnswered(
        {WatchedTable::kUpstreams, StoreNow(), 1, true, false}, now_);
    if (confirmation) Tell(call.gateway, *confirmation);
  }
  void Tell(std::size_t from, const StoreConfirmation& confirmation) {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (i == from || dead_.contains(i)) continue;
      if (std::bernoulli_distribution(loss_)(random_)) continue;
      gateways_[i].OnConfirmation(confirmation, LocalTime(confirmation.as_of),
                                  now_);
    }
  }

  double loss_;
  std::mt19937_64 random_;
  std::vector<TableFreshness> gateways_;
  std::vector<std::uint64_t> as_of_;
  std::set<std::size_t> dead_;
  std::multimap<TimePoint, Call> open_calls_;
  std::map<TimePoint, std::size_t> calls_;
  TimePoint now_ = kStart;
  std::uint64_t version_ = 1;
  bool silent_ = false;
};

TEST_CASE("660 gateways together check twice a second") {
  GatewayGroup group(660, 0.0);
  group.Pass(milliseconds(3'000));
  const TimePoint from = group.now();
  group.Pass(milliseconds(10'000));
  CHECK(group.AllConfirmed());
  CHECK(group.CallsSince(from) <= 40);
}

TEST_CASE("660 gateways check little more if datagrams are lost") {
  GatewayGroup group(660, 0.01);
  group.Pass(milliseconds(3'000));
  const TimePoint from = group.now();
  group.Pass(milliseconds(10'000));
  CHECK(group.AllConfirmed());
  CHECK(group.CallsSince(from) <= 100);
}

TEST_CASE("660 gateways that hear nothing stay within half the store's rate") {
  GatewayGroup group(660, 1.0);
  group.Pass(milliseconds(15'000));
  CHECK(group.CallsPerSecond(kStart) <= kStoreRate / 2);
}

TEST_CASE("A silence of the store makes no herd of 660 gateways") {
  GatewayGroup group(660, 0.01);
  group.Pass(milliseconds(3'000));
  group.set_silent(true);
  const TimePoint from = group.now();
  group.Pass(milliseconds(10'000));
  CHECK(group.CallsPerSecond(from) <= kStoreRate / 2);
  group.set_silent(false);
  group.Change();
  const TimePoint back = group.now();
  CHECK(group.TimeUntil([&group] { return group.AllHave(); }) <
        milliseconds(2'000));
  group.Pass(milliseconds(3'000));
  CHECK(group.CallsPerSecond(back) <= kStoreRate);
}

TEST_CASE("660 gateways whose polls are lost know of a change in time") {
  GatewayGroup group(660, 0.0);
  group.Pass(milliseconds(3'000));
  for (int i = 0; i < 5; ++i) {
    group.Change();
    CHECK(group.TimeUntil([&group] { return group.AllKnow(); }) <= kKnownLimit);
    CHECK(group.TimeUntil([&group] { return group.AllHave(); }) <=
          milliseconds(800));
    group.Pass(milliseconds(101) * i);
  }
}

TEST_CASE("660 gateways that hear nothing know of a change in time") {
  GatewayGroup group(660, 1.0);
  group.Pass(milliseconds(5'000));
  for (int i = 0; i < 3; ++i) {
    group.Change();
    CHECK(group.TimeUntil([&group] { return group.AllKnow(); }) <=
          kKnownAloneLimit);
  }
}

TEST_CASE("The next gateway checks if the first one of the order is dead") {
  GatewayGroup group(660, 0.0);
  group.Pass(milliseconds(3'000));
  group.Kill(group.First());
  group.Change();
  CHECK(group.TimeUntil([&group] { return group.AllKnow(); }) <= kKnownLimit);
}

TEST_CASE("Gateways know of changes whatever is lost and dead") {
  rc::prop("every live gateway knows of a change in time", [] {
    const auto n = *rc::gen::inRange<std::size_t>(1, 30);
    const auto loss = *rc::gen::inRange(0, 101) / 100.0;
    GatewayGroup group(n, loss, *rc::gen::arbitrary<std::uint64_t>());
    group.Pass(milliseconds(*rc::gen::inRange(0, 2'000)));
    const auto dead = *rc::gen::inRange<std::size_t>(0, n);
    for (std::size_t i = 0; i < dead; ++i) group.Kill(i);
    group.Change();
    // Ranks of 30 gateways end 324 ms after the first one.
    RC_ASSERT(group.TimeUntil([&group] { return group.AllKnow(); }) <=
              milliseconds(850));
  });
}

}  // namespace
}  // namespace yuccapick
