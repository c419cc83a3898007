#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "test/quarantine_group.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which all gateways must act on the third crash.
constexpr milliseconds kLimit{3'000};
/// Requests that may reach upstreams after that.
constexpr std::size_t kTolerated = 3;
/// Sound requests are refused no longer than this while upstreams are up.
constexpr milliseconds kMaxRefusal{3'000};
/// The same for requests with a part; more callers crash on one.
constexpr milliseconds kMaxPartRefusal{5'000};
/// A crashed upstream is back after this time.
constexpr milliseconds kDownTime{3'200};

const SuspectId kBad{SuspectKind::kRequest, 17};
const SuspectId kHot{SuspectKind::kRequest, 18};

/// A plain service of three upstreams behind a group of gateways.
class Service {
 public:
  Service(QuarantineGroup& group, std::uint64_t seed)
      : group_(group), random_(seed) {}

  bool IsUp() const {
    return std::any_of(up_at_.begin(), up_at_.end(),
                       [&](StoreTime at) { return at <= group_.now(); });
  }

  /// Sends a request that crashes the upstream, and breaks the requests with
  /// `victims` that run there. It is retried once.
  void SendBad(const std::vector<SuspectId>& victims) {
    const std::size_t gateway = Random(group_.size());
    for (int attempt = 0; attempt < 2; ++attempt) {
      const std::optional<std::size_t> upstream = Place(gateway, kBad);
      if (!upstream) return;
      ++bad_sent_;
      sent_at_.push_back(group_.now());
      const UpstreamRunId run = Crash(*upstream);
      for (const SuspectId& it : victims) {
        group_.Crash(run, {it}, Random(group_.size()), 1);
      }
      group_.Crash(run, {kBad}, gateway, 1);
    }
  }

  /// @return true if the request was answered
  bool SendSound(const SuspectId& suspect) {
    const std::size_t gateway = Random(group_.size());
    if (!Place(gateway, suspect)) return false;
    group_.Survive(gateway, {suspect});
    return true;
  }

  /// All upstreams lose power while requests with `victims` run at each.
  void CrashAll(const std::vector<SuspectId>& victims) {
    for (std::size_t i = 0; i < up_at_.size(); ++i) {
      const UpstreamRunId run = Crash(i);
      group_.Crash(run, victims, Random(group_.size()), 1);
    }
  }

  std::size_t Random(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
  }

  /// Bad requests that reached upstreams later than `kLimit` after the third
  /// crash.
  std::size_t BadSentLate() const {
    if (sent_at_.size() < 3) return 0;
    const StoreTime limit = sent_at_[2] + kLimit;
    return static_cast<std::size_t>(
        std::count_if(sent_at_.begin(), sent_at_.end(),
                      [&](StoreTime at) { return at > limit; }));
  }
  std::size_t bad_sent() const { return bad_sent_; }

 private:
  /// @return the upstream to which the gateway sends the request
  std::optional<std::size_t> Place(std::size_t gateway,
                                   const SuspectId& suspect) {
    CrashQuarantine& quarantine = group_[gateway];
    auto refusal = quarantine.Admit({suspect}, group_.now());
    if (refusal && refusal->trial_wanted) {
      group_.Exchange();
      refusal = quarantine.Admit({suspect}, group_.now());
    }
    if (refusal) return std::nullopt;
    for (std::size_t i = 0; i < up_at_.size(); ++i) {
      if (up_at_[i] > group_.now()) continue;
      quarantine.OnSent({suspect});
      return i;
    }
    return std::nullopt;
  }

  UpstreamRunId Crash(std::size_t upstream) {
    up_at_[upstream] = group_.now() + kDownTime;
    return UpstreamRunId(++runs_);
  }

  QuarantineGroup& group_;
  std::mt19937_64 random_;
  std::array<StoreTime, 3> up_at_{};
  std::uint64_t runs_ = 0;
  std::size_t bad_sent_ = 0;
  std::vector<StoreTime> sent_at_;
};

}  // namespace

TEST_CASE("A request under which three upstreams crash is blocked at 660") {
  QuarantineGroup group(660, 0.0, 1);
  Service service(group, 1);
  service.SendBad({});
  group.Pass(milliseconds(100));
  service.SendBad({});
  REQUIRE(service.bad_sent() == 3);
  group.Pass(milliseconds(500));
  CHECK(group.RefusingCount(kBad) == 660);
  // One coordinator tells each of the others three times.
  CHECK(group.datagrams() < 3 * 660 + 3 * 2 * 2);
}

TEST_CASE("A crashing request reaches few upstreams, whatever is lost") {
  rc::prop("it comes for 90 s at any gateway", [] {
    const auto n = *rc::gen::inRange<std::size_t>(2, 24);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto loss = *rc::gen::element(0.0, 0.02, 0.05);
    const auto every = *rc::gen::inRange(1, 40);
    const auto restarts = *rc::gen::inRange(0, 4);
    QuarantineGroup group(n, loss, seed);
    Service service(group, seed);
    std::set<int> restart_at;
    for (int i = 0; i < restarts; ++i) {
      restart_at.insert(static_cast<int>(service.Random(900)));
    }
    for (int tick = 0; tick < 900; ++tick) {
      if (restart_at.contains(tick)) group.Restart(service.Random(n));
      if (tick % every == 0) service.SendBad({kHot});
      service.SendSound(kHot);
      group.Pass(kQuarantineTick);
    }
    RC_ASSERT(service.BadSentLate() <= kTolerated);
  });
}

TEST_CASE("A request that breaks beside a crashing one is served again soon") {
  rc::prop("it is under way at each crash", [] {
    const auto n = *rc::gen::inRange<std::size_t>(2, 24);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto victims = *rc::gen::inRange<std::uint64_t>(1, 8);
    QuarantineGroup group(n, 0.02, seed);
    Service service(group, seed);
    std::vector<SuspectId> sound;
    for (std::uint64_t i = 0; i < victims; ++i) {
      sound.push_back({SuspectKind::kRequest, 100 + i});
    }
    std::vector<milliseconds> unserved(victims);
    milliseconds longest{0};
    for (int tick = 0; tick < 900; ++tick) {
      service.SendBad(sound);
      for (std::uint64_t i = 0; i < victims; ++i) {
        if (service.SendSound(sound[i])) {
          unserved[i] = milliseconds(0);
        } else if (service.IsUp()) {
          unserved[i] += kQuarantineTick;
          longest = std::max(longest, unserved[i]);
        }
      }
      group.Pass(kQuarantineTick);
    }
    RC_ASSERT(longest <= kMaxRefusal);
  });
}

TEST_CASE("A request under way when a service loses power is served again") {
  rc::prop("all upstreams crash at the same moment", [] {
    const auto n = *rc::gen::inRange<std::size_t>(1, 24);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto hot = *rc::gen::inRange<std::uint64_t>(1, 30);
    QuarantineGroup group(n, 0.02, seed);
    Service service(group, seed);
    std::vector<SuspectId> sound;
    for (std::uint64_t i = 0; i < hot; ++i) {
      sound.push_back({SuspectKind::kRequest, 100 + i});
    }
    service.CrashAll(sound);
    std::set<SuspectId> unserved(sound.begin(), sound.end());
    milliseconds back{0};
    for (int tick = 0; tick < 300 && !unserved.empty(); ++tick) {
      group.Pass(kQuarantineTick);
      if (service.IsUp()) back += kQuarantineTick;
      std::erase_if(unserved,
                    [&](const SuspectId& it) { return service.SendSound(it); });
    }
    RC_ASSERT(unserved.empty());
    // The upstreams are back after 3.2 s; by then the block has ended.
    RC_ASSERT(back <= kMaxRefusal);
  });
}

TEST_CASE("A part under way when engines lose power is served again") {
  rc::prop("three engines crash at the same moment", [] {
    const auto n = *rc::gen::inRange<std::size_t>(1, 24);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const SuspectId part = SuspectOf(PartIdOf("c0"));
    QuarantineGroup group(n, 0.02, seed);
    Service service(group, seed);
    service.CrashAll({part});
    milliseconds refused{0};
    group.Pass(milliseconds(2'000));
    bool served = false;
    for (int tick = 0; tick < 600 && !served; ++tick) {
      group.Pass(kQuarantineTick);
      if (service.IsUp()) refused += kQuarantineTick;
      served = service.SendSound(part);
    }
    RC_ASSERT(served);
    RC_ASSERT(refused <= kMaxPartRefusal);
  });
}

TEST_CASE("A trial that isn't begun goes to another gateway") {
  QuarantineGroup group(8, 0.0, 3);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    group.Crash(UpstreamRunId(n), {kBad}, n, 1);
  }
  group.Pass(milliseconds(3'000));
  // All of them ask, and one of them is chosen, but sends nothing.
  for (std::size_t i = 0; i < 8; ++i) group[i].Admit({kBad}, group.now());
  group.Exchange();
  group.Pass(milliseconds(1'500));
  std::size_t admitted = 0;
  for (std::size_t i = 0; i < 8; ++i) {
    group[i].Admit({kBad}, group.now());
    group.Exchange();
    if (group[i].Admit({kBad}, group.now())) continue;
    group[i].OnSent({kBad});
    ++admitted;
  }
  CHECK(admitted == 1);
}

TEST_CASE("A request that was not run may be tried once more") {
  CrashQuarantine quarantine(QuarantineGatewayName(0));
  const StoreTime now(milliseconds(1'000'000));
  quarantine.OnDecision(
      {kBad, true, now, now + milliseconds(1'000), 1, InstanceId()});
  const StoreTime after = now + milliseconds(1'000);
  REQUIRE_FALSE(quarantine.Admit({kBad}, after));
  REQUIRE(quarantine.OnSent({kBad}));
  REQUIRE(quarantine.Admit({kBad}, after));
  quarantine.OnInconclusive({kBad});
  CHECK_FALSE(quarantine.Admit({kBad}, after));
  CHECK(quarantine.OnSent({kBad}));
}

TEST_CASE("Ever new requests don't displace the one that crashes upstreams") {
  CrashQuarantine::Options options;
  options.max_suspects = 50;
  CrashQuarantine quarantine(QuarantineGatewayName(0), options);
  StoreTime now(milliseconds(1'000'000));
  for (std::uint64_t run = 1; run <= 3; ++run) {
    now += milliseconds(1);
    quarantine.OnCrash({kBad}, UpstreamRunId(run), now);
    // Twice, so that it counts more than those that broke once.
    if (run == 1) quarantine.OnCrash({kBad}, UpstreamRunId(9), now);
    for (std::uint64_t i = 0; i < 200; ++i) {
      now += milliseconds(1);
      const SuspectId once{SuspectKind::kRequest, 1'000 * run + i};
      quarantine.OnCrash({once}, UpstreamRunId(run), now);
    }
  }
  CHECK(quarantine.suspect_count() == 50);
  quarantine.OnTick(now + milliseconds(2'000));
  CHECK(quarantine.IsBlocked(kBad));
}

TEST_CASE("Requests are the same if method, path, caller and body are") {
  const RequestIdentity request{"GET", "crew.example", "/look/1", "key", ""};
  const SuspectId suspect = SuspectOf(request);
  CHECK(SuspectOf(RequestIdentity(request)) == suspect);
  for (const RequestIdentity& other :
       {RequestIdentity{"POST", "crew.example", "/look/1", "key", ""},
        RequestIdentity{"GET", "yard.example", "/look/1", "key", ""},
        RequestIdentity{"GET", "crew.example", "/look/1?a", "key", ""},
        RequestIdentity{"GET", "crew.example", "/look/1", "other", ""},
        RequestIdentity{"GET", "crew.example", "/look/1", "", "key"}}) {
    CHECK(SuspectOf(other) != suspect);
  }
  CHECK(ParseSuspect(FormatSuspect(suspect)) == suspect);
  const SuspectId part = SuspectOf(PartIdOf("a0"));
  CHECK(ParseSuspect(FormatSuspect(part)) == part);
  CHECK_FALSE(ParseSuspect("request:12"));
  CHECK_FALSE(ParseSuspect("crash:0000000000000012"));
}

}  // namespace yuccapick
