#include "yuccapick/request_metrics.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

RequestFinished Complete(const std::string& team) {
  RequestFinished request;
  request.team = TeamId(team);
  request.complete = true;
  request.attempts = 1;
  request.first_token = milliseconds(400);
  request.total = milliseconds(655);
  request.usage = {1000, 750, 11};
  return request;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("A request at a bucket's upper bound counts in that bucket") {
  RequestMetrics metrics(4);
  metrics.Record(Complete("a"));
  const std::string text = metrics.Render();
  CHECK(Contains(text,
                 "yuccapick_first_token_seconds_bucket{team=\"a\","
                 "class=\"normal\",le=\"0.2\"} 0\n"));
  CHECK(Contains(text,
                 "yuccapick_first_token_seconds_bucket{team=\"a\","
                 "class=\"normal\",le=\"0.4\"} 1\n"));
  CHECK(Contains(text,
                 "yuccapick_between_tokens_seconds_bucket{team=\"a\","
                 "class=\"normal\",le=\"0.026\"} 1\n"));
  CHECK(Contains(text,
                 "yuccapick_recomputed_tokens_sum{team=\"a\","
                 "class=\"normal\"} 250\n"));
}

TEST_CASE("Teams beyond the label limit are counted together") {
  RequestMetrics metrics(2);
  for (int i = 0; i < 14'000; ++i) {
    metrics.Record(Complete("team-" + std::to_string(i)));
  }
  CHECK(metrics.TeamCount() == 2);
  CHECK(Contains(metrics.Render(),
                 "yuccapick_requests_total{team=\"other\",class=\"normal\","
                 "outcome=\"complete\"} 13998\n"));
}

TEST_CASE("A failed request counts under its error and in no latency") {
  RequestMetrics metrics(2);
  RequestFinished request = Complete("a");
  request.complete = false;
  request.urgent = true;
  request.error = ErrorKind::kDraining;
  metrics.Record(request);
  const std::string text = metrics.Render();
  CHECK(Contains(text,
                 "yuccapick_requests_total{team=\"a\",class=\"urgent\","
                 "outcome=\"draining\"} 1\n"));
  CHECK(Contains(text,
                 "yuccapick_first_token_seconds_count{team=\"a\","
                 "class=\"urgent\"} 0\n"));
}

}  // namespace
}  // namespace yuccapick
