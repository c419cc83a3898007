#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "test/only_origin.h"
#include "yuccapick/origin_save_queue.h"
#include "yuccapick/stream_origins.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const ServiceId kService("moor");
constexpr milliseconds kStep{100};
constexpr int kSteps = 400;
constexpr int kVersions = 3;
constexpr std::size_t kGateways = 4;
constexpr std::size_t kNoLimit = 1'000;
/// The saver writes each third step.
constexpr int kStepsPerSave = 3;
/// Another gateway becomes the saver.
constexpr int kStepsPerSaver = 50;
/// A stream that is older than this when gateways end is saved.
constexpr milliseconds kSavingTime{1'000};
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
  bool IsRecorded(TimePoint now) const {
    return from + kSavingTime <= now && now < until + kOptions.lifetime;
  }
};

/// How often calls and datagrams are lost, in percent.
struct Losses {
  int datagrams = 0;
  int writes = 0;
  int answers = 0;
};

struct Stream {
  StreamId id;
  SoftwareGroup origin;
  TimePoint began_at;
};

bool Happens(int percent) { return *rc::gen::inRange(0, 100) < percent; }

/// Gateways that lose what they know at times, some of them or all, and a
/// store.
class Fleet {
 public:
  Fleet(std::vector<Listing> listings, Losses losses)
      : listings_(std::move(listings)), losses_(losses), gateways_(kGateways) {}

  void Restart(std::size_t n, TimePoint now) {
    gateways_[n] = Gateway();
    gateways_[n].reads_record_at = now + milliseconds(300);
  }

  void OnStep(int step, TimePoint now) {
    for (Gateway& it : gateways_) Follow(it, now);
    for (std::size_t n = 0; n < kGateways; ++n) TellPeers(n, now);
    const auto saver =
        static_cast<std::size_t>(step / kStepsPerSaver) % kGateways;
    for (std::size_t n = 0; n < kGateways; ++n) {
      gateways_[n].queue.Expire(n == saver, now);
    }
    if (step % kStepsPerSave == 0) Save(gateways_[saver].queue);
  }

  std::optional<Stream> Begin(int version, std::size_t n, TimePoint now) {
    const Listing& listing = listings_[static_cast<std::size_t>(version)];
    if (!listing.IsListed(now) || !listing.IsRecorded(now)) return std::nullopt;
    const Stream stream{StreamId(++streams_), Version(version), now};
    gateways_[n].origins.OnBegan(stream.id, stream.origin, false, now);
    return stream;
  }

  /// @return the version at which a gateway would go on with the stream
  std::optional<SoftwareGroup> Resume(const Stream& stream, std::size_t n,
                                      TimePoint now) {
    StreamOrigins& origins = gateways_[n].origins;
    if (const auto origin = origins.Find(stream.id)) return origin;
    if (!origins.IsMixed(kService, now)) {
      return OnlyOrigin(origins, kService, now);
    }
    for (const StreamOriginReport& it : store_) origins.OnSaved(it, now);
    return origins.Find(stream.id);
  }

 private:
  struct Gateway {
    StreamOrigins origins{kOptions};
    OriginSaveQueue queue;
    std::optional<TimePoint> reads_record_at = kStart;
  };

  void Follow(Gateway& gateway, TimePoint now) {
    std::vector<SoftwareGroup> recorded;
    for (int n = 0; n < kVersions; ++n) {
      const Listing& listing = listings_[static_cast<std::size_t>(n)];
      if (listing.IsListed(now)) gateway.origins.OnListed(Version(n), now);
      if (listing.IsRecorded(now)) recorded.push_back(Version(n));
    }
    if (!gateway.reads_record_at || now < *gateway.reads_record_at) return;
    gateway.reads_record_at.reset();
    gateway.origins.OnHistory(recorded, now);
  }

  void TellPeers(std::size_t sender, TimePoint now) {
    const auto origins =
        gateways_[sender].origins.TakeUnreported(kNoLimit, now);
    gateways_[sender].queue.Add(origins, now);
    for (std::size_t n = 0; n < kGateways; ++n) {
      if (n == sender || Happens(losses_.datagrams)) continue;
      for (const StreamOriginReport& it : origins) {
        gateways_[n].origins.OnPeerReport(it, now);
      }
      gateways_[n].queue.Add(origins, now);
    }
  }

  void Save(OriginSaveQueue& queue) {
    const auto taken = queue.Take(kNoLimit);
    const bool applied = !Happens(losses_.writes);
    if (applied) store_.insert(store_.end(), taken.begin(), taken.end());
    const bool answered = applied && !Happens(losses_.answers);
    answered ? queue.OnSaved() : queue.OnNotSaved();
  }

  std::vector<Listing> listings_;
  Losses losses_;
  std::vector<Gateway> gateways_;
  std::vector<StreamOriginReport> store_;
  std::uint64_t streams_ = 0;
};

/// Versions that come and go at any time.
std::vector<Listing> AnyListings() {
  std::vector<Listing> listings;
  for (int n = 0; n < kVersions; ++n) {
    const TimePoint from =
        kStart + milliseconds(*rc::gen::inRange(-3'000, 25'000));
    listings.push_back(
        {from, from + milliseconds(*rc::gen::inRange(1'000, 40'000))});
  }
  return listings;
}

/// @return the gateways that end in a step
std::vector<std::size_t> AnyKills() {
  if (*rc::gen::inRange(0, 60) != 0) return {};
  std::vector<std::size_t> killed;
  const bool all = *rc::gen::arbitrary<bool>();
  for (std::size_t n = 0; n < kGateways; ++n) {
    if (all || *rc::gen::arbitrary<bool>()) killed.push_back(n);
  }
  return killed;
}

std::size_t AnyGateway() {
  return *rc::gen::inRange<std::size_t>(0, kGateways);
}

/// Guards against streams joined from two versions, whatever is lost.
TEST_CASE("Whatever is lost with gateways no stream goes on elsewhere") {
  rc::prop("the origin or a refusal", [] {
    Fleet fleet(AnyListings(), {30, 30, 30});
    std::vector<Stream> streams;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now = kStart + step * kStep;
      for (const std::size_t n : AnyKills()) fleet.Restart(n, now);
      fleet.OnStep(step, now);
      const auto begun =
          fleet.Begin(*rc::gen::inRange(0, kVersions), AnyGateway(), now);
      if (begun) streams.push_back(*begun);
      std::erase_if(streams, [now](const Stream& it) {
        return now - it.began_at >= kStreamLifetime;
      });
      const std::size_t gateway = AnyGateway();
      for (const Stream& stream : streams) {
        const auto resumed = fleet.Resume(stream, gateway, now);
        RC_ASSERT(!resumed || *resumed == stream.origin);
      }
    }
  });
}

/// Guards against streams that are lost with the gateways that know them.
TEST_CASE("Whichever gateways are killed every saved stream goes on") {
  rc::prop("the origin", [] {
    const TimePoint end = kStart + kSteps * kStep;
    Fleet fleet(std::vector<Listing>(kVersions, {kStart - seconds(10), end}),
                Losses());
    std::vector<Stream> streams;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now = kStart + step * kStep;
      const auto killed = AnyKills();
      if (!killed.empty()) {
        std::erase_if(streams, [now](const Stream& it) {
          return now - it.began_at < kSavingTime;
        });
      }
      for (const std::size_t n : killed) fleet.Restart(n, now);
      fleet.OnStep(step, now);
      const auto begun =
          fleet.Begin(*rc::gen::inRange(0, kVersions), AnyGateway(), now);
      if (begun) streams.push_back(*begun);
      std::erase_if(streams, [now](const Stream& it) {
        return now - it.began_at >= kStreamLifetime;
      });
      const std::size_t gateway = AnyGateway();
      for (const Stream& stream : streams) {
        if (stream.began_at == now) continue;
        const auto resumed = fleet.Resume(stream, gateway, now);
        RC_ASSERT(resumed == std::optional(stream.origin));
      }
    }
  });
}

}  // namespace
}  // namespace yuccapick
