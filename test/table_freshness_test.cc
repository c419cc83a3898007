#include "yuccapick/table_freshness.h"

#include <catch2/catch.hpp>

#include "gateway/peer_codec.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};

std::vector<FreshnessAction> Due(TableFreshness& gateway) {
  return gateway.OnTick(gateway.NextDue());
}

bool IsCheck(const std::vector<FreshnessAction>& actions) {
  return actions.size() == 1 &&
         std::holds_alternative<StartTableCheck>(actions[0]);
}

TEST_CASE("A gateway alone checks half a second after the last confirmation") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  CHECK(gateway.NextDue() == kStart + milliseconds(500));
  CHECK(gateway.OnTick(kStart + milliseconds(499)).empty());
  REQUIRE(IsCheck(Due(gateway)));
  const TimePoint end = kStart + milliseconds(510);
  const StoreTime time(milliseconds(7));
  CHECK_FALSE(gateway.OnCheckAnswered(
      {WatchedTable::kOperator, time, 3, true, false}, end));
  const auto confirmation = gateway.OnCheckAnswered(
      {WatchedTable::kUpstreams, time + milliseconds(1), 4, true, false}, end);
  CHECK(confirmation == StoreConfirmation{time, 3, 4});
  CHECK(gateway.NextDue() == kStart + milliseconds(1'000));
}

void AnswerCheck(TableFreshness& gateway, int store_ms, TimePoint now) {
  const StoreTime time{milliseconds(store_ms)};
  gateway.OnCheckAnswered({WatchedTable::kOperator, time, 3, true, false}, now);
  gateway.OnCheckAnswered({WatchedTable::kUpstreams, time, 4, true, false},
                          now);
}

TEST_CASE("A requested check begins at once, and another one after it") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  TimePoint now = kStart + milliseconds(100);
  gateway.RequestCheck(now);
  CHECK(gateway.NextDue() <= now);
  REQUIRE(IsCheck(gateway.OnTick(now)));
  // What the check under way finds may be older than the second request.
  now += milliseconds(1);
  gateway.RequestCheck(now);
  CHECK(gateway.OnTick(now).empty());
  AnswerCheck(gateway, 7, now);
  CHECK(IsCheck(gateway.OnTick(now + milliseconds(10))));
  AnswerCheck(gateway, 9, now + milliseconds(10));
  CHECK(gateway.OnTick(now + milliseconds(400)).empty());
}

TEST_CASE("Requested checks of many gateways leave the store its capacity") {
  constexpr std::size_t kGateways = 660;
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  gateway.SetGatewayCount(kGateways);
  TimePoint now = kStart;
  std::size_t checks = 0;
  constexpr std::size_t kSeconds = 20;
  for (int ms = 0; ms < 20'000; ++ms) {
    now += milliseconds(1);
    gateway.RequestCheck(now);
    if (!IsCheck(gateway.OnTick(now))) continue;
    ++checks;
    AnswerCheck(gateway, ms, now);
  }
  // Two calls each, of all gateways, within half of 2,000 calls a second.
  CHECK(checks * 2 * kGateways <= kSeconds * 1'000);
  CHECK(checks >= kSeconds / 2);
}

TEST_CASE("A check that fails is repeated soon") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  REQUIRE(IsCheck(Due(gateway)));
  const TimePoint end = kStart + milliseconds(1'000);
  gateway.OnCheckFailed(end);
  gateway.OnCheckAnswered(
      {WatchedTable::kUpstreams, StoreTime(), 1, true, false}, end);
  CHECK(gateway.NextDue() == end + milliseconds(150));
  CHECK(IsCheck(Due(gateway)));
}

TEST_CASE("A poll that doesn't bring a confirmed change is renewed") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  gateway.OnCurrent(WatchedTable::kOperator, 5, kStart);
  gateway.OnPollOpened(WatchedTable::kOperator, kStart);
  const TimePoint now = kStart + milliseconds(300);
  const StoreConfirmation same{StoreTime(milliseconds(1)), 5, 0};
  CHECK(gateway.OnConfirmation(same, now, now));
  CHECK_FALSE(gateway.Behind(WatchedTable::kOperator));
  CHECK(gateway.ConfirmedAt(WatchedTable::kOperator) == now);
  const StoreConfirmation newer{StoreTime(milliseconds(2)), 6, 0};
  CHECK(gateway.OnConfirmation(newer, now, now));
  CHECK(gateway.Behind(WatchedTable::kOperator));
  REQUIRE(gateway.NextDue() == now + milliseconds(100));
  SECTION("unless it does within the grace") {
    gateway.OnPollEnded(WatchedTable::kOperator);
    gateway.OnCurrent(WatchedTable::kOperator, 6, now);
    CHECK(IsCheck(Due(gateway)));
  }
  SECTION("and again if that is lost, too") {
    const auto actions = Due(gateway);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<RenewPoll>(actions[0]).table == WatchedTable::kOperator);
    const TimePoint renewed = now + milliseconds(100);
    gateway.OnPollEnded(WatchedTable::kOperator);
    gateway.OnPollOpened(WatchedTable::kOperator, renewed);
    const auto later = gateway.OnTick(renewed + milliseconds(500));
    CHECK(std::any_of(later.begin(), later.end(), [](const auto& action) {
      return std::holds_alternative<RenewPoll>(action);
    }));
  }
}

TEST_CASE("A poll that doesn't bring what a check brought is renewed") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  gateway.OnPollOpened(WatchedTable::kUpstreams, kStart);
  REQUIRE(IsCheck(Due(gateway)));
  const TimePoint end = kStart + milliseconds(510);
  gateway.OnCurrent(WatchedTable::kUpstreams, 9, end);
  gateway.OnCheckAnswered(
      {WatchedTable::kUpstreams, StoreTime(), 9, true, true}, end);
  const auto actions = gateway.OnTick(end + milliseconds(100));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RenewPoll>(actions[0]).reason == RenewReason::kChecked);
}

TEST_CASE("A copy is unconfirmed without a confirmation for a while") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  CHECK_FALSE(gateway.Confirmed(WatchedTable::kOperator, kStart));
  gateway.OnCurrent(WatchedTable::kOperator, 5, kStart);
  CHECK(gateway.Confirmed(WatchedTable::kOperator,
                          kStart + kConfirmationMaxAge - milliseconds(1)));
  CHECK_FALSE(
      gateway.Confirmed(WatchedTable::kOperator, kStart + kConfirmationMaxAge));
}

TEST_CASE("A copy is unconfirmed after the machine was suspended") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  gateway.OnCurrent(WatchedTable::kOperator, 5, kStart);
  const TimePoint resumed = kStart + milliseconds(100);
  REQUIRE(gateway.Confirmed(WatchedTable::kOperator, resumed));
  gateway.OnSuspended(kConfirmationMaxAge);
  CHECK_FALSE(gateway.Confirmed(WatchedTable::kOperator, resumed));
  CHECK(gateway.NextDue() <= resumed);
}

TEST_CASE("A confirmation that is older than the last one is dropped") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  const StoreConfirmation last{StoreTime(milliseconds(9)), 5, 5};
  CHECK(gateway.OnConfirmation(last, kStart, kStart));
  CHECK_FALSE(gateway.OnConfirmation(last, kStart, kStart));
  CHECK_FALSE(gateway.OnConfirmation({StoreTime(milliseconds(8)), 6, 5}, kStart,
                                     kStart));
  CHECK(gateway.Behind(WatchedTable::kOperator));
}

TEST_CASE("A gateway's own check counts after the store's clock was set back") {
  TableFreshness gateway(InstanceId("gateway-0"), kStart);
  gateway.OnConfirmation({StoreTime(milliseconds(9'000)), 1, 1}, kStart,
                         kStart);
  REQUIRE(IsCheck(Due(gateway)));
  const TimePoint end = kStart + milliseconds(510);
  gateway.OnCheckAnswered(
      {WatchedTable::kOperator, StoreTime(), 1, true, false}, end);
  CHECK(gateway.OnCheckAnswered(
      {WatchedTable::kUpstreams, StoreTime(), 1, true, false}, end));
  CHECK(gateway.NextDue() == kStart + milliseconds(1'000));
}

TEST_CASE("Decoding returns the encoded confirmation of the store") {
  const StoreConfirmation confirmation{StoreTime(milliseconds(5)), 6, 7};
  const std::string bytes = EncodeStoreConfirmation(confirmation);
  CHECK(DecodeStoreConfirmation(bytes) == confirmation);
  CHECK_FALSE(DecodeStoreConfirmation("").has_value());
  CHECK_FALSE(DecodeStoreConfirmation("\x05garbage").has_value());
  CHECK_FALSE(DecodeStoreConfirmation(bytes.substr(0, bytes.size() - 1)));
  CHECK_FALSE(DecodeNamedLimits(bytes).has_value());
  CHECK_FALSE(DecodePeerReport(bytes).has_value());
  CHECK_FALSE(DecodeStoreConfirmation(EncodeNamedLimits({})).has_value());
}

TEST_CASE("A gateway that has just read all rows takes no peer for behind") {
  TableFreshness gateway(InstanceId("started"), kStart);
  const auto check = [&gateway](TimePoint now) {
    gateway.OnTick(now);
    gateway.OnCheckAnswered(
        {WatchedTable::kOperator, StoreTime(milliseconds(7)), 20, false, false},
        now);
    return gateway.OnCheckAnswered(
        {WatchedTable::kUpstreams, StoreTime(milliseconds(7)), 20, false,
         false},
        now);
  };
  CHECK_FALSE(check(kStart + milliseconds(600)).has_value());
  // A peer that knows the newest change is told of nothing new.
  const StoreConfirmation exact{StoreTime(milliseconds(8)), 9, 12};
  SECTION("A peer knows it") {
    CHECK(gateway.OnConfirmation(exact, kStart + milliseconds(700),
                                 kStart + milliseconds(700)));
    CHECK_FALSE(check(kStart + milliseconds(1'500)).has_value());
  }
  SECTION("No peer knows it") {
    CHECK(check(kStart + milliseconds(1'100)).has_value());
  }
}

}  // namespace
}  // namespace yuccapick
