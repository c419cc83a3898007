#include <catch2/catch.hpp>
#include <string>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"app","maxAttempts":1}])";
constexpr char kTwoAttemptRoutes[] = R"([
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"app","maxAttempts":2}])";
constexpr char kRefusalFields[] =
    "X-Not-Executed: full\r\nContent-Length: 0\r\n";

std::string Refusal(const std::string& status, const std::string& id_field) {
  return "HTTP/1.1 " + status + " X\r\n" + id_field + kRefusalFields + "\r\n";
}

std::string IdField(const std::string& id) {
  return "X-Attempt-Id: " + id + "\r\n";
}

/// An upstream that refuses its first request and runs the second one, before
/// whose answer it writes a refusal once more.
struct RepeatingUpstream {
  explicit RepeatingUpstream(const std::string& repeated)
      : upstream(fixture.loop, "up-1",
                 [this, repeated](Connection& c, const ReceivedRequest& r) {
                   if (++requests == 1) {
                     first = &c;
                     return c.Write(
                         Refusal("503", IdField(r.Field("X-Attempt-Id"))));
                   }
                   reused = &c == first;
                   c.Write(repeated);
                   upstream.Answer(c, r, 200, "booked");
                 }) {
    fixture.PutConfig(1, kRoutes);
    fixture.Register(upstream, "app");
    fixture.Start();
  }

  std::string Book(const std::string& attempt_id) {
    return fixture.Ask(CallerRequest("POST", "/book/1", "", "o", attempt_id));
  }

  GatewayFixture fixture;
  int requests = 0;
  const Connection* first = nullptr;
  bool reused = false;  ///< The second request came over the same connection.
  FakeUpstream upstream;
};

TEST_CASE("A refusal that is written again is not believed") {
  for (const std::string& repeated :
       {Refusal("503", IdField("id-1")), Refusal("503", ""), Refusal("429", ""),
        Refusal("421", ""), Refusal("400", "")}) {
    CAPTURE(repeated);
    RepeatingUpstream repeating(repeated);
    REQUIRE(IsRefusal(repeating.Book("id-1")));
    const std::string answer = repeating.Book("id-2");
    CHECK(repeating.requests == 2);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("booked"));
  }
}

/// An address at which two upstreams are listed, as after a restart under a new
/// id. Its first request is refused. If the next one comes over the same
/// connection, the refusal is written once more before its answer.
struct RestartedUpstream {
  explicit RestartedUpstream(const std::string& refused_status)
      : status(refused_status),
        upstream(fixture.loop, "up-1",
                 [this](Connection& c, const ReceivedRequest& r) {
                   OnRequest(c, r);
                 }) {
    fixture.PutConfig(1, kTwoAttemptRoutes);
    fixture.Register(upstream, "app");
    fixture.RegisterAs("up-2", upstream, "app");
    fixture.Start();
  }

  void OnRequest(Connection& c, const ReceivedRequest& r) {
    const std::string refusal =
        Refusal(status, IdField(r.Field("X-Attempt-Id")));
    if (refused_on == nullptr) {
      refused_on = &c;
      return c.Write(refusal);
    }
    if (&c == refused_on) c.Write(refusal);
    ++runs;
    upstream.Answer(c, r, 200, "booked");
  }

  GatewayFixture fixture;
  std::string status;
  int runs = 0;
  const Connection* refused_on = nullptr;
  FakeUpstream upstream;
};

/// Guards against a second run after a late copy of the first attempt's answer.
TEST_CASE("A late copy of a refusal doesn't end the next attempt") {
  const std::string status = GENERATE("421", "503", "429");
  CAPTURE(status);
  RestartedUpstream restarted(status);
  const std::string answer =
      restarted.fixture.Ask(CallerRequest("POST", "/book/1", "", "o"));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(restarted.runs == 1);
}

TEST_CASE("A refusal on a new connection is believed without an id") {
  GatewayFixture fixture;
  FakeUpstream upstream(fixture.loop, "up-1",
                        [](Connection& c, const ReceivedRequest&) {
                          c.Write(Refusal("503", ""));
                          c.Close();
                        });
  fixture.PutConfig(1, kRoutes);
  fixture.Register(upstream, "app");
  fixture.Start();
  for (const char* id : {"id-1", "id-2"}) {
    CHECK(
        IsRefusal(fixture.Ask(CallerRequest("POST", "/book/1", "", "o", id))));
  }
}

}  // namespace
}  // namespace yuccapick
