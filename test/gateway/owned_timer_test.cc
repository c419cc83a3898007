#include "gateway/owned_timer.h"

#include <catch2/catch.hpp>
#include <memory>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Two timers that are due in the same moment, so that the second one's handler
/// is queued while the first one's runs.
struct DueTogether {
  DueTogether() : when(std::chrono::steady_clock::now()) {}

  asio::io_context loop;
  TimePoint when;
  OwnedTimer first{loop};
  std::unique_ptr<OwnedTimer> second = std::make_unique<OwnedTimer>(loop);
  int calls = 0;
};

TEST_CASE("A queued handler of a destroyed timer is not called") {
  DueTogether due;
  due.first.StartAt(due.when, [&due] { due.second.reset(); });
  due.second->StartAt(due.when + std::chrono::nanoseconds(1),
                      [&due] { ++due.calls; });
  due.loop.run();
  CHECK(due.second == nullptr);
  CHECK(due.calls == 0);
}

TEST_CASE("A queued handler of a cancelled timer is not called") {
  DueTogether due;
  due.first.StartAt(due.when, [&due] { due.second->Cancel(); });
  due.second->StartAt(due.when + std::chrono::nanoseconds(1),
                      [&due] { ++due.calls; });
  due.loop.run();
  CHECK(due.calls == 0);
}

TEST_CASE("A timer that is started again calls its last handler only") {
  DueTogether due;
  due.first.StartAt(due.when, [&due] {
    due.second->StartAfter(milliseconds(1), [&due] { due.calls += 10; });
  });
  due.second->StartAt(due.when + std::chrono::nanoseconds(1),
                      [&due] { ++due.calls; });
  due.loop.run();
  CHECK(due.calls == 10);
}

}  // namespace
}  // namespace yuccapick
