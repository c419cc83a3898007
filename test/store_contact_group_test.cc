#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <variant>

#include "yuccapick/peer_report.h"
#include "yuccapick/store_contact.h"
#include "yuccapick/table_freshness.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
constexpr milliseconds kStep{10};
/// From one failed call of a gateway to the next one.
constexpr milliseconds kFailureInterval{300};
constexpr double kLoss = 0.1;
constexpr milliseconds kLimit{10'000};

/// Gateways that tell each other of the store, over links that lose datagrams.
/// Time is the store's, too.
class ContactGroup {
 public:
  explicit ContactGroup(std::size_t n) : interval_(PeerReportInterval(n - 1)) {
    std::vector<InstanceId> names;
    for (std::size_t i = 0; i < n; ++i) {
      names.emplace_back(fmt::format("gateway-{}", i));
    }
    for (std::size_t i = 0; i < n; ++i) {
      std::vector<InstanceId> peers = names;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
      Gateway& it = gateways_.emplace_back(names[i], kStart);
      it.freshness.SetPeers(peers);
      it.freshness.SetGatewayCount(n);
      it.contact.SetPeers(n - 1);
      it.contact.OnAnswer(kStart);
      it.contact.OnPeerHeard(kStart);
      it.next_report = kStart + interval_ * i / n;
      it.next_failure = kStart + kFailureInterval * i / n;
    }
  }

  /// The store turns the first `n` gateways away.
  void TurnAway(std::size_t n) { turned_away_ = n; }
  void Pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      now_ += kStep;
      for (std::size_t i = 0; i < gateways_.size(); ++i) Tick(i);
    }
  }
  /// Number of gateways that hold the condition.
  template <typename Condition>
  std::size_t Count(Condition condition) const {
    std::size_t n = 0;
    for (const Gateway& it : gateways_) {
      if (condition(it.contact)) ++n;
    }
    return n;
  }
  std::size_t CountInOutage() const {
    return Count([this](const auto& it) { return it.InOutage(now_); });
  }
  std::size_t CountInTouch() const {
    return Count(
        [this](const auto& it) { return it.InTouchFor(kLimit, now_); });
  }
  std::size_t size() const { return gateways_.size(); }

 private:
  struct Gateway {
    Gateway(const InstanceId& name, TimePoint now) : freshness(name, now) {}

    void OnPeerAnswer(TimePoint at, TimePoint now) {
      answered_at = std::max(answered_at, at);
      contact.OnPeerAnswer(at, now);
    }

    TableFreshness freshness;
    StoreContact contact;
    TimePoint answered_at = kStart;  ///< As `GatewayState` keeps it.
    TimePoint next_report;
    TimePoint next_failure;
  };

  bool Arrives() {
    return std::uniform_real_distribution<double>()(random_) >= kLoss;
  }
  template <typename Receive>
  void SendToOthers(std::size_t from, Receive receive) {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (i != from && Arrives()) receive(gateways_[i]);
    }
  }
  void Tick(std::size_t n) {
    Gateway& gateway = gateways_[n];
    const bool turned_away = n < turned_away_;
    if (turned_away && now_ >= gateway.next_failure) {
      gateway.next_failure = now_ + kFailureInterval;
      gateway.contact.OnFailure(now_);
    }
    for (const FreshnessAction& action : gateway.freshness.OnTick(now_)) {
      if (std::holds_alternative<StartTableCheck>(action)) Check(n);
    }
    if (now_ >= gateway.next_report) Report(n);
  }
  void Check(std::size_t n) {
    Gateway& gateway = gateways_[n];
    for (const WatchedTable table : kWatchedTables) {
      if (n < turned_away_) {
        gateway.contact.OnFailure(now_);
        gateway.freshness.OnCheckFailed(now_);
        continue;
      }
      gateway.contact.OnAnswer(now_);
      gateway.answered_at = now_;
      const StoreTime as_of(
          std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
      const auto confirmation =
          gateway.freshness.OnCheckAnswered({table, as_of, 1}, now_);
      if (!confirmation) continue;
      SendToOthers(n, [&](Gateway& other) {
        other.OnPeerAnswer(now_, now_);
        other.freshness.OnConfirmation(*confirmation, now_, now_);
      });
    }
  }
  void Report(std::size_t n) {
    Gateway& gateway = gateways_[n];
    gateway.next_report = now_ + interval_;
    const TimePoint at = gateway.answered_at;
    SendToOthers(n, [&](Gateway& other) {
      other.contact.OnPeerHeard(now_);
      other.OnPeerAnswer(at, now_);
    });
  }

  milliseconds interval_;
  std::vector<Gateway> gateways_;
  std::size_t turned_away_ = 0;
  TimePoint now_ = kStart;
  std::mt19937_64 random_{20261206};
};

TEST_CASE("Gateways that the store turns away know that it answers others") {
  const std::size_t n = GENERATE(3, 40, 660);
  const double share = GENERATE(0.35, 0.9);
  ContactGroup group(n);
  group.Pass(milliseconds(2'000));
  group.TurnAway(static_cast<std::size_t>(static_cast<double>(n) * share));
  for (int i = 0; i < 60; ++i) {
    group.Pass(milliseconds(100));
    CHECK(group.CountInOutage() == 0);
  }
  group.TurnAway(0);
  group.Pass(milliseconds(500));
  CHECK(group.CountInTouch() == n);
}

TEST_CASE("Gateways that the store all turns away know of its outage") {
  const std::size_t n = GENERATE(3, 40, 660);
  ContactGroup group(n);
  group.Pass(milliseconds(2'000));
  group.TurnAway(n);
  group.Pass(milliseconds(4'000));
  CHECK(group.CountInOutage() == n);
  group.TurnAway(0);
  group.Pass(milliseconds(2'000));
  CHECK(group.CountInOutage() == 0);
  CHECK(group.CountInTouch() == 0);
}

}  // namespace
}  // namespace yuccapick
