#include <catch2/catch.hpp>
#include <memory>

#include "yuccapick/agent_core.h"
#include "yuccapick/router_core.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ConfigPtr PlainConfig() {
  auto config = std::make_shared<ConfigSnapshot>();
  config->version = ConfigVersion(1);
  config->teams.push_back({TeamId("moor"), {}, 1.0});
  ServiceConfig service;
  service.id = ServiceId("diary");
  service.kind = ServiceKind::kPlain;
  config->services.push_back(service);
  return config;
}

UpstreamInfo PlainUpstream(const std::string& id) {
  UpstreamInfo upstream;
  upstream.id = UpstreamId(id);
  upstream.kind = UpstreamKind::kPlainService;
  upstream.agent_incarnation = Incarnation(7);
  upstream.services = {ServiceId("diary")};
  return upstream;
}

CallerRequest PlainRequest(std::uint64_t id) {
  CallerRequest request;
  request.id = RequestId(id);
  request.team = TeamId("moor");
  request.service = ServiceId("diary");
  request.method = "GET";
  request.target = "/today";
  return request;
}

template <typename T, typename Actions>
std::vector<T> All(const Actions& actions) {
  std::vector<T> found;
  for (const auto& action : actions) {
    if (const T* typed = std::get_if<T>(&action)) found.push_back(*typed);
  }
  return found;
}

struct RouterAgentFixture {
  RouterCore router{{InstanceId("r1"), Incarnation(3), {}, {}, 1}};
  AgentCore agent{{PlainUpstream("a"), milliseconds(500), 1}};

  RouterAgentFixture() {
    router.Handle(ConfigChanged{PlainConfig()}, kStart);
    router.Handle(UpstreamChanged{PlainUpstream("a")}, kStart);
  }

  /// Passes a request through both cores and returns the attempt's id.
  AttemptId ForwardRequest(std::uint64_t id) {
    auto sent = All<SendAttempt>(
        router.Handle(RequestArrived{PlainRequest(id)}, kStart));
    REQUIRE(sent.size() == 1);
    auto forwarded = All<ForwardAttempt>(
        agent.Handle(AttemptArrived{sent[0].request}, kStart));
    REQUIRE(forwarded.size() == 1);
    return forwarded[0].request.attempt;
  }
};

TEST_CASE("An answer travels from the upstream through both cores") {
  RouterAgentFixture path;
  const AttemptId attempt = path.ForwardRequest(1);
  auto head = All<ReplyHead>(
      path.agent.Handle(UpstreamHead{{attempt, 200, {}}}, kStart));
  auto chunk = All<ReplyChunk>(
      path.agent.Handle(UpstreamChunk{{attempt, 0, "ok", ""}}, kStart));
  auto end =
      All<ReplyEnd>(path.agent.Handle(UpstreamEnd{{attempt, 1, {}}}, kStart));
  REQUIRE((head.size() == 1 && chunk.size() == 1 && end.size() == 1));

  const UpstreamId a("a");
  path.router.Handle(AnswerHeadArrived{a, head[0].head}, kStart);
  RouterActions data =
      path.router.Handle(AnswerChunkArrived{a, chunk[0].chunk}, kStart);
  CHECK(All<BeginAnswer>(data).size() == 1);
  CHECK(All<SendAnswerData>(data).at(0).data == "ok");
  RouterActions last =
      path.router.Handle(AnswerEndArrived{a, end[0].end}, kStart);
  CHECK(All<FinishAnswer>(last).size() == 1);
  CHECK(All<RequestFinished>(last).at(0).complete);
}

TEST_CASE("A caller that disconnects cancels its attempt") {
  RouterAgentFixture path;
  const AttemptId attempt = path.ForwardRequest(1);
  auto cancelled = All<CancelAttempt>(
      path.router.Handle(CallerDisconnected{RequestId(1)}, kStart));
  REQUIRE(cancelled.size() == 1);
  CHECK(cancelled[0].attempt == attempt);
  CHECK(All<CancelUpstream>(
            path.agent.Handle(AttemptAbandoned{attempt, false}, kStart))
            .size() == 1);
}

TEST_CASE("An answer with a missing part is resumed or ends in an error") {
  RouterAgentFixture path;
  const AttemptId attempt = path.ForwardRequest(1);
  const UpstreamId a("a");
  path.router.Handle(AnswerHeadArrived{a, {attempt, 200, {}}}, kStart);
  path.router.Handle(AnswerChunkArrived{a, {attempt, 0, "x", ""}}, kStart);
  RouterActions gap =
      path.router.Handle(AnswerEndArrived{a, {attempt, 2, {}}}, kStart);
  CHECK(All<FinishAnswer>(gap).empty());
  auto resumed = All<SendAttempt>(gap);
  REQUIRE(resumed.size() == 1);
  CHECK(resumed[0].request.resume_attempt == attempt);
  CHECK(resumed[0].request.resume_from == 1);

  AttemptFailed refused;
  refused.attempt = resumed[0].request.attempt;
  refused.error = {ErrorKind::kIncompleteAnswer, Execution::kUnknown,
                   "not kept", std::nullopt};
  RouterActions last =
      path.router.Handle(AttemptFailedArrived{a, refused}, kStart);
  CHECK(All<FinishAnswer>(last).empty());
  REQUIRE(All<FailRequest>(last).size() == 1);
  CHECK(All<FailRequest>(last)[0].error.kind == ErrorKind::kIncompleteAnswer);
}

TEST_CASE("A draining router refuses new work and reports when it is done") {
  RouterAgentFixture path;
  const AttemptId attempt = path.ForwardRequest(1);
  CHECK(All<DrainComplete>(
            path.router.Handle(DrainRequested{milliseconds(100)}, kStart))
            .empty());
  RouterActions refused =
      path.router.Handle(RequestArrived{PlainRequest(2)}, kStart);
  CHECK(All<FailRequest>(refused).at(0).error.kind == ErrorKind::kDraining);
  RouterActions over =
      path.router.Handle(CallerDisconnected{RequestId(1)}, kStart);
  CHECK(All<DrainComplete>(over).size() == 1);
}

TEST_CASE(
    "An agent refuses an attempt that names another of its incarnations") {
  RouterAgentFixture path;
  AttemptRequest request;
  request.attempt = AttemptId("x");
  request.agent_incarnation = Incarnation(6);
  request.deadline = milliseconds(100);
  auto failed =
      All<ReplyFailed>(path.agent.Handle(AttemptArrived{request}, kStart));
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].failure.error.kind == ErrorKind::kWrongIncarnation);
  CHECK(failed[0].failure.error.execution == Execution::kNotRun);
}

}  // namespace
}  // namespace yuccapick
