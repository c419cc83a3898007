#include "yuccapick/request_explanation.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

std::vector<LogLine> Parse(const std::vector<std::string>& texts) {
  std::vector<LogLine> lines;
  for (const std::string& text : texts) {
    if (auto line = ParseLogLine(text)) lines.push_back(*std::move(line));
  }
  return lines;
}

TEST_CASE("A log line with a prefix and quoted values is parsed") {
  const auto line = ParseLogLine(
      "  1.2 front-1 time=1200 event=request_done id=9 reason=\"no answer\" "
      "status=502");
  REQUIRE(line.has_value());
  CHECK(line->time_ms == 1'200);
  CHECK(line->Field("reason") == "no answer");
  CHECK(line->Field("status") == "502");
  CHECK(line->Field("none").empty());
  CHECK_FALSE(ParseLogLine("hello").has_value());
  CHECK_FALSE(ParseLogLine("time=soon event=x").has_value());
}

TEST_CASE(
    "A failed request's explanation names its upstream and the upstream's "
    "removal") {
  const std::string done =
      "time=2000 event=request_done id=9 outcome=upstream_failed status=502 "
      "total_ms=900 reason=\"End of file\"";
  const std::string sent =
      "time=1100 event=request_sent id=9 attempt=1 upstream=i-1";
  const std::string ended =
      "time=1990 event=attempt_ended id=9 attempt=1 upstream=i-1 end=broken "
      "reason=\"End of file\" step=fail";
  const std::string other =
      "time=1500 event=request_sent id=8 attempt=1 upstream=i-1";
  const std::string removed =
      "time=1995 event=upstream_changed upstream=i-1 change=removed";
  const std::string elsewhere =
      "time=1996 event=upstream_changed upstream=i-2 change=removed";
  const RequestExplanation explanation = ExplainRequest(
      Parse({done, sent, ended, other, removed, elsewhere}), "9");
  REQUIRE(explanation.lines.size() == 4);
  CHECK(explanation.lines.front().Field("event") == "request_sent");
  CHECK(explanation.summary ==
        "Ended as upstream_failed with status 502 after 900 ms: attempt 1 at "
        "i-1 ended as broken (End of file); i-1 was removed.");
}

TEST_CASE(
    "Rejected, unfinished and unknown requests get different explanations") {
  const auto lines =
      Parse({"time=1 event=request_not_admitted id=1 status=401 config=7",
             "time=2 event=request_sent id=2 attempt=1 upstream=i-1"});
  CHECK(ExplainRequest(lines, "1").summary ==
        "Not admitted with status 401 under configuration 7.");
  CHECK(ExplainRequest(lines, "2").summary ==
        "The logs contain no end of this request: the process may have been "
        "killed.");
  CHECK(ExplainRequest(lines, "3").summary ==
        "No log line mentions this request.");
}

TEST_CASE("A cancelled request is put down to the upstream's silence") {
  const auto lines =
      Parse({"time=3 event=request_done id=4 outcome=cancelled status=0 "
             "upstream=i-1 total_ms=3200 silent_ms=3150 "
             "reason=\"caller closed its connection\""});
  CHECK(ExplainRequest(lines, "4").summary ==
        "Ended as cancelled with status 0 after 3200 ms: caller closed its "
        "connection; i-1 had sent nothing for 3150 ms.");
}

TEST_CASE("A refused request's explanation names the suspect that is blocked") {
  const auto lines =
      Parse({"time=3 event=suspect_refused id=4 suspect=part:00ff "
             "retry_after_ms=9000",
             "time=3 event=attempt_ended id=4 attempt=0 upstream=- "
             "end=not_sent reason=\"upstreams crash\" step=refuse",
             "time=3 event=request_done id=4 outcome=refused status=503 "
             "total_ms=1 reason=\"upstreams crash\""});
  CHECK(ExplainRequest(lines, "4").summary ==
        "Ended as refused with status 503 after 1 ms: upstreams crash on "
        "part:00ff, which is blocked for 9000 ms.");
}

TEST_CASE("A refused request's explanation names limits and pauses") {
  const auto lines =
      Parse({"time=3 event=held_back id=4 service=app limited=3 paused=1",
             "time=3 event=attempt_ended id=4 attempt=0 upstream=- "
             "end=not_sent reason=\"no more\" step=refuse",
             "time=3 event=request_done id=4 outcome=refused status=503 "
             "total_ms=1 reason=\"no more\""});
  CHECK(ExplainRequest(lines, "4").summary ==
        "Ended as refused with status 503 after 1 ms: the upstreams of app "
        "took no more requests: of all upstreams 3 named limits and 1 had "
        "asked for a pause.");
}

TEST_CASE(
    "A request rejected under overload is explained by the lack of room") {
  const std::string lacking =
      "time=1 event=no_room id=5 route=r-1 team=moor rank=2 kv_tokens=57000 "
      "expected_ms=900 waited_ms=250 waiting=31 lacking_ms=1200 "
      "retry_after_ms=1400";
  const std::string done =
      "time=1 event=request_done id=5 outcome=refused status=503 total_ms=250 "
      "reason=\"engines have no room\"";
  CHECK(ExplainRequest(Parse({lacking, done}), "5").summary ==
        "Ended as refused with status 503 after 250 ms: no upstream had room "
        "for 57000 tokens of KV memory on r-1 at rank 2 of urgency: it waited "
        "250 ms with 31 others, room was lacking for 1200 ms, and was expected "
        "after 900 ms.");
}

TEST_CASE("A request beyond its team's quota is explained by who refused it") {
  const std::string limited =
      "time=1 event=team_limited team=moor per_second=29000 burst=58000 "
      "source=coordinator coordinator=self agreeing=3 gateways=3";
  const std::string other =
      "time=1 event=team_limited team=heath per_second=5 burst=5 "
      "source=coordinator coordinator=self agreeing=3 gateways=3";
  const std::string over =
      "time=2 event=over_quota id=5 team=moor route=r-1 source={} "
      "retry_after_ms=700 config=12";
  const std::string done =
      "time=2 event=request_done id=5 outcome=refused status=429 total_ms=0 "
      "reason=\"team is over its quota\"";
  const auto explain = [&](const std::string& source) {
    std::string line = over;
    line.replace(line.find("{}"), 2, source);
    return ExplainRequest(Parse({limited, other, line, done}), "5");
  };
  const RequestExplanation by_coordinator = explain("coordinator");
  CHECK(by_coordinator.summary ==
        "Ended as refused with status 429 after 0 ms: team moor was over its "
        "quota of configuration 12, said the coordinator of the quota; there "
        "may be room after 700 ms; its team was limited to 29000 a second and "
        "58000 at once, with 3 of 3 gateways in agreement.");
  // The state of the other team is no context.
  CHECK(by_coordinator.lines.size() == 3);
  CHECK(explain("alone").summary.find(
            "said its gateway alone, since the coordinator did not answer;") !=
        std::string::npos);
}

TEST_CASE("Events of other processes do not explain a request") {
  const std::string done =
      "gw-1 time=9 event=request_done id=5 outcome=cancelled status=0 "
      "upstream=i-1 total_ms=5 silent_ms=5 reason=\"caller left\"";
  const std::string other = "gw-2 time=8 event=drain_started";
  const std::string own = "gw-1 time=8 event=drain_started";
  CHECK(ExplainRequest(Parse({done, other}), "5").summary.ends_with("5 ms."));
  CHECK(ExplainRequest(Parse({done, own}), "5")
            .summary.ends_with("; its gateway was stopping."));
}

TEST_CASE("A completed request is explained as complete") {
  const auto lines =
      Parse({"time=3 event=request_done id=4 outcome=complete status=200 "
             "total_ms=41 reason=\"\""});
  CHECK(ExplainRequest(lines, "4").summary ==
        "Ended as complete with status 200 after 41 ms.");
}

TEST_CASE("A pause of the request's process is named in the summary") {
  const std::string done =
      "gw-1 time=9000 event=request_done id=5 outcome=complete status=200 "
      "total_ms=41 reason=\"\"";
  const auto explain = [&done](const std::string& pause) {
    return ExplainRequest(Parse({done, pause}), "5");
  };
  const std::string complete = "Ended as complete with status 200 after 41 ms";
  const std::string paused =
      complete + "; its gateway did not run for 4700 ms.";
  const std::string event = " event=process_paused duration_ms=4700 ";
  CHECK(explain("gw-1 time=6000" + event).summary == paused);
  CHECK(explain("gw-1 time=13700" + event).summary == paused);
  CHECK(explain("gw-1 time=13700" + event).lines.size() == 2);
  CHECK(explain("gw-1 time=5999" + event).summary == complete + ".");
  CHECK(explain("gw-1 time=13701" + event).summary == complete + ".");
  CHECK(explain("gw-2 time=8000" + event).lines.size() == 1);
}

TEST_CASE("A pause is named besides the cause and the upstream's removal") {
  const std::string ended =
      "time=1990 event=attempt_ended id=9 attempt=1 upstream=i-1 end=broken "
      "reason=\"End of file\"";
  const std::string done =
      "time=2000 event=request_done id=9 outcome=upstream_failed status=502 "
      "total_ms=900 reason=\"End of file\"";
  const auto lines = Parse(
      {ended, "time=1991 event=upstream_changed upstream=i-1 change=removed",
       "time=1000 event=process_paused duration_ms=300 suspended_ms=0",
       "time=1992 event=process_paused duration_ms=200 suspended_ms=0", done});
  CHECK(ExplainRequest(lines, "9").summary ==
        "Ended as upstream_failed with status 502 after 900 ms: attempt 1 at "
        "i-1 ended as broken (End of file); i-1 was removed; its gateway did "
        "not run for 500 ms.");
}

TEST_CASE("The age of replaced weights at the last attempt is named") {
  const std::string old =
      "time=1 event=request_sent id=4 attempt=1 upstream=i-1 replaced_ms=8600";
  const std::string current =
      "time=2 event=request_sent id=4 attempt=2 upstream=i-2 replaced_ms=0";
  const std::string done =
      "time=3 event=request_done id=4 outcome=complete status=200 total_ms=41 "
      "reason=\"\"";
  CHECK(ExplainRequest(Parse({old, done}), "4").summary ==
        "Ended as complete with status 200 after 41 ms; sent on weights "
        "replaced 8600 ms before.");
  CHECK(ExplainRequest(Parse({old, current, done}), "4").summary ==
        "Ended as complete with status 200 after 41 ms.");
}

TEST_CASE("The rule that lets old weights pass is named") {
  const std::string done =
      "time=3 event=request_done id=4 outcome=complete status=200 total_ms=41 "
      "reason=\"\"";
  const auto summary = [&done](const std::string& use) {
    const std::string sent =
        "time=1 event=request_sent id=4 attempt=1 upstream=i-1 "
        "replaced_ms=8600 overdue_use=" +
        use + " since_outage_ms=2100";
    return ExplainRequest(Parse({sent, done}), "4").summary;
  };
  const std::string start =
      "Ended as complete with status 200 after 41 ms; sent on weights replaced "
      "8600 ms before";
  CHECK(summary("-") == start + ".");
  CHECK(summary("last_choice") ==
        start + ", since no other upstream was left.");
  CHECK(summary("store_outage") ==
        start + ", 2100 ms after an outage of the store.");
  CHECK(summary("never_in_touch") ==
        start + ", before the store was in touch.");
  CHECK(summary("unknown_time") ==
        start + ", at an unknown time of the store.");
}

TEST_CASE("All attempts at one stream are shown with any of them") {
  const std::string done =
      "gw-2 time=21 event=request_done id=b outcome=complete status=200 "
      "total_ms=1 reason=\"\"";
  const auto lines = Parse(
      {"gw-3 time=30 event=request_sent id=c software=v1 resumes=a",
       "gw-1 time=10 event=request_sent id=a software=v1 resumes=-",
       "gw-2 time=20 event=request_sent id=b software=v1.2 resumes=a", done,
       "gw-2 time=22 event=request_sent id=d software=v2 resumes=-"});
  for (const char* id : {"a", "b", "c"}) {
    const RequestExplanation explanation = ExplainRequest(lines, id);
    REQUIRE(explanation.lines.size() == 4);
    CHECK(explanation.lines.front().Field("id") == "a");
    CHECK(explanation.lines.back().Field("id") == "c");
    CHECK(explanation.summary.ends_with(
        " The stream was sent to software versions v1, v1.2."));
  }
  CHECK(ExplainRequest(lines, "b").summary ==
        "Ended as complete with status 200 after 1 ms. The stream was sent to "
        "software versions v1, v1.2.");
  CHECK(ExplainRequest(lines, "d").lines.size() == 1);
}

TEST_CASE("An attempt that is only resumed in the logs is explained as such") {
  const auto lines =
      Parse({"time=1 event=request_sent id=b software=v1 resumes=a"});
  const RequestExplanation explanation = ExplainRequest(lines, "a");
  CHECK(explanation.lines.size() == 1);
  CHECK(explanation.summary ==
        "The logs contain only attempts that resume this one.");
}

TEST_CASE("Software versions are named only if there is more than one") {
  const std::string first =
      "time=1 event=request_sent id=4 attempt=1 software=v1 resumes=-";
  const std::string same =
      "time=2 event=request_sent id=4 attempt=2 software=v1 resumes=-";
  const std::string newer =
      "time=2 event=request_sent id=4 attempt=2 software=v1.1 resumes=-";
  const std::string done =
      "time=3 event=request_done id=4 outcome=complete status=200 total_ms=41 "
      "reason=\"\"";
  const std::string complete = "Ended as complete with status 200 after 41 ms.";
  CHECK(ExplainRequest(Parse({first, same, done}), "4").summary == complete);
  CHECK(ExplainRequest(Parse({first, newer, done}), "4").summary ==
        complete + " The stream was sent to software versions v1, v1.1.");
}

}  // namespace
}  // namespace yuccapick
