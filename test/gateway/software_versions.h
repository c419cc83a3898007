#ifndef YUCCAPICK_TEST_GATEWAY_SOFTWARE_VERSIONS_H_
#define YUCCAPICK_TEST_GATEWAY_SOFTWARE_VERSIONS_H_

/// @file
/// Streams of a service whose upstreams run several software versions.

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "test/gateway/ending_gateway.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {

/// One resumable route.
inline constexpr char kStreamRoutes[] = R"([
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":20000,"targetLatencyMs":8000,"gapTargetMs":8000,"service":"app",
  "maxAttempts":2,"resumable":true}])";

inline constexpr char kOwnDomain[] = "here";
inline constexpr char kOtherDomain[] = "elsewhere";
inline constexpr char kSoftwareTable[] = "yuccapick-software";
/// Streams of one test.
inline constexpr int kStreams = 12;
inline constexpr int kAllReads = 1'000'000;
inline constexpr char kEndOfStream[] = "\r\n0\r\n\r\n";

bool Contains(const std::string& text, const std::string& part);
std::string Chunk(const std::string& bytes);
std::string Event(int id);
std::string NewStream(const std::string& attempt_id);
/// @return a request to continue the stream of `first_attempt` after event 2
std::string ResumedStream(const std::string& attempt_id,
                          const std::string& first_attempt);
/// Four events are a complete stream.
bool HasRestOfStream(const std::string& answer);
bool HasReceived(const FakeUpstream& upstream, const std::string& attempt_id,
                 const std::string& last_event_id);

/// An upstream that sends the first two events of a new stream and then waits.
/// It sends the rest of a resumed stream at once.
struct StreamUpstream {
  StreamUpstream(asio::io_context& loop, const std::string& id)
      : fake(loop, id,
             [this](FakeUpstream::Connection& c, const ReceivedRequest& r) {
               fake.BeginStream(c, r);
               if (r.Field("Last-Event-Id").empty()) {
                 c.Write(Chunk(Event(1) + Event(2)));
               } else {
                 c.Write(Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n");
               }
             }) {}

  bool HasBegun(const std::string& attempt_id) const {
    return HasReceived(fake, attempt_id, "");
  }
  bool HasResumed(const std::string& attempt_id) const {
    return HasReceived(fake, attempt_id, "2");
  }
  void CloseConnections() {
    for (const auto& c : fake.server().connections) c->Close();
  }
  std::size_t ConnectionsClosedByGateway() {
    const auto& connections = fake.server().connections;
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(),
                      [](const auto& c) { return c->closed_by_peer; }));
  }

  FakeUpstream fake;
};

/// The upstreams of one software version.
struct UpstreamPair {
  UpstreamPair(asio::io_context& loop, const std::string& version)
      : software(version),
        first(loop, version + "-first"),
        second(loop, version + "-second") {}

  std::size_t ReceivedCount() const {
    return first.fake.received().size() + second.fake.received().size();
  }
  bool HasBegun(const std::string& attempt_id) const {
    return first.HasBegun(attempt_id) || second.HasBegun(attempt_id);
  }
  bool HasResumed(const std::string& attempt_id) const {
    return first.HasResumed(attempt_id) || second.HasResumed(attempt_id);
  }
  std::size_t ConnectionsClosedByGateway() {
    return first.ConnectionsClosedByGateway() +
           second.ConnectionsClosedByGateway();
  }

  std::string software;
  StreamUpstream first;
  StreamUpstream second;
};

/// A gateway that first lists one upstream of software v1. Further upstreams
/// can be listed. Those of v2 are in the gateway's own failure domain, so that
/// placement prefers them.
struct TwoSoftwareVersions {
  TwoSoftwareVersions() : v1(fixture.loop, "v1"), v2(fixture.loop, "v2") {
    fixture.PutConfig(1, kStreamRoutes);
    Register(v1.first, v1.software, kOtherDomain);
    fixture.Start();
  }

  void Register(const StreamUpstream& upstream, const std::string& software,
                const std::string& domain) {
    fixture.RegisterSoftware(upstream.fake, "app", software, domain);
  }

  void ListSecondOfV1() {
    Register(v1.second, v1.software, kOtherDomain);
    REQUIRE(fixture.AwaitListed(++listed));
  }

  void ListV2() {
    Register(v2.first, v2.software, kOwnDomain);
    Register(v2.second, v2.software, kOwnDomain);
    listed += 2;
    REQUIRE(fixture.AwaitListed(listed));
  }

  std::unique_ptr<FakeCaller> BeginStream(const std::string& attempt_id) {
    auto caller = std::make_unique<FakeCaller>(
        fixture.loop, fixture.settings.caller_endpoint);
    caller->Send(NewStream(attempt_id));
    REQUIRE(fixture.RunUntilTrue(
        [&caller] { return Contains(caller->input(), Event(2)); }));
    return caller;
  }

  /// Waits until the gateway has closed the upstream connections of `n` streams
  /// whose callers disconnected.
  void AwaitCancelled(std::size_t n) {
    REQUIRE(fixture.RunUntilTrue([this, n] {
      return v1.ConnectionsClosedByGateway() +
                 v2.ConnectionsClosedByGateway() >=
             n;
    }));
  }

  void AwaitEnd(const FakeCaller& caller) {
    REQUIRE(fixture.RunUntilTrue([&caller] {
      return caller.closed() || caller.input().ends_with(kEndOfStream);
    }));
  }

  GatewayFixture fixture;
  UpstreamPair v1;
  UpstreamPair v2;
  std::size_t listed = 1;
};

/// A gateway that lists an upstream of software v1 and has recorded it, before
/// all gateways lose power and another one starts.
struct PowerLoss {
  PowerLoss() : v1(fixture.loop, "v1"), v2(fixture.loop, "v2") {
    fixture.PutConfig(1, kStreamRoutes);
    Register(v1.first, v1.software);
    lost.emplace(fixture);
    AwaitRecorded("app/v1");
  }

  void Register(const StreamUpstream& upstream, const std::string& software) {
    fixture.RegisterSoftware(upstream.fake, "app", software);
  }

  void AwaitRecorded(const std::string& key) {
    REQUIRE(lost->RunUntilTrue(
        [&] { return fixture.store.Has(kSoftwareTable, key); }));
  }

  /// A stream of v1 breaks off when the gateways lose power.
  void LoseStream(const std::string& attempt_id) {
    FakeCaller caller(fixture.loop, lost->settings().caller_endpoint);
    caller.Send(NewStream(attempt_id));
    REQUIRE(lost->RunUntilTrue(
        [&caller] { return Contains(caller.input(), Event(2)); }));
  }

  void StartAnother() {
    lost->Unregister();
    lost.reset();
    fixture.Start();
  }

  /// Asks until the gateway knows which versions were in use.
  std::string ResumeStream(const std::string& first_attempt) {
    std::string answer;
    int attempts = 0;
    REQUIRE(fixture.RunUntilTrue([&] {
      answer = fixture.Ask(
          ResumedStream(fmt::format("again-{}", ++attempts), first_attempt));
      return !IsRefusal(answer);
    }));
    return answer;
  }

  GatewayFixture fixture;
  UpstreamPair v1;
  UpstreamPair v2;
  std::optional<EndingGateway> lost;
};

inline std::string StreamName(int n) { return fmt::format("first-{}", n); }

/// Gateways that end without notice while streams of two versions run.
struct TwoVersionsUntilKill {
  TwoVersionsUntilKill() : v1(fixture.loop, "v1"), v2(fixture.loop, "v2") {
    fixture.PutConfig(1, kStreamRoutes);
    Register(v1);
    ending.emplace(fixture);
    AwaitRecorded("app/v1");
  }

  void Register(const UpstreamPair& version) {
    for (const StreamUpstream* it : {&version.first, &version.second}) {
      fixture.RegisterSoftware(it->fake, "app", version.software);
    }
  }

  void AwaitRecorded(const std::string& key) {
    REQUIRE(ending->RunUntilTrue(
        [&] { return fixture.store.Has(kSoftwareTable, key); }));
  }

  void ListV2() {
    Register(v2);
    AwaitRecorded("app/v2");
  }

  /// Streams that are cut off with their gateway.
  void BeginStreams() {
    for (int n = 0; n < kStreams; ++n) {
      callers.push_back(std::make_unique<FakeCaller>(
          fixture.loop, ending->settings().caller_endpoint));
      FakeCaller& caller = *callers.back();
      caller.Send(NewStream(StreamName(n)));
      REQUIRE(ending->RunUntilTrue(
          [&caller] { return Contains(caller.input(), Event(2)); }));
    }
  }

  void RunEnding(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    REQUIRE(ending->RunUntilTrue(
        [end] { return std::chrono::steady_clock::now() >= end; }));
  }

  void Kill() {
    ending->Unregister();
    ending.reset();
  }

  /// Resumes all streams at the fixture's gateway.
  void CheckAllGoOn(const std::string& attempt_prefix = "again") {
    for (int n = 0; n < kStreams; ++n) {
      const std::string attempt = fmt::format("{}-{}", attempt_prefix, n);
      const std::string answer =
          fixture.Ask(ResumedStream(attempt, StreamName(n)));
      CHECK(HasRestOfStream(answer));
      CHECK(v1.HasResumed(attempt) == v1.HasBegun(StreamName(n)));
      CHECK(v2.HasResumed(attempt) == v2.HasBegun(StreamName(n)));
    }
  }

  /// Waits until the row of a version has its time.
  void AwaitTimed(const std::string& key) {
    REQUIRE(ending->RunUntilTrue([&] {
      return fixture.store.ValueOf(kSoftwareTable, key).starts_with("listed ");
    }));
  }

  GatewayFixture fixture;
  UpstreamPair v1;
  UpstreamPair v2;
  std::optional<EndingGateway> ending;
  std::vector<std::unique_ptr<FakeCaller>> callers;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_SOFTWARE_VERSIONS_H_
