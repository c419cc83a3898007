#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <vector>

#include "test/only_origin.h"
#include "yuccapick/stream_origins.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const ServiceId kService("moor");
constexpr milliseconds kStep{100};
constexpr int kSteps = 900;
constexpr int kVersions = 4;
constexpr int kGateways = 3;
/// Each version is recorded within this time after it was listed.
constexpr milliseconds kRecordDelay{1'000};
/// Callers resume streams for this long.
constexpr milliseconds kStreamLifetime{15'000};
constexpr StreamOrigins::Options kOptions{milliseconds(30'000)};

SoftwareGroup Version(int n) {
  return {kService, SoftwareVersion(std::to_string(n))};
}

/// When one software version is listed.
struct Listing {
  TimePoint from;
  TimePoint until;

  bool IsListed(TimePoint now) const { return from <= now && now < until; }
  /// The record has the version until it wasn't listed for the lifetime of
  /// streams.
  bool IsRecorded(TimePoint now) const {
    return from + kRecordDelay <= now && now < until + kOptions.lifetime;
  }
};

/// A stream that a gateway began.
struct Stream {
  StreamId id;
  SoftwareGroup origin;
  TimePoint began_at;
};

/// Gateways whose processes all lose power at times. What they tell each other
/// of streams is lost, too.
class Fleet {
 public:
  explicit Fleet(std::vector<Listing> listings)
      : listings_(std::move(listings)) {
    Restart(kStart);
  }

  /// All gateways lose what they know; they read the record again later.
  void Restart(TimePoint now) {
    gateways_.assign(kGateways, StreamOrigins(kOptions));
    reads_at_ = now + milliseconds(*rc::gen::inRange(0, 3'000));
  }

  void OnStep(TimePoint now) {
    const bool reads = reads_at_ && now >= *reads_at_;
    if (reads) reads_at_.reset();
    for (StreamOrigins& gateway : gateways_) {
      if (reads) gateway.OnHistory(Recorded(now), now);
      for (int n = 0; n < kVersions; ++n) {
        if (IsListed(n, now)) gateway.OnListed(Version(n), now);
      }
    }
  }

  /// Begins a stream at a version that is listed and recorded.
  std::optional<Stream> Begin(int n, int gateway, TimePoint now) {
    const Listing& listing = listings_[static_cast<std::size_t>(n)];
    if (!listing.IsListed(now) || !listing.IsRecorded(now)) return std::nullopt;
    const Stream stream{StreamId(++streams_), Version(n), now};
    Gateway(gateway).OnBegan(stream.id, stream.origin, false, now);
    return stream;
  }

  /// @return the version at which a gateway would go on with the stream
  std::optional<SoftwareGroup> Resume(const Stream& stream, int gateway,
                                      TimePoint now) {
    const auto origin = Gateway(gateway).Find(stream.id);
    return origin ? origin : OnlyOrigin(Gateway(gateway), kService, now);
  }

 private:
  StreamOrigins& Gateway(int n) {
    return gateways_[static_cast<std::size_t>(n)];
  }
  bool IsListed(int n, TimePoint now) const {
    return listings_[static_cast<std::size_t>(n)].IsListed(now);
  }
  std::vector<SoftwareGroup> Recorded(TimePoint now) const {
    std::vector<SoftwareGroup> recorded;
    for (int n = 0; n < kVersions; ++n) {
      if (listings_[static_cast<std::size_t>(n)].IsRecorded(now)) {
        recorded.push_back(Version(n));
      }
    }
    return recorded;
  }

  std::vector<Listing> listings_;
  std::vector<StreamOrigins> gateways_;
  std::optional<TimePoint> reads_at_;
  std::uint64_t streams_ = 0;
};

/// Versions that follow each other, with and without a time in which two are
/// listed.
std::vector<Listing> AnyListings() {
  std::vector<Listing> listings;
  TimePoint from = kStart;
  for (int n = 0; n < kVersions; ++n) {
    const TimePoint until =
        from + milliseconds(*rc::gen::inRange(3'000, 40'000));
    listings.push_back({from, until});
    from = until - milliseconds(*rc::gen::inRange(0, 2'500));
  }
  return listings;
}

TEST_CASE("Whenever all gateways lose power no stream goes on elsewhere") {
  rc::prop("origin or refusal", [] {
    Fleet fleet(AnyListings());
    std::vector<Stream> streams;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now = kStart + step * kStep;
      if (*rc::gen::inRange(0, 120) == 0) fleet.Restart(now);
      fleet.OnStep(now);
      const int gateway = *rc::gen::inRange(0, kGateways);
      const auto begun =
          fleet.Begin(*rc::gen::inRange(0, kVersions), gateway, now);
      if (begun) streams.push_back(*begun);
      std::erase_if(streams, [now](const Stream& it) {
        return now - it.began_at >= kStreamLifetime;
      });
      for (const Stream& stream : streams) {
        const auto resumed = fleet.Resume(stream, gateway, now);
        RC_ASSERT(!resumed || *resumed == stream.origin);
      }
    }
  });
}

}  // namespace
}  // namespace yuccapick
