#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "yuccapick/stream_origins.h"
#include "yuccapick/version_record.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{250};
constexpr int kSteps = 320;
constexpr std::size_t kGateways = 3;
constexpr int kVersions = 4;
constexpr VersionRecord::Options kRecordOptions{milliseconds(10'000)};
constexpr StreamOrigins::Options kOriginOptions{milliseconds(30'000)};
/// Upstreams that live have registered again by then.
constexpr milliseconds kReregistrationTime{2'500};
constexpr milliseconds kStreamLifetime{20'000};
/// The installation is older than any copy when the first stream begins.
constexpr milliseconds kSettled{12'000};

const ServiceId kService("moor");
const TimePoint kStart{seconds(1'000)};

StoreTime StoreTimeAt(TimePoint now) {
  return StoreTime(
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()));
}

SoftwareGroup Version(int n) {
  return {kService, SoftwareVersion(std::to_string(n))};
}

bool Happens(int percent) { return *rc::gen::inRange(0, 100) < percent; }

/// When a version's upstreams serve. They don't come back after that.
struct Serving {
  TimePoint from;
  TimePoint until;

  bool At(TimePoint now) const { return from <= now && now < until; }
};

struct Row {
  std::optional<StoreTime> since;
  std::uint64_t generation = 0;
};

/// What the store says of its latest return.
struct GenerationRow {
  std::uint64_t generation = 1;
  TimePoint at = kStart;
  std::uint64_t oldest_return = 0;
};

/// The store's content.
struct Content {
  GenerationRow generation;
  std::map<int, Row> rows;
  std::set<int> listed;
};

struct Stream {
  StreamId id;
  int version = 0;
  TimePoint began_at;
};

/// A store that comes back from copies, and gateways that end with it.
class Fleet {
 public:
  explicit Fleet(std::vector<Serving> serving, int lost_percent)
      : serving_(std::move(serving)),
        lost_percent_(lost_percent),
        gateways_(kGateways) {}

  void OnStep(TimePoint now) {
    for (int n = 0; n < kVersions; ++n) {
      const bool registers = now >= registered_again_at_;
      if (serving_[Index(n)].At(now) && registers) content_.listed.insert(n);
      if (!serving_[Index(n)].At(now) && registers) content_.listed.erase(n);
    }
    for (Gateway& it : gateways_) Follow(it, now);
    for (Gateway& it : gateways_) Write(it, now);
    copies_.push_back({now, content_});
    const auto is_old = [now](const auto& it) {
      return now - it.first > kRecordOptions.max_copy_age;
    };
    std::erase_if(copies_, is_old);
  }

  /// The store comes back from any copy that is not too old.
  /// @param lost versions whose upstreams never come back
  void Return(const std::set<int>& lost, TimePoint now) {
    content_ =
        copies_[*rc::gen::inRange<std::size_t>(0, copies_.size())].second;
    copies_.clear();
    ++generation_;
    returned_at_ = now;
    registered_again_at_ = now + milliseconds(*rc::gen::inRange(0, 2'000));
    for (const int n : lost) {
      serving_[Index(n)].until = std::min(serving_[Index(n)].until, now);
    }
  }

  void Kill(std::size_t n) { gateways_[n] = Gateway(); }

  std::optional<Stream> Begin(std::size_t n, TimePoint now) {
    Gateway& gateway = gateways_[n];
    std::vector<ServingVersion> usable;
    for (int v = 0; v < kVersions; ++v) {
      const bool known = gateway.listed.contains(v);
      if (!known || !serving_[Index(v)].At(now)) continue;
      const auto started = serving_[Index(v)].from.time_since_epoch();
      usable.push_back({Version(v), Incarnation(static_cast<std::uint64_t>(
                                        started.count()))});
    }
    const auto starters = gateway.record.Starters(usable, gateway.answered_at);
    if (starters.empty()) return std::nullopt;
    const SoftwareGroup group = *rc::gen::elementOf(starters);
    const Stream stream{StreamId(++streams_), std::stoi(group.software.value),
                        now};
    gateway.origins.OnBegan(stream.id, group, false, now);
    return stream;
  }

  /// @return the version at which a gateway would go on with the stream
  std::optional<SoftwareGroup> Resume(const Stream& stream, std::size_t n,
                                      TimePoint now) {
    Gateway& gateway = gateways_[n];
    auto origin = gateway.origins.Find(stream.id);
    if (!origin && gateway.origins.KnowsHistory(now) &&
        gateway.answered_at == StoreTimeAt(now)) {
      origin = gateway.record.OnlyOrigin(
          gateway.origins.ListedOf(kService, now), gateway.answered_at);
    }
    if (!origin) return std::nullopt;
    const int version = std::stoi(origin->software.value);
    if (!serving_[Index(version)].At(now)) return std::nullopt;
    return origin;
  }

  bool Serves(int version, TimePoint now) const {
    return serving_[Index(version)].At(now);
  }

 private:
  struct Gateway {
    StreamOrigins origins{kOriginOptions};
    VersionRecord record{kRecordOptions};
    std::set<int> listed;
    std::uint64_t generation = 0;
    std::optional<StoreTime> answered_at;
    bool reads_record = true;
  };

  static std::size_t Index(int n) { return static_cast<std::size_t>(n); }

  /// Reads the list and the record, unless the calls are lost.
  void Follow(Gateway& gateway, TimePoint now) {
    if (Happens(lost_percent_)) return;
    if (gateway.generation != generation_) {
      gateway.record.OnNewGeneration(gateway.answered_at);
      gateway.generation = generation_;
    }
    gateway.answered_at = StoreTimeAt(now);
    gateway.listed = content_.listed;
    for (const int n : content_.listed) {
      gateway.origins.OnListed(Version(n), now);
    }
    ReadRecord(gateway, now);
  }

  /// Does nothing at a gateway whose reads of the record fail for good.
  void ReadRecord(Gateway& gateway, TimePoint now) {
    if (lost_percent_ > 0 && Happens(1)) gateway.reads_record = false;
    if (!gateway.reads_record) return;
    std::vector<RecordedVersion> rows;
    std::vector<SoftwareGroup> recorded;
    const GenerationRow seen = SeenGeneration(now);
    for (const auto& [n, row] : content_.rows) {
      const bool survived = row.since && row.generation < seen.oldest_return;
      rows.push_back({Version(n), row.since, survived});
      recorded.push_back(Version(n));
    }
    std::optional<StoreTime> lost_until;
    if (seen.oldest_return > 0) {
      lost_until = StoreTimeAt(seen.at + kOriginOptions.lifetime);
    }
    gateway.record.OnRead(rows, lost_until);
    const bool complete =
        !returned_at_ || now - *returned_at_ >= kReregistrationTime;
    if (complete) gateway.origins.OnHistory(recorded, now);
  }

  /// Writes the row about the generation if it is of an earlier one, unless
  /// the call is lost.
  GenerationRow SeenGeneration(TimePoint now) {
    GenerationRow& row = content_.generation;
    if (row.generation == generation_) return row;
    GenerationRow seen{generation_, now, row.generation + 1};
    const bool recent = now - row.at < kOriginOptions.lifetime;
    if (recent && row.oldest_return > 0) seen.oldest_return = row.oldest_return;
    if (!Happens(lost_percent_)) row = seen;
    return seen;
  }

  /// Adds rows of listed versions, and times to rows, unless calls are lost.
  void Write(Gateway& gateway, TimePoint now) {
    if (gateway.generation != generation_) return;
    for (const int n : gateway.listed) {
      if (Happens(lost_percent_)) continue;
      const auto [row, added] = content_.rows.try_emplace(n);
      if (added || row->second.since) continue;
      row->second = {gateway.answered_at, generation_};
    }
    std::erase_if(content_.rows, [&](const auto& it) {
      const Serving& serving = serving_[Index(it.first)];
      return now - serving.until >= kOriginOptions.lifetime;
    });
  }

  std::vector<Serving> serving_;
  int lost_percent_;
  std::vector<Gateway> gateways_;
  Content content_;
  std::vector<std::pair<TimePoint, Content>> copies_;
  std::uint64_t generation_ = 1;
  std::optional<TimePoint> returned_at_;
  TimePoint registered_again_at_;
  std::uint64_t streams_ = 0;
};

/// A service whose versions join when the record of an earlier one is gone.
std::vector<Serving> AnyNewService() {
  const TimePoint end = kStart + kSteps * kStep;
  std::vector<Serving> serving{{kStart, kStart + seconds(1)}};
  for (int n = 1; n < kVersions; ++n) {
    const TimePoint from =
        kStart + seconds(35) + milliseconds(*rc::gen::inRange(0, 20'000));
    serving.push_back({from, end});
  }
  return serving;
}

/// One version serves from the start; the others join and leave at any time.
std::vector<Serving> AnyServing() {
  if (Happens(30)) return AnyNewService();
  const TimePoint end = kStart + kSteps * kStep;
  std::vector<Serving> serving{{kStart, end}};
  for (int n = 1; n < kVersions; ++n) {
    const TimePoint from =
        kStart + kSettled + milliseconds(*rc::gen::inRange(0, 60'000));
    serving.push_back(
        {from, from + milliseconds(*rc::gen::inRange(500, 60'000))});
  }
  if (Happens(50)) {
    serving[0].until =
        kStart + kSettled + milliseconds(*rc::gen::inRange(0, 60'000));
  }
  return serving;
}

std::set<int> AnyVersions() {
  std::set<int> versions;
  for (int n = 0; n < kVersions; ++n) {
    if (Happens(50)) versions.insert(n);
  }
  return versions;
}

/// Guards against streams joined from two versions, whatever the store, the
/// gateways and the upstreams forget at once.
TEST_CASE("Whatever a return from a copy takes no stream goes on elsewhere") {
  rc::prop("the origin or a refusal", [] {
    Fleet fleet(AnyServing(), *rc::gen::element(0, 30));
    std::vector<Stream> streams;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now = kStart + step * kStep;
      const bool settled = now - kStart >= kSettled;
      if (settled && *rc::gen::inRange(0, 60) == 0) {
        const bool returns = Happens(70);
        if (returns) fleet.Return(AnyVersions(), now);
        const bool all = Happens(70);
        for (std::size_t n = 0; n < kGateways; ++n) {
          if (all || Happens(50)) fleet.Kill(n);
        }
      }
      fleet.OnStep(now);
      const std::size_t n = *rc::gen::inRange<std::size_t>(0, kGateways);
      const auto begun = settled ? fleet.Begin(n, now) : std::nullopt;
      if (begun) streams.push_back(*begun);
      std::erase_if(streams, [now](const Stream& it) {
        return now - it.began_at >= kStreamLifetime;
      });
      const std::size_t asked = *rc::gen::inRange<std::size_t>(0, kGateways);
      for (const Stream& stream : streams) {
        const auto resumed = fleet.Resume(stream, asked, now);
        RC_ASSERT(!resumed || *resumed == Version(stream.version));
      }
    }
  });
}

/// Guards against refusals for the sake of versions that never were.
TEST_CASE("After a return from a copy streams of the only version go on") {
  rc::prop("the only version", [] {
    const TimePoint end = kStart + kSteps * kStep;
    std::vector<Serving> serving(kVersions, {end, end});
    serving[0] = {kStart, end};
    Fleet fleet(serving, 0);
    std::vector<Stream> streams;
    std::optional<TimePoint> returned_at;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now = kStart + step * kStep;
      const bool settled = now - kStart >= kSettled;
      if (settled && *rc::gen::inRange(0, 60) == 0) {
        fleet.Return({}, now);
        for (std::size_t n = 0; n < kGateways; ++n) fleet.Kill(n);
        returned_at = now;
      }
      fleet.OnStep(now);
      const std::size_t n = *rc::gen::inRange<std::size_t>(0, kGateways);
      const auto begun = settled ? fleet.Begin(n, now) : std::nullopt;
      if (begun) streams.push_back(*begun);
      if (returned_at && now - *returned_at < kReregistrationTime) continue;
      for (const Stream& stream : streams) {
        if (stream.began_at == now) continue;
        const std::size_t asked = *rc::gen::inRange<std::size_t>(0, kGateways);
        RC_ASSERT(fleet.Resume(stream, asked, now) ==
                  std::optional(Version(0)));
      }
    }
  });
}

}  // namespace
}  // namespace yuccapick
