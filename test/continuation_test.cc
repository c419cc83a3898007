#include <catch2/catch.hpp>
#include <variant>
#include <vector>

#include "util/detail/capacity_samples.h"
#include "yuccapick/router_core.h"

namespace yuccapick {
namespace {

constexpr std::size_t kStreams = 300;
constexpr std::size_t kTeams = 4;
constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<SendAttempt> SentBy(const RouterActions& actions) {
  std::vector<SendAttempt> sent;
  for (const RouterAction& action : actions) {
    if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
      sent.push_back(*attempt);
    }
  }
  return sent;
}

/// Begins a stream and delivers its first part.
SendAttempt BeginStream(RouterCore& router, std::uint64_t id) {
  const RouterActions actions =
      router.Handle(RequestArrived{SampleRequest(id, kTeams)}, kStart);
  const SendAttempt sent = SentBy(actions).at(0);
  const AttemptId& attempt = sent.request.attempt;
  router.Handle(AnswerHeadArrived{sent.upstream, {attempt, 200, {}}}, kStart);
  router.Handle(AnswerChunkArrived{sent.upstream, {attempt, 0, "{}", "word "}},
                kStart);
  return sent;
}

TEST_CASE(
    "All streams that an engine crash breaks at once continue elsewhere") {
  RouterCore router({InstanceId("r1"), Incarnation(1), {}, {}, 1});
  router.Handle(ConfigChanged{SampleConfig(kTeams)}, kStart);
  for (std::size_t i = 0; i < 3; ++i) {
    router.Handle(UpstreamChanged{SampleEngine(i)}, kStart);
    router.Handle(ReportArrived{SampleReport(i, 1, 0)}, kStart);
  }
  std::vector<SendAttempt> streams;
  for (std::uint64_t id = 1; id <= kStreams; ++id) {
    streams.push_back(BeginStream(router, id));
  }
  const UpstreamId broken = streams.front().upstream;
  for (const SendAttempt& stream : streams) {
    if (stream.upstream != broken) continue;
    AttemptFailed failure;
    failure.attempt = stream.request.attempt;
    failure.error = {ErrorKind::kUpstreamFailed, Execution::kUnknown, "", {}};
    failure.agent_incarnation = Incarnation(1);
    failure.engine_incarnation = Incarnation(2);
    const std::vector<SendAttempt> next =
        SentBy(router.Handle(AttemptFailedArrived{broken, failure}, kStart));
    REQUIRE(next.size() == 1);
    CHECK(next.front().upstream != broken);
    CHECK(next.front().request.continuation == "word ");
    CHECK(next.front().request.resume_from == 1);
  }
}

}  // namespace
}  // namespace yuccapick
