#include "gateway/list_confirmation.h"

#include <catch2/catch.hpp>
#include <optional>

#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kLimit{60};

struct ConfirmationFixture {
  ConfirmationFixture()
      : confirmation(
            loop, [this] { ++reads; }, [this] { return history_known; }) {}

  void Await() {
    confirmation.Await(kLimit, [this](bool result) { confirmed = result; });
  }

  asio::io_context loop;
  int reads = 0;
  bool history_known = true;
  std::optional<bool> confirmed;
  ListConfirmation confirmation;
};

TEST_CASE("Only a read that was sent after the request confirms the list") {
  ConfirmationFixture fixture;
  const TimePoint before = steady_clock::now();
  fixture.Await();
  CHECK(fixture.reads == 1);
  fixture.confirmation.OnListRead(before);
  CHECK_FALSE(fixture.confirmed.has_value());
  CHECK(fixture.reads == 2);
  fixture.confirmation.OnListRead(steady_clock::now());
  CHECK(fixture.confirmed == true);
  CHECK(fixture.reads == 2);
  CHECK(fixture.confirmation.waiting() == 0);
}

TEST_CASE("A list whose history is unknown confirms nothing until it is") {
  ConfirmationFixture fixture;
  fixture.history_known = false;
  fixture.Await();
  fixture.confirmation.OnListRead(steady_clock::now());
  CHECK_FALSE(fixture.confirmed.has_value());
  fixture.history_known = true;
  fixture.confirmation.OnHistoryKnown();
  CHECK(fixture.confirmed == true);
}

TEST_CASE("A list that isn't read in time is not confirmed") {
  ConfirmationFixture fixture;
  const TimePoint began_at = steady_clock::now();
  fixture.Await();
  REQUIRE(RunUntil(fixture.loop,
                   [&fixture] { return fixture.confirmed.has_value(); }));
  CHECK_FALSE(*fixture.confirmed);
  CHECK(steady_clock::now() - began_at >= kLimit);
}

}  // namespace
}  // namespace yuccapick
