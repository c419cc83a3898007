#include "yuccapick/upstream_load.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const UpstreamId kA("a");
const InstanceId kPeer("peer");

TEST_CASE("Own work and the peers' reports add up") {
  UpstreamLoad load(milliseconds(1'000));
  load.Begin(kA, {1, 100, 50});
  load.OnPeerReport(kPeer, {{kA, {2, 300, 0}}}, kStart);
  CHECK(load.Total(kA, kStart) == WorkAmount{3, 400, 50});
  load.End(kA, {1, 100, 50});
  CHECK(load.Total(kA, kStart) == WorkAmount{2, 300, 0});
  CHECK(load.OwnReports().empty());
}

TEST_CASE("A new report replaces the one before, an old one expires") {
  UpstreamLoad load(milliseconds(1'000));
  load.OnPeerReport(kPeer, {{kA, {2, 300, 0}}}, kStart);
  load.OnPeerReport(kPeer, {{kA, {1, 10, 0}}}, kStart);
  CHECK(load.Total(kA, kStart) == WorkAmount{1, 10, 0});
  CHECK(load.Total(kA, kStart + milliseconds(1'001)) == WorkAmount{});
}

TEST_CASE("Ending more work than was begun does not underflow") {
  UpstreamLoad load(milliseconds(1'000));
  load.Begin(kA, {1, 100, 50});
  load.End(kA, {5, 900, 900});
  CHECK(load.Own(kA) == WorkAmount{});
}

}  // namespace
}  // namespace yuccapick
