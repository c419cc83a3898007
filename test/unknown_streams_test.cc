#include "yuccapick/unknown_streams.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const StreamId kStream(7);
constexpr UnknownStreams::Options kOptions{milliseconds(1'000),
                                           milliseconds(30'000), 2};

TEST_CASE("A stream is lost once a read came long enough after it was asked") {
  UnknownStreams unknown(kOptions);
  unknown.OnAsked(kStream, kStart);
  CHECK_FALSE(unknown.IsLost(kStream, kStart));
  const TimePoint saved = kStart + kOptions.saving_time;
  CHECK_FALSE(unknown.IsLost(kStream, saved - milliseconds(1)));
  CHECK(unknown.IsLost(kStream, saved));
}

TEST_CASE("Asking again does not make a stream younger") {
  UnknownStreams unknown(kOptions);
  unknown.OnAsked(kStream, kStart);
  unknown.OnAsked(kStream, kStart + kOptions.lifetime);
  unknown.OnAsked(kStream, kStart + kOptions.lifetime + milliseconds(1));
  CHECK(unknown.IsLost(kStream, kStart + kOptions.saving_time));
}

TEST_CASE("A stream that nobody asked for is not lost") {
  UnknownStreams unknown(kOptions);
  CHECK_FALSE(unknown.IsLost(kStream, kStart + kOptions.lifetime));
}

TEST_CASE("Streams beyond the limit are never called lost") {
  UnknownStreams unknown(kOptions);
  for (std::uint64_t n = 0; n < 3; ++n) unknown.OnAsked(StreamId(n), kStart);
  const TimePoint later = kStart + kOptions.saving_time;
  CHECK(unknown.IsLost(StreamId(1), later));
  CHECK_FALSE(unknown.IsLost(StreamId(2), later));
}

}  // namespace
}  // namespace yuccapick
