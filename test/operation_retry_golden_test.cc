#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "yuccapick/agent_core.h"
#include "yuccapick/operation_record.h"
#include "yuccapick/router_core.h"

namespace yuccapick {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr char kGolden[] =
    YUCCAPICK_SOURCE_DIR "/test/golden/booking_repeated_elsewhere.txt";

UpstreamInfo BookingUpstream() {
  UpstreamInfo info;
  info.id = UpstreamId("booker-1");
  info.kind = UpstreamKind::kPlainService;
  info.agent_incarnation = Incarnation(7);
  info.services = {ServiceId("bookings")};
  return info;
}

ConfigPtr BookingConfig() {
  auto config = std::make_shared<ConfigSnapshot>();
  config->version = ConfigVersion(1);
  config->teams = {{TeamId("moor"), {}, 1.0}};
  ServiceConfig service;
  service.id = ServiceId("bookings");
  service.kind = ServiceKind::kPlain;
  service.idempotent = false;
  config->services = {service};
  return config;
}

/// Two routers, one agent and a table of one row; logs their messages.
class TwoRouterScenario {
 public:
  TwoRouterScenario() {
    for (RouterCore* router : {&first_, &second_}) {
      router->Handle(ConfigChanged{BookingConfig()}, kStart);
      router->Handle(UpstreamChanged{BookingUpstream()}, kStart);
    }
  }

  void Request(RouterCore& router, const std::string& name, std::uint64_t id) {
    CallerRequest request;
    request.id = RequestId(id);
    request.team = TeamId("moor");
    request.service = ServiceId("bookings");
    request.key = IdempotencyKey("valve-12");
    request.method = "POST";
    request.target = "/book";
    request.body = "one spare valve";
    AppendLine(fmt::format("caller -> {}: POST /book, key valve-12", name));
    Route(router, name, RequestArrived{request});
  }

  void Finish() {
    AppendLine("booker-1 -> agent: 200, booked");
    Agent(UpstreamHead{{running_attempt_, 200, {}}});
    Agent(UpstreamChunk{{running_attempt_, 0, "booked", ""}});
    Agent(UpstreamEnd{{running_attempt_, 1, {}}});
  }

  void WaitForSecondRouter() {
    now_ += std::chrono::seconds(1);
    Route(second_, "router-2", Tick{});
  }

  void AppendLine(const std::string& line) { text_ += line + "\n"; }

  RouterCore first_{{InstanceId("router-1"), Incarnation(1), {}, {}, 1, {}}};
  RouterCore second_{{InstanceId("router-2"), Incarnation(1), {}, {}, 2, {}}};
  std::string text_;

 private:
  void Route(RouterCore& router, const std::string& name,
             const RouterEvent& event) {
    for (const RouterAction& action : router.Handle(event, now_)) {
      if (const auto* commit = std::get_if<CommitTable>(&action)) {
        Commit(router, name, *commit);
      } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
        AppendLine(fmt::format("{} -> agent: attempt, fence {}", name,
                               send->request.fence.value));
        attached_router_ = &router;
        attached_router_name_ = name;
        Agent(AttemptArrived{send->request});
      } else if (const auto* data = std::get_if<SendAnswerData>(&action)) {
        AppendLine(fmt::format("{} -> caller: {}", name, data->data));
      } else if (std::get_if<FinishAnswer>(&action) != nullptr) {
        AppendLine(fmt::format("{} -> caller: end", name));
      } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
        AppendLine(fmt::format("{} -> caller: {}, {}", name,
                               ErrorKindName(fail->error.kind),
                               ExecutionName(fail->error.execution)));
      }
    }
  }

  void Commit(RouterCore& router, const std::string& name,
              const CommitTable& commit) {
    const TablePut& put = commit.transaction.puts.front();
    const bool holds =
        commit.transaction.checks.front().version == row_.version;
    const OperationRecord record = *DecodeOperation(put.value);
    AppendLine(fmt::format("{} -> table: {} with fence {}: {}", name,
                           OperationStateName(record.state), record.fence.value,
                           holds ? "applied" : "conflict"));
    CommitResult result{WriteResult::kNotApplied, {row_}};
    if (holds) {
      row_ = {put.key, put.value, row_.version + 1};
      result = {WriteResult::kApplied, {}};
    }
    Route(router, name, TableCommitted{commit.command, result});
  }

  void Agent(const AgentEvent& event) {
    for (const AgentAction& action : agent_.Handle(event, now_)) {
      if (const auto* forward = std::get_if<ForwardAttempt>(&action)) {
        running_attempt_ = forward->request.attempt;
        AppendLine("agent -> booker-1: POST /book");
      } else if (const auto* failed = std::get_if<ReplyFailed>(&action)) {
        Route(*attached_router_, attached_router_name_,
              AttemptFailedArrived{BookingUpstream().id, failed->failure});
      } else if (const auto* head = std::get_if<ReplyHead>(&action)) {
        Route(*attached_router_, attached_router_name_,
              AnswerHeadArrived{BookingUpstream().id, head->head});
      } else if (const auto* chunk = std::get_if<ReplyChunk>(&action)) {
        Route(*attached_router_, attached_router_name_,
              AnswerChunkArrived{BookingUpstream().id, chunk->chunk});
      } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
        Route(*attached_router_, attached_router_name_,
              AnswerEndArrived{BookingUpstream().id, end->end});
      }
    }
  }

  AgentCore agent_{
      {BookingUpstream(), std::chrono::milliseconds(500), 1, {}, 64}};
  TableRow row_;
  AttemptId running_attempt_;
  TimePoint now_ = kStart;
  RouterCore* attached_router_ = nullptr;
  std::string attached_router_name_;
};

TEST_CASE("A booking repeated through another router runs once") {
  TwoRouterScenario session;
  session.Request(session.first_, "router-1", 1);
  session.AppendLine("router-1 crashes");
  session.Request(session.second_, "router-2", 2);
  session.Finish();
  session.WaitForSecondRouter();
  session.WaitForSecondRouter();
  std::ifstream file(kGolden);
  std::stringstream golden;
  golden << file.rdbuf();
  CHECK(session.text_ == golden.str());
}

}  // namespace
}  // namespace yuccapick
