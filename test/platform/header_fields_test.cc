#include "platform/header_fields.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

HttpHead MakeCallerHead() {
  HttpHead head;
  head.method = "POST";
  head.target = "/lepu/2f?x=1";
  head.has_body = true;
  head.fields = {{"Host", "jepu9.example"},
                 {"X-Attempt-Id", "9c41"},
                 {"X-Model", "moor"},
                 {"X-Token-Count", "1460,80"},
                 {"X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e440:250"},
                 {"X-Length-Hint", "40"},
                 {"X-Deadline-Ms", "5000"},
                 {"X-Key", "secret"},
                 {"Last-Event-Id", "12"}};
  return head;
}

bool HasLine(const std::string& text, const std::string& line) {
  return text.find("\r\n" + line + "\r\n") != std::string::npos;
}

TEST_CASE("A caller's header fields are decoded") {
  const CallerHeaders caller = platform::DecodeCallerHeaders(MakeCallerHead());
  CHECK(caller.attempt_id == "9c41");
  CHECK(caller.time_limit == milliseconds(5'000));
  CHECK(caller.key == "secret");
  CHECK(caller.prompt_tokens == 1'460);
  CHECK(caller.max_output_tokens == 80);
  CHECK(caller.expected_output_tokens == 40U);
  REQUIRE(caller.parts.size() == 3);
  CHECK(caller.parts[1].id == "91bd3f06");
  CHECK(caller.parts[1].tokens == 410);
  CHECK(caller.last_event_id == 12U);
}

TEST_CASE("Malformed header fields count as absent") {
  HttpHead head;
  head.fields = {{"X-Deadline-Ms", "soon"},
                 {"X-Token-Count", "1,2,3"},
                 {"X-Prompt-Prefix", "a:1,b"}};
  const CallerHeaders caller = platform::DecodeCallerHeaders(head);
  CHECK_FALSE(caller.time_limit.has_value());
  CHECK(caller.prompt_tokens == 0);
  CHECK(caller.parts.empty());
}

TEST_CASE("An attempt carries the gateway's fields and not the caller's key") {
  AttemptHeaders attempt;
  attempt.upstream = UpstreamId("i-7f3a");
  attempt.weights = 3;
  attempt.time_left = milliseconds(4'900);
  attempt.team = TeamId("moor");
  attempt.cache_scope = "3-0-";
  attempt.import_from = "10.2.64.3:8080";
  attempt.urgency = 2;
  attempt.last_event_id = 12;
  const std::string text =
      platform::EncodeAttemptHead(MakeCallerHead(), attempt, 5);
  CHECK(text.find("POST /lepu/2f?x=1 HTTP/1.1\r\n") == 0);
  CHECK(HasLine(text, "X-Expect-Instance: i-7f3a"));
  CHECK(HasLine(text, "X-Expect-Version: 3"));
  CHECK(HasLine(text, "X-Deadline-Ms: 4900"));
  CHECK(HasLine(text, "X-Tenant: moor"));
  CHECK(HasLine(text, "X-Cache-Salt: 3-0-"));
  CHECK(HasLine(text, "X-Kv-Fetch: 10.2.64.3:8080"));
  CHECK(HasLine(text, "X-Request-Urgency: 2"));
  CHECK(HasLine(text, "Last-Event-Id: 12"));
  CHECK(HasLine(text, "Content-Length: 5"));
  CHECK(HasLine(text, "X-Prompt-Prefix: 5c1e07a2:800, 91bd3f06:410,e440:250"));
  CHECK(text.find("secret") == std::string::npos);
  CHECK(text.find("X-Kv-Save") == std::string::npos);
}

TEST_CASE("A caller's values of the gateway's fields are not forwarded") {
  HttpHead head = MakeCallerHead();
  for (const char* name :
       {"X-Tenant", "X-Expect-Instance", "x-cache-salt", "X-Kv-Fetch",
        "X-Kv-Save", "X-Pin-Ms", "X-Kv-Hold", "X-Kv-Backup", "Kv-From",
        "X-Expect-Version", "X-Request-Urgency"}) {
    head.fields.push_back({name, "forged"});
  }
  const std::string text = platform::EncodeAttemptHead(head, {}, 0);
  CHECK(text.find("forged") == std::string::npos);
}

TEST_CASE("Hop-by-hop fields are not forwarded, essential fields always are") {
  HttpHead head = MakeCallerHead();
  head.fields.push_back({"Connection", "close, X-Trace, X-Model"});
  head.fields.push_back({"X-Trace", "1"});
  head.fields.push_back({"Transfer-Encoding", "chunked"});
  head.fields.push_back({"Accept", "text/event-stream"});
  const std::string text = platform::EncodeAttemptHead(head, {}, 5);
  CHECK(text.find("X-Trace") == std::string::npos);
  CHECK(text.find("chunked") == std::string::npos);
  CHECK(text.find("Connection") == std::string::npos);
  CHECK(HasLine(text, "X-Model: moor"));
  CHECK(HasLine(text, "Accept: text/event-stream"));
}

TEST_CASE("An answer's fields tell whether the request ran, and its seal") {
  HttpHead head;
  head.status = 503;
  head.fields = {{"X-Not-Executed", "1"}};
  CHECK(platform::DecodeAnswer(head).not_executed);
  head.fields.clear();
  CHECK_FALSE(platform::DecodeAnswer(head).not_executed);
  head.status = 421;
  CHECK(platform::DecodeAnswer(head).wrong_upstream);
  CHECK(platform::DecodeAnswer(head).not_executed);
  head.status = 200;
  head.fields = {{"X-Server-Seal", "3e1b"},
                 {"X-Attempt-Id", "9c41"},
                 {"X-Weight-Versions", "7"},
                 {"Content-Type", "text/event-stream"}};
  const AnswerInfo info = platform::DecodeAnswer(head);
  CHECK(info.authenticated);
  CHECK(info.event_stream);
  CHECK(info.weights == 7U);
  CHECK(info.attempt_id == "9c41");
}

TEST_CASE("An answer's limit is a number of requests a second") {
  HttpHead head;
  head.status = 200;
  CHECK_FALSE(platform::DecodeAnswer(head).requests_per_second);
  CHECK_FALSE(platform::DecodeAnswer(head).limit_unreadable);
  head.fields = {{"Server-Limit", "1.5"}};
  CHECK(platform::DecodeAnswer(head).requests_per_second == 1.5);
  head.fields = {{"Server-Limit", "0"}};
  CHECK(platform::DecodeAnswer(head).requests_per_second == 0.0);
  for (const char* text : {"", "many", "-1", "nan", "inf", "1.5 a second"}) {
    head.fields = {{"Server-Limit", text}};
    CHECK_FALSE(platform::DecodeAnswer(head).requests_per_second);
    CHECK(platform::DecodeAnswer(head).limit_unreadable);
  }
}

TEST_CASE("An answer may say that its upstream leaves") {
  HttpHead head;
  head.status = 200;
  CHECK_FALSE(platform::DecodeAnswer(head).leaving);
  head.fields = {{"Server-Leaving", "1"}};
  CHECK(platform::DecodeAnswer(head).leaving);
  head.fields = {{"Server-Leaving", "0"}};
  CHECK_FALSE(platform::DecodeAnswer(head).leaving);
}

TEST_CASE("A rejection may ask for a pause in seconds") {
  HttpHead head;
  head.status = 503;
  CHECK_FALSE(platform::DecodeAnswer(head).pause);
  head.fields = {{"Retry-After", "3"}};
  CHECK(platform::DecodeAnswer(head).pause == std::chrono::milliseconds(3'000));
  head.fields = {{"Retry-After", "1e300"}};
  CHECK(platform::DecodeAnswer(head).pause == std::chrono::hours(24));
  head.fields = {{"Retry-After", "-1"}};
  CHECK_FALSE(platform::DecodeAnswer(head).pause);
  CHECK(platform::DecodeAnswer(head).pause_unreadable);
  head.status = 200;
  head.fields = {{"Retry-After", "3"}};
  CHECK_FALSE(platform::DecodeAnswer(head).pause);
}

TEST_CASE("An answer's hop-by-hop fields are not forwarded to the caller") {
  HttpHead head;
  head.fields = {{"X-Server-Seal", "3e1b"},
                 {"Connection", "close"},
                 {"Keep-Alive", "timeout=3"},
                 {"Content-Length", "3"},
                 {"X-Attempt-Id", "9c41"}};
  const auto fields = platform::ForwardedAnswerFields(head);
  REQUIRE(fields.size() == 2);
  CHECK(fields[0].name == "X-Server-Seal");
  CHECK(fields[1].name == "X-Attempt-Id");
}

}  // namespace
}  // namespace yuccapick
