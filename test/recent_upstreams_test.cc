#include "yuccapick/recent_upstreams.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

TEST_CASE("The upstream that was put first is forgotten first") {
  RecentUpstreams<int> recent(2);
  recent.Put(UpstreamId("b"), 1);
  recent.Put(UpstreamId("a"), 2);
  // Counts as new again.
  recent.Put(UpstreamId("b"), 3);
  recent.Put(UpstreamId("c"), 4);
  CHECK(recent.Find(UpstreamId("a")) == nullptr);
  REQUIRE(recent.Find(UpstreamId("b")) != nullptr);
  CHECK(*recent.Find(UpstreamId("b")) == 3);
  CHECK(*recent.Find(UpstreamId("c")) == 4);
}

TEST_CASE("An erased upstream leaves room for another one") {
  RecentUpstreams<int> recent(2);
  recent.Put(UpstreamId("a"), 1);
  recent.Put(UpstreamId("b"), 2);
  recent.Erase(UpstreamId("a"));
  recent.Erase(UpstreamId("unknown"));
  recent.Put(UpstreamId("c"), 3);
  CHECK(recent.Find(UpstreamId("a")) == nullptr);
  CHECK(recent.Find(UpstreamId("b")) != nullptr);
  CHECK(recent.Find(UpstreamId("c")) != nullptr);
}

}  // namespace
}  // namespace yuccapick
