#include "yuccapick/store_contact.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(60)};
constexpr milliseconds kDuration{8'000};

TEST_CASE("A store that never answered is not in touch") {
  StoreContact contact;
  contact.OnFailure(kStart);
  CHECK_FALSE(contact.InTouchFor(milliseconds(0), kStart));
}

TEST_CASE("The time since an outage is told") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  CHECK_FALSE(contact.TimeSinceOutage(kStart));
  contact.OnFailure(kStart + milliseconds(1'000));
  contact.OnFailure(kStart + milliseconds(2'500));
  CHECK(contact.TimeSinceOutage(kStart + milliseconds(2'500)) ==
        milliseconds(0));
  contact.OnAnswer(kStart + milliseconds(3'000));
  CHECK(contact.TimeSinceOutage(kStart + milliseconds(3'700)) ==
        milliseconds(700));
}

TEST_CASE("A store that answers a new process at once is in touch") {
  StoreContact contact;
  contact.OnFailure(kStart);
  contact.OnAnswer(kStart + milliseconds(500));
  CHECK(contact.InTouchFor(kDuration, kStart + milliseconds(500)));
}

TEST_CASE("After an outage at the start the first answer begins the time") {
  StoreContact contact;
  contact.OnFailure(kStart - milliseconds(1'000));
  contact.OnAnswer(kStart);
  contact.OnAnswer(kStart + milliseconds(5'000));
  CHECK_FALSE(
      contact.InTouchFor(kDuration, kStart + kDuration - milliseconds(1)));
  CHECK(contact.InTouchFor(kDuration, kStart + kDuration));
}

TEST_CASE("A single call without an answer does not end the time in touch") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + milliseconds(7'000));
  contact.OnAnswer(kStart + milliseconds(7'300));
  CHECK(contact.InTouchFor(kDuration, kStart + kDuration));
}

TEST_CASE("An outage of the store ends the time in touch") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + milliseconds(7'000));
  contact.OnFailure(kStart + milliseconds(8'500));
  CHECK_FALSE(contact.InTouchFor(kDuration, kStart + milliseconds(8'500)));
  contact.OnAnswer(kStart + milliseconds(9'000));
  CHECK_FALSE(contact.InTouchFor(kDuration, kStart + milliseconds(16'999)));
  CHECK(contact.InTouchFor(kDuration, kStart + milliseconds(17'000)));
}

TEST_CASE("An answer that a peer got before the last failure ends no outage") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + milliseconds(1'000));
  contact.OnFailure(kStart + milliseconds(2'500));
  const TimePoint now = kStart + milliseconds(2'600);
  CHECK_FALSE(contact.OnPeerAnswer(kStart + milliseconds(2'400), now));
  CHECK_FALSE(contact.InTouchFor(milliseconds(0), now));
  CHECK(contact.OnPeerAnswer(kStart + milliseconds(2'550), now));
  CHECK(contact.InTouchFor(milliseconds(0), now));
}

TEST_CASE("A process that stood still after a failed call saw no outage") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + milliseconds(1'000));
  const TimePoint resumed = kStart + milliseconds(5'000);
  SECTION("before anything is read") {}
  SECTION("with an answer first") { contact.OnAnswer(resumed); }
  SECTION("with a call whose time limit passed") { contact.OnFailure(resumed); }
  CHECK(contact.InTouchFor(kDuration, resumed));
}

TEST_CASE("An outage that lasts counts though the process stood still in it") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + milliseconds(1'000));
  const TimePoint resumed = kStart + milliseconds(5'000);
  contact.OnFailure(resumed);
  contact.OnFailure(resumed + milliseconds(1'000));
  CHECK_FALSE(contact.InTouchFor(kDuration, resumed + milliseconds(1'000)));
}

TEST_CASE("Polls that a short silence swallowed are no outage") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  // Both tables' polls are given up 5.9 s after they were opened.
  contact.OnFailure(kStart + milliseconds(5'900));
  contact.OnFailure(kStart + milliseconds(5'940));
  CHECK(contact.InTouchFor(kDuration, kStart + milliseconds(5'950)));
  contact.OnAnswer(kStart + milliseconds(6'100));
  CHECK(contact.InTouchFor(kDuration, kStart + milliseconds(6'100)));
}

TEST_CASE("A poll that hangs is taken for contact until it is given up") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  CHECK(contact.InTouchFor(kDuration, kStart + milliseconds(5'899)));
}

TEST_CASE("A table whose calls go on failing is an outage") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  // The other table's answers aren't passed on while this one fails.
  for (const int ms : {1'000, 1'150, 1'450, 2'050}) {
    contact.OnFailure(kStart + milliseconds(ms));
  }
  CHECK_FALSE(contact.InTouchFor(kDuration, kStart + milliseconds(2'050)));
}

/// A gateway with peers, whose own calls fail every 300 ms.
struct FailingAlone {
  FailingAlone() {
    contact.SetPeers(1);
    contact.OnAnswer(now);
    contact.OnPeerHeard(now);
  }

  /// @param on_step called every 100 ms with the time that has passed
  template <typename Step>
  void Pass(milliseconds time, Step on_step) {
    for (milliseconds passed{100}; passed <= time; passed += kStep) {
      now += kStep;
      if (passed.count() % 300 == 0) contact.OnFailure(now);
      on_step(passed);
    }
  }

  static constexpr milliseconds kStep{100};
  StoreContact contact;
  TimePoint now = kStart;
};

TEST_CASE("Calls that fail while peers are answered are no outage") {
  FailingAlone gateway;
  gateway.Pass(milliseconds(6'000), [&](milliseconds passed) {
    const TimePoint now = gateway.now;
    if (passed.count() % 500 == 0) {
      gateway.contact.OnPeerAnswer(now - milliseconds(60), now);
    }
    CHECK_FALSE(gateway.contact.InOutage(now));
  });
  gateway.contact.OnAnswer(gateway.now);
  CHECK(gateway.contact.InTouchFor(kDuration, gateway.now));
}

TEST_CASE("Some lost messages of peers are no outage") {
  FailingAlone gateway;
  gateway.Pass(milliseconds(6'000), [&](milliseconds passed) {
    gateway.contact.OnPeerHeard(gateway.now);
    if (passed.count() % 1'500 == 0) {
      gateway.contact.OnPeerAnswer(gateway.now, gateway.now);
    }
    CHECK_FALSE(gateway.contact.InOutage(gateway.now));
  });
}

TEST_CASE("A store that answers no gateway has an outage") {
  FailingAlone gateway;
  gateway.Pass(milliseconds(2'400),
               [&](milliseconds) { gateway.contact.OnPeerHeard(gateway.now); });
  CHECK(gateway.contact.InOutage(gateway.now));
  gateway.now += milliseconds(200);
  CHECK(gateway.contact.OnPeerAnswer(gateway.now, gateway.now));
  CHECK_FALSE(gateway.contact.InOutage(gateway.now));
  CHECK_FALSE(gateway.contact.InTouchFor(kDuration, gateway.now));
  CHECK(gateway.contact.InTouchFor(kDuration, gateway.now + kDuration));
}

TEST_CASE("A gateway that hears neither store nor peers knows of no outage") {
  FailingAlone gateway;
  gateway.Pass(milliseconds(6'000), [&](milliseconds) {
    CHECK_FALSE(gateway.contact.InOutage(gateway.now));
  });
  // From now on its links work, so that what fails tells of the store.
  gateway.Pass(milliseconds(1'900), [&](milliseconds) {
    gateway.contact.OnPeerHeard(gateway.now);
    CHECK_FALSE(gateway.contact.InOutage(gateway.now));
  });
  gateway.Pass(milliseconds(600),
               [&](milliseconds) { gateway.contact.OnPeerHeard(gateway.now); });
  CHECK(gateway.contact.InOutage(gateway.now));
}

TEST_CASE("An outage goes on for a gateway that loses its peers in it") {
  FailingAlone gateway;
  gateway.Pass(milliseconds(2'400),
               [&](milliseconds) { gateway.contact.OnPeerHeard(gateway.now); });
  REQUIRE(gateway.contact.InOutage(gateway.now));
  gateway.Pass(milliseconds(3'000), [&](milliseconds) {
    CHECK(gateway.contact.InOutage(gateway.now));
  });
  SECTION("and the store is back before its peers") {
    gateway.contact.OnAnswer(gateway.now);
    CHECK_FALSE(gateway.contact.InTouchFor(kDuration, gateway.now));
  }
  SECTION("and its peers are back before the store") {
    gateway.contact.OnPeerHeard(gateway.now);
    CHECK(gateway.contact.InOutage(gateway.now));
  }
}

TEST_CASE("Many gateways, whose calls are further apart, know of an outage") {
  constexpr std::size_t kPeers = 659;
  constexpr milliseconds kFailureInterval{4'500};
  StoreContact contact;
  contact.SetPeers(kPeers);
  contact.OnAnswer(kStart);
  constexpr milliseconds kReportInterval{100};
  for (auto passed = kReportInterval; passed <= kFailureInterval * 3;
       passed += kReportInterval) {
    contact.OnPeerHeard(kStart + passed);
    if (passed % kFailureInterval == milliseconds(0)) {
      contact.OnFailure(kStart + passed);
    }
  }
  CHECK(contact.InOutage(kStart + kFailureInterval * 3));
}

TEST_CASE("A process that hears late of the store's answers saw no outage") {
  StoreContact contact;
  contact.SetPeers(1);
  for (int ms = 50; ms <= 4'000; ms += 300) {
    contact.OnPeerHeard(kStart + milliseconds(ms));
    contact.OnFailure(kStart + milliseconds(ms));
  }
  const TimePoint now = kStart + milliseconds(4'100);
  SECTION("of one before its last failure") {
    contact.OnPeerAnswer(kStart + milliseconds(3'800), now);
  }
  SECTION("of one after it") { contact.OnPeerAnswer(now, now); }
  CHECK_FALSE(contact.InOutage(now));
  CHECK(contact.InTouchFor(kDuration, now));
}

TEST_CASE("A process that only peers reach knows that the store answers") {
  StoreContact contact;
  contact.SetPeers(1);
  contact.OnFailure(kStart);
  contact.OnPeerAnswer(kStart - milliseconds(20), kStart);
  CHECK(contact.InTouchFor(kDuration, kStart));
  CHECK(contact.TimeSinceAnswer(kStart) == milliseconds(20));
}

}  // namespace
}  // namespace yuccapick
