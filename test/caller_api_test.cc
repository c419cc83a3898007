#include "yuccapick/caller_api.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

ConfigSnapshot MakeConfig() {
  ConfigSnapshot config;
  config.teams = {{TeamId("clinic"), {}, 1.0}};
  config.models = {{ModelId("fen-3b"), WeightVersion("w1"), {}, 1}};
  ServiceConfig bookings;
  bookings.id = ServiceId("bookings");
  bookings.kind = ServiceKind::kPlain;
  ServiceConfig notes;
  notes.id = ServiceId("notes");
  notes.teams = {TeamId("clinic")};
  notes.models = {ModelId("fen-3b")};
  notes.max_body_bytes = 400;
  config.services = {bookings, notes};
  return config;
}

HttpCall ChatCall(std::string body) {
  return {"POST", "/v1/chat/completions", {}, std::move(body)};
}

Error ErrorOf(const ParsedRequest& parsed) {
  REQUIRE(std::holds_alternative<Error>(parsed));
  return std::get<Error>(parsed);
}

TEST_CASE("Routes are distinguished by method and path") {
  CHECK(RouteOf("POST", "/v1/chat/completions?x=1") ==
        CallerRoute::kChatCompletion);
  CHECK(RouteOf("GET", "/v1/chat/completions") == CallerRoute::kUnknown);
  CHECK(RouteOf("DELETE", "/services/bookings/7") ==
        CallerRoute::kPlainService);
  CHECK(RouteOf("GET", "/services/") == CallerRoute::kUnknown);
  CHECK(RouteOf("GET", "/operations/k1") == CallerRoute::kOperation);
}

TEST_CASE("Each message and each text part ends a prefix level") {
  const ParsedRequest parsed =
      ParseRequest(CallerRoute::kChatCompletion,
                   ChatCall(R"({"model":"fen-3b","stream":true,"messages":[
        {"role":"system","content":"policy"},
        {"role":"user","content":[{"type":"text","text":"document"},
                                  {"type":"text","text":"question"}]}]})"),
                   TeamId("clinic"), MakeConfig());
  const auto& request = std::get<CallerRequest>(parsed);
  CHECK(request.levels == std::vector<std::string>{
                              "system\npolicy", "user\ndocument", "question"});
  CHECK(request.service == ServiceId("notes"));
  CHECK(request.streamed);
}

TEST_CASE("Plain calls keep path and query below the service") {
  const ConfigSnapshot config = MakeConfig();
  HttpCall call{"POST",
                "/services/bookings/slots/4?day=mon",
                {{"idempotency-key", "k1"},
                 {"authorization", "Bearer secret"},
                 {"accept", "*/*"}},
                "{}"};
  const ParsedRequest parsed = ParseRequest(
      CallerRoute::kPlainService, std::move(call), TeamId("clinic"), config);
  const auto& request = std::get<CallerRequest>(parsed);
  CHECK(request.target == "/slots/4?day=mon");
  CHECK(request.key == IdempotencyKey("k1"));
  CHECK(std::none_of(
      request.headers.begin(), request.headers.end(),
      [](const Header& header) { return header.name == "authorization"; }));
}

TEST_CASE("Invalid calls are refused as not run, with a remedy") {
  const ConfigSnapshot config = MakeConfig();
  const TeamId team("clinic");
  const auto refuse = [&](HttpCall call) {
    return ErrorOf(ParseRequest(CallerRoute::kChatCompletion, std::move(call),
                                team, config));
  };
  CHECK(refuse(ChatCall("{")).kind == ErrorKind::kBadRequest);
  CHECK(refuse(ChatCall("[]")).kind == ErrorKind::kBadRequest);
  CHECK(refuse(ChatCall(R"({"model":"fen-3b","messages":[]})")).message ==
        "'messages' is missing or empty; send a list of messages");
  CHECK(refuse(ChatCall(R"({"model":"elk-1b","messages":[{"role":"user"}]})"))
            .kind == ErrorKind::kNotFound);
  HttpCall late =
      ChatCall(R"({"model":"fen-3b","messages":[{"role":"user"}]})");
  late.headers = {{"yuccapick-deadline-ms", "-1"}};
  CHECK(refuse(late).kind == ErrorKind::kBadRequest);
  HttpCall large =
      ChatCall(R"({"model":"fen-3b","messages":[{"role":"user","content":")" +
               std::string(500, 'x') + R"("}]})");
  const Error error = refuse(large);
  CHECK(error.kind == ErrorKind::kPayloadTooLarge);
  CHECK(error.execution == Execution::kNotRun);
}

TEST_CASE("A team that a service does not admit is refused") {
  const Error error = ErrorOf(
      ParseRequest(CallerRoute::kChatCompletion,
                   {"POST",
                    "/v1/chat/completions",
                    {{"yuccapick-service", "notes"}},
                    R"({"model":"fen-3b","messages":[{"role":"user"}]})"},
                   TeamId("other"), MakeConfig()));
  CHECK(error.kind == ErrorKind::kForbidden);
}

TEST_CASE("An error body has code, execution state and retry delay") {
  const Error error{ErrorKind::kOverloaded, Execution::kNotRun, "busy",
                    std::chrono::milliseconds(250)};
  CHECK(ErrorBody(error) ==
        R"({"error":{"code":"overloaded","execution":"not_run",)"
        R"("message":"busy","retry_after_ms":250}})");
}

}  // namespace
}  // namespace yuccapick
