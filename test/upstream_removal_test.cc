#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/upstream_roster.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const ServiceId kService("engines");
constexpr milliseconds kStep{50};
constexpr int kUpstreams = 6;

UpstreamEntry Entry(int i) {
  UpstreamEntry entry;
  entry.id = UpstreamId(std::to_string(i));
  entry.service = kService;
  entry.incarnation = Incarnation(1);
  return entry;
}

/// A list with one outage, as one gateway sees it.
struct Outage {
  milliseconds begins;
  milliseconds length;
  milliseconds noticed_after;  ///< Its end is noticed so much later.

  milliseconds End() const { return begins + length; }
  milliseconds Noticed() const { return End() + noticed_after; }
  bool Covers(milliseconds t) const { return t >= begins && t < End(); }
};

/// Plays the outage against a roster.
class Play {
 public:
  Play(const RosterOptions& options, const Outage& outage)
      : roster_(options), outage_(outage) {
    for (int i = 0; i < kUpstreams; ++i) roster_.OnEntry(Entry(i), kStart);
  }

  /// Runs until `end`. An upstream's row is removed at `removed[i]` and written
  /// again at `registered[i]`.
  template <typename Check>
  void Run(milliseconds end,
           const std::vector<std::optional<milliseconds>>& removed,
           const std::vector<std::optional<milliseconds>>& registered,
           Check check) {
    for (milliseconds t{0}; t < end; t += kStep) {
      const TimePoint now = kStart + t;
      const bool reached = t < outage_.begins || t >= outage_.Noticed();
      if (outage_.Covers(t)) roster_.OnListUnavailable(now, now);
      if (reached) {
        roster_.OnListAvailable(now);
        for (int i = 0; i < kUpstreams; ++i) {
          if (removed[i] && *removed[i] <= t) Remove(i, now);
          if (registered[i] && *registered[i] <= t) Register(i, now);
        }
        roster_.OnListCurrent(now);
      }
      roster_.OnTick(now);
      check(t, roster_);
    }
  }

 private:
  void Remove(int i, TimePoint now) {
    if (removed_[i]) return;
    removed_[i] = true;
    roster_.OnRemoved(Entry(i).id, now);
  }
  void Register(int i, TimePoint now) {
    if (registered_[i]) return;
    registered_[i] = true;
    roster_.OnEntry(Entry(i), now);
  }

  UpstreamRoster roster_;
  Outage outage_;
  bool removed_[kUpstreams] = {};
  bool registered_[kUpstreams] = {};
};

milliseconds Steps(int from, int to) {
  return kStep * *rc::gen::inRange(from, to);
}

Outage AnyOutage() {
  return {milliseconds(1'000), Steps(1, 120), Steps(0, 12)};
}

RosterOptions AnyOptions() {
  RosterOptions options;
  options.drain_timeout = Steps(16, 100);
  options.contact_time = Steps(20, 100);
  return options;
}

TEST_CASE("Over any outage, a removed upstream gets no late requests") {
  rc::prop("one of many upstreams is removed", [] {
    const RosterOptions options = AnyOptions();
    const Outage outage = AnyOutage();
    const milliseconds removed_at = Steps(1, 200);
    std::vector<std::optional<milliseconds>> removed(kUpstreams);
    std::vector<std::optional<milliseconds>> registered(kUpstreams);
    removed[0] = removed_at;
    // The promise binds a gateway that has been in touch for some time.
    const milliseconds bound = std::max(removed_at + options.drain_timeout,
                                        outage.End() + options.contact_time) -
                               options.delivery_time + kStep;
    Play play(options, outage);
    play.Run(milliseconds(16'000), removed, registered,
             [&](milliseconds t, const UpstreamRoster& roster) {
               const bool in_force = t > bound && t >= outage.Noticed();
               if (!in_force || t < removed_at) return;
               RC_ASSERT(roster.FindUsable(Entry(0).id) == nullptr);
               RC_ASSERT(roster.Usable(kService).size() == kUpstreams - 1);
             });
  });
}

TEST_CASE("Over any outage, upstreams that register again stay usable") {
  rc::prop("all entries expire in the outage", [] {
    const RosterOptions options = AnyOptions();
    const Outage outage = AnyOutage();
    RC_PRE(outage.length >= options.min_outage);
    std::vector<std::optional<milliseconds>> removed(kUpstreams);
    std::vector<std::optional<milliseconds>> registered(kUpstreams);
    for (int i = 0; i < kUpstreams; ++i) {
      removed[i] = outage.begins + Steps(0, 10);
      registered[i] = outage.End() + Steps(1, 41);
    }
    Play play(options, outage);
    play.Run(milliseconds(16'000), removed, registered,
             [&](milliseconds t, const UpstreamRoster& roster) {
               // More than half are usable at any time, all in the end.
               const std::size_t usable = roster.Usable(kService).size();
               RC_ASSERT(usable >= std::size_t{kUpstreams} / 2);
               if (t > outage.Noticed() + milliseconds(2'100)) {
                 RC_ASSERT(usable == std::size_t{kUpstreams});
               }
             });
  });
}

}  // namespace
}  // namespace yuccapick
