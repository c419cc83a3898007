#include "gateway/delayed_call.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kDelay{1};

}  // namespace

TEST_CASE("Requests within the delay make one call, later ones another") {
  asio::io_context loop;
  int calls = 0;
  DelayedCall call(loop, kDelay, [&calls] { ++calls; });
  call.Schedule();
  call.Schedule();
  loop.run();
  CHECK(calls == 1);
  call.Schedule();
  loop.restart();
  loop.run();
  CHECK(calls == 2);
}

TEST_CASE("A cancelled or destroyed delayed call is not made") {
  asio::io_context loop;
  int calls = 0;
  DelayedCall cancelled(loop, kDelay, [&calls] { ++calls; });
  auto destroyed =
      std::make_unique<DelayedCall>(loop, kDelay, [&calls] { ++calls; });
  cancelled.Schedule();
  destroyed->Schedule();
  cancelled.Cancel();
  destroyed.reset();
  loop.run();
  CHECK(calls == 0);
}

}  // namespace yuccapick
