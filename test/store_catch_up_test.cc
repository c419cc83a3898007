#include "yuccapick/store_catch_up.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "test/lease_test_util.h"
#include "yuccapick/lease.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kGateways = 660;
constexpr int kReadsPerSecond = 2'000;
constexpr int kWritesPerSecond = 400;
constexpr milliseconds kTick{100};
constexpr StoreGeneration kOld{1};
constexpr StoreGeneration kNew{2};

/// Calls to the store in each 10 ms of some time.
class CallCounts {
 public:
  explicit CallCounts(TimePoint start) : start_(start) {}

  void Add(TimePoint at) {
    const auto i = static_cast<std::size_t>((at - start_) / kSlot);
    if (counts_.size() <= i) counts_.resize(i + 1);
    ++counts_[i];
  }
  /// The most calls in any second.
  int Peak() const {
    constexpr std::size_t kSlotsPerSecond = 100;
    int peak = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      int n = 0;
      for (std::size_t j = i; j < i + kSlotsPerSecond; ++j) {
        if (j < counts_.size()) n += counts_[j];
      }
      peak = std::max(peak, n);
    }
    return peak;
  }

 private:
  static constexpr milliseconds kSlot{10};

  TimePoint start_;
  std::vector<int> counts_;
};

/// One gateway's calls after a change of the generation, with all answered at
/// once and all of its rows lost.
class Member {
 public:
  explicit Member(std::size_t index)
      : random_(index),
        phase_(std::uniform_int_distribution<int>(0, 99)(random_)),
        lease_(Options(index)) {
    lease_.OnGeneration(kOld, kLeaseStart);
  }

  milliseconds phase() const { return phase_; }
  void HearOf(StoreGeneration generation, TimePoint now) {
    catch_up_.OnPeerGeneration(generation, kGateways, Share(), now);
  }
  void Learn(TimePoint now) {
    if (learned_) return;
    learned_ = true;
    catch_up_.OnGeneration(kNew, kGateways, Share(), now);
    const double share = Share().reads;
    lease_.OnGeneration(kNew, now + std::chrono::duration_cast<milliseconds>(
                                        StoreReadSpread(kGateways) * share));
  }
  void Tick(TimePoint now, FakeLeaseTable& table, CallCounts& reads,
            CallCounts& writes) {
    if (catch_up_.TakeReread(now) && !caught_up_) {
      // Two tables; one may have been read when the change was learnt.
      for (int i = 0; i < 2; ++i) reads.Add(now);
      Learn(now);
      caught_up_ = true;
    }
    if (catch_up_.TakeRewrite(now)) {
      // The blocked parts, the set times and the own endpoint.
      for (int i = 0; i < 3; ++i) reads.Add(now);
      writes.Add(now);
    }
    const auto call = lease_.OnTick(now);
    if (!call) return;
    if (const auto* commit = std::get_if<LeaseCommit>(&*call)) {
      writes.Add(now);
      const bool applied = table.Apply(commit->transaction);
      lease_.OnCommitted(
          {applied ? WriteResult::kApplied : WriteResult::kNotApplied, {}},
          now);
    } else {
      reads.Add(now);
      lease_.OnRead(table.row, now);
    }
  }
  bool caught_up() const { return caught_up_; }
  bool holds(TimePoint now) const { return lease_.IsHeld(now); }

 private:
  static LeaseOptions Options(std::size_t index) {
    LeaseOptions options;
    options.key = kLeaseKey;
    options.holder = "gateway-" + std::to_string(index);
    options.term = milliseconds(2'000);
    options.renew_every = milliseconds(700);
    options.observe_every = StoreReadSpread(kGateways);
    return options;
  }
  SpreadShare Share() {
    std::uniform_real_distribution<double> share(0.0, 1.0);
    return {share(random_), share(random_)};
  }

  std::mt19937 random_;
  milliseconds phase_;
  Lease lease_;
  StoreCatchUp catch_up_;
  bool learned_ = false;
  bool caught_up_ = false;
};

/// All gateways learn of a change as `learn` says.
struct FleetRun {
  explicit FleetRun(const std::function<void(Member&, TimePoint)>& learn)
      : reads(kLeaseStart), writes(kLeaseStart) {
    std::vector<Member> members;
    for (std::size_t i = 0; i < kGateways; ++i) members.emplace_back(i);
    for (Member& member : members) learn(member, kLeaseStart);
    FakeLeaseTable table;
    constexpr milliseconds kDuration{12'000};
    for (milliseconds at{0}; at < kDuration; at += milliseconds(1)) {
      for (Member& member : members) {
        if ((at - member.phase()) % kTick != milliseconds(0)) continue;
        member.Tick(kLeaseStart + at, table, reads, writes);
      }
      if (!all_caught_up_after &&
          std::all_of(members.begin(), members.end(),
                      [](const Member& it) { return it.caught_up(); })) {
        all_caught_up_after = at;
      }
    }
    holders = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(),
        [&](const Member& it) { return it.holds(kLeaseStart + kDuration); }));
  }

  CallCounts reads;
  CallCounts writes;
  std::optional<milliseconds> all_caught_up_after;
  std::size_t holders = 0;
};

void CheckRates(const FleetRun& run) {
  INFO("reads " << run.reads.Peak() << ", writes " << run.writes.Peak()
                << ", caught up after ms "
                << run.all_caught_up_after.value_or(milliseconds(-1)).count());
  CHECK(run.reads.Peak() < kReadsPerSecond);
  CHECK(run.writes.Peak() < kWritesPerSecond);
  REQUIRE(run.all_caught_up_after);
  CHECK(*run.all_caught_up_after < milliseconds(2'000));
  CHECK(run.holders == 1);
}

TEST_CASE("660 gateways that learn at once of a generation keep the rates") {
  CheckRates(FleetRun([](Member& it, TimePoint now) { it.Learn(now); }));
}

TEST_CASE("660 gateways that hear of a generation at once keep the rates") {
  CheckRates(FleetRun([](Member& it, TimePoint now) { it.HearOf(kNew, now); }));
}

TEST_CASE("A generation that a peer told of before is not news") {
  StoreCatchUp catch_up;
  CHECK(catch_up.OnPeerGeneration(kNew, 1, {}, kLeaseStart));
  CHECK_FALSE(catch_up.OnPeerGeneration(kNew, 1, {}, kLeaseStart));
  CHECK(catch_up.TakeReread(kLeaseStart));
  CHECK_FALSE(catch_up.TakeReread(kLeaseStart));
  CHECK_FALSE(catch_up.TakeRewrite(kLeaseStart + milliseconds(60'000)));
}

}  // namespace
}  // namespace yuccapick
