#include "yuccapick/version_record.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <vector>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Groups = std::vector<SoftwareGroup>;

const ServiceId kService("moor");
const SoftwareGroup kOld{kService, SoftwareVersion("v1")};
const SoftwareGroup kNew{kService, SoftwareVersion("v2")};
const Groups kBoth{kOld, kNew};
const StoreTime kStart{milliseconds(100'000)};
constexpr VersionRecord::Options kOptions{milliseconds(10'000)};

/// Versions that serve, in the order in which they were started.
std::vector<ServingVersion> Serving(const Groups& groups) {
  std::vector<ServingVersion> serving;
  for (const SoftwareGroup& it : groups) {
    serving.push_back({it, Incarnation(serving.size() + 1)});
  }
  return serving;
}

/// The new version's row is eight seconds younger than the old one's.
const StoreTime kJoined = kStart + milliseconds(8'000);

VersionRecord TwoVersions() {
  VersionRecord record(kOptions);
  record.OnRead({{kOld, kStart, false}, {kNew, kJoined, false}}, std::nullopt);
  return record;
}

/// Guards against streams whose version the store may forget.
TEST_CASE("A version begins streams once its row is in any copy") {
  const VersionRecord record = TwoVersions();
  const StoreTime lasting = kJoined + kOptions.max_copy_age;
  CHECK(record.Starters(Serving(kBoth), lasting - milliseconds(1)) ==
        Groups{kOld});
  CHECK(record.Starters(Serving(kBoth), lasting) == kBoth);
}

TEST_CASE("A young version begins streams if no older one serves") {
  const VersionRecord record = TwoVersions();
  CHECK(record.Starters(Serving({kNew}), kJoined) == Groups{kNew});
}

TEST_CASE("Of young versions the oldest begins streams") {
  const VersionRecord record = TwoVersions();
  CHECK(record.Starters(Serving(kBoth), kJoined) == Groups{kOld});
}

/// Guards against streams of a young version at a gateway that can't read the
/// record.
TEST_CASE("Without any row the version that was started first begins streams") {
  const VersionRecord record(kOptions);
  CHECK(record.Starters(Serving({kNew, kOld}), kStart) == Groups{kNew});
  CHECK(record.Starters(Serving(kBoth), std::nullopt) == Groups{kOld});
  const std::vector<ServingVersion> same{{kOld, Incarnation(1)},
                                         {kNew, Incarnation(1)}};
  CHECK(record.Starters(same, kStart) == kBoth);
  CHECK(record.Starters({}, kStart).empty());
}

TEST_CASE("A version without a row waits for those that have one") {
  VersionRecord record(kOptions);
  record.OnRead({{kNew, kStart, false}, {kOld, std::nullopt, false}},
                std::nullopt);
  CHECK(record.Starters(Serving(kBoth), kStart) == Groups{kNew});
  CHECK(record.Starters(Serving(kBoth), kStart + milliseconds(60'000)) ==
        Groups{kNew});
}

TEST_CASE("A young version beside an older one began no unknown stream") {
  const VersionRecord record = TwoVersions();
  const StoreTime lasting = kJoined + kOptions.max_copy_age;
  CHECK(record.OnlyOrigin(kBoth, lasting - milliseconds(1)) == kOld);
  CHECK_FALSE(record.OnlyOrigin(kBoth, lasting));
}

/// Guards against two versions that join together, so that their rows may be in
/// another order than the versions were used in.
TEST_CASE("Of versions recorded at about the same time any may be the origin") {
  VersionRecord record(kOptions);
  const StoreTime next = kStart + kOptions.recording_time;
  record.OnRead({{kOld, kStart, false}, {kNew, next - milliseconds(1), false}},
                std::nullopt);
  CHECK_FALSE(record.OnlyOrigin(kBoth, next));
  record.OnRead({{kOld, kStart, false}, {kNew, next, false}}, std::nullopt);
  CHECK(record.OnlyOrigin(kBoth, next) == kOld);
}

TEST_CASE("A version without a row may have begun any stream") {
  VersionRecord record(kOptions);
  record.OnRead({{kOld, kStart, false}}, std::nullopt);
  CHECK_FALSE(record.OnlyOrigin(kBoth, kStart));
  CHECK(record.OnlyOrigin({kNew}, kStart) == kNew);
  CHECK_FALSE(record.OnlyOrigin({}, kStart));
}

TEST_CASE("Without an answer of the store no age is known") {
  const VersionRecord record = TwoVersions();
  CHECK_FALSE(record.AgeOf(kOld, std::nullopt));
  CHECK(record.AgeOf(kOld, kJoined) == milliseconds(8'000));
  CHECK(record.Starters(Serving(kBoth), std::nullopt) == Groups{kOld});
}

/// Guards against streams of a service that is younger than the copy, whose
/// other versions nobody remembers.
TEST_CASE("After a return only a version that survived it is sure") {
  VersionRecord record(kOptions);
  const StoreTime ended = kStart + milliseconds(30'000);
  record.OnRead({{kOld, kStart, false}}, ended);
  CHECK_FALSE(record.OnlyOrigin({kOld}, ended - milliseconds(1)));
  CHECK(record.OnlyOrigin({kOld}, ended) == kOld);
  record.OnRead({{kOld, kStart, true}}, ended);
  CHECK(record.OnlyOrigin({kOld}, kStart) == kOld);
}

/// Guards against a version that takes streams at gateways that live on, since
/// nothing is known of any row until the record is read again.
TEST_CASE("Rows that any copy has stay known in a new generation") {
  VersionRecord record = TwoVersions();
  const StoreTime last = kStart + kOptions.max_copy_age;
  record.OnNewGeneration(last);
  CHECK(record.IsTimed(kOld));
  CHECK_FALSE(record.IsTimed(kNew));
  CHECK(record.Starters(Serving(kBoth), last) == Groups{kOld});
  CHECK_FALSE(record.OnlyOrigin(kBoth, last));
  CHECK(record.OnlyOrigin({kOld}, last) == kOld);
}

/// Guards against a version that joined after one return and is taken for the
/// only one after the next, though streams of before the first still run.
TEST_CASE("A version that did not survive all returns is not sure") {
  VersionRecord record(kOptions);
  const StoreTime ended = kStart + milliseconds(30'000);
  record.OnRead({{kOld, kStart, false}}, ended);
  const StoreTime last = kStart + kOptions.max_copy_age;
  record.OnNewGeneration(last);
  CHECK(record.IsTimed(kOld));
  CHECK_FALSE(record.OnlyOrigin({kOld}, last));
}

}  // namespace
}  // namespace yuccapick
