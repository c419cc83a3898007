#include "util/detail/limits_run.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "util/detail/outcome_timeline.h"
#include "yuccapick/agent_core.h"
#include "yuccapick/prefix.h"
#include "yuccapick/router_core.h"

namespace yuccapick::outcome {
namespace {

constexpr std::uint32_t kMaxSlots = 16;
constexpr double kLargeShareRate = 18.6;  // Requests per second.
constexpr double kSmallRate = 1.15;       // Per second; a quarter of its share.
constexpr double kLargeWeight = 4.0;
constexpr milliseconds kDeadline{20'000};

microseconds P95(std::vector<microseconds> samples) {
  if (samples.empty()) return microseconds(0);
  std::sort(samples.begin(), samples.end());
  return samples[samples.size() * 95 / 100];
}

microseconds ExponentialInterval(Timeline& timeline, double per_second) {
  const double unit =
      static_cast<double>(timeline.RandomBelow(1'000'000) + 1) / 1e6;
  return microseconds(
      static_cast<std::int64_t>(-std::log(unit) * 1e6 / per_second));
}

/// Simulates two teams, one agent and an engine whose latency grows with its
/// batch size.
class ShareRun {
 public:
  explicit ShareRun(const ShareOptions& options)
      : options_(options), timeline_(options.seed), agent_(MakeAgent()) {
    auto config = std::make_shared<ConfigSnapshot>();
    config->version = ConfigVersion(1);
    config->teams = {{TeamId("large"), {}, kLargeWeight},
                     {TeamId("small"), {}, 1.0}};
    Handle(ConfigChanged{config});
  }

  ShareResult Run() {
    ScheduleArrivals(TeamId("large"), kLargeShareRate * options_.large_load);
    ScheduleArrivals(TeamId("small"), kSmallRate);
    const TimePoint end = timeline_.now() + options_.duration;
    while (timeline_.RunNext(end)) {
    }
    result_.small_first_token_p95 = P95(small_);
    return result_;
  }

 private:
  static AgentCoreOptions MakeAgent() {
    AgentCoreOptions options;
    options.upstream.id = UpstreamId("engine");
    options.upstream.agent_incarnation = Incarnation(1);
    options.upstream.loaded = {{ModelId("m"), AdapterId(), WeightVersion("v")}};
    options.max_slots = kMaxSlots;
    return options;
  }

  void ScheduleArrivals(const TeamId& team, double rate) {
    timeline_.After(ExponentialInterval(timeline_, rate), [this, team, rate] {
      AttemptRequest request;
      request.attempt = AttemptId("a" + std::to_string(next_++));
      request.team = team;
      request.kind = RequestKind::kCompletion;
      request.agent_incarnation = Incarnation(1);
      request.config = ConfigVersion(1);
      request.model = ModelId("m");
      request.weights = WeightVersion("v");
      request.cache_salt =
          CacheSalt({team, request.model, request.adapter, request.weights});
      request.deadline = kDeadline;
      arrived_[request.attempt] = timeline_.now();
      Handle(AttemptArrived{request});
      ScheduleArrivals(team, rate);
    });
  }

  void Handle(const AgentEvent& event) {
    for (const AgentAction& action : agent_.Handle(event, timeline_.now())) {
      if (const auto* forward = std::get_if<ForwardAttempt>(&action)) {
        Execute(forward->request);
      } else if (const auto* failed = std::get_if<ReplyFailed>(&action)) {
        OnRefused(failed->failure.attempt);
      }
    }
  }

  void Execute(const AttemptRequest& request) {
    ++running_;
    teams_[request.attempt] = request.team;
    const microseconds first = milliseconds(30) + running_ * milliseconds(2);
    const microseconds rest = milliseconds(400) + running_ * milliseconds(10);
    const AttemptId id = request.attempt;
    timeline_.After(first, [this, id, team = request.team] {
      Handle(UpstreamHead{{id, 200, {}}});
      const microseconds elapsed = std::chrono::duration_cast<microseconds>(
          timeline_.now() - arrived_[id]);
      if (team == TeamId("small")) small_.push_back(elapsed);
    });
    timeline_.After(first + rest, [this, id, team = request.team] {
      --running_;
      ++(team == TeamId("small") ? result_.small_answered
                                 : result_.large_answered);
      arrived_.erase(id);
      Handle(UpstreamEnd{{id, 0, {}}});
    });
  }

  void OnRefused(const AttemptId& id) {
    // A rejected attempt has no entry in `teams_` and counts for the large
    // team: the small team never fills its queue.
    const bool small = teams_.contains(id) && teams_[id] == TeamId("small");
    ++(small ? result_.small_refused : result_.large_refused);
    arrived_.erase(id);
  }

  ShareOptions options_;
  Timeline timeline_;
  AgentCore agent_;
  std::uint64_t next_ = 0;
  int running_ = 0;
  std::map<AttemptId, TimePoint> arrived_;
  std::map<AttemptId, TeamId> teams_;
  std::vector<microseconds> small_;
  ShareResult result_;
};

ConfigPtr PlainConfig(bool idempotent) {
  auto config = std::make_shared<ConfigSnapshot>();
  config->version = ConfigVersion(1);
  config->teams = {{TeamId("moor"), {}, 1.0}};
  ServiceConfig service;
  service.id = ServiceId("diary");
  service.kind = ServiceKind::kPlain;
  service.idempotent = idempotent;
  config->services = {service};
  return config;
}

UpstreamInfo PlainUpstream(int n) {
  UpstreamInfo info;
  info.id = UpstreamId("plain-" + std::to_string(n));
  info.kind = UpstreamKind::kPlainService;
  info.agent_incarnation = Incarnation(1);
  info.services = {ServiceId("diary")};
  return info;
}

CallerRequest PlainRequest(std::uint64_t n) {
  CallerRequest request;
  request.id = RequestId(n);
  request.team = TeamId("moor");
  request.service = ServiceId("diary");
  request.method = "POST";
  request.target = "/entry";
  return request;
}

constexpr int kPlainUpstreams = 6;

void AddConfigAndUpstreams(RouterCore& router, bool idempotent, TimePoint now) {
  router.Handle(ConfigChanged{PlainConfig(idempotent)}, now);
  for (int n = 0; n < kPlainUpstreams; ++n) {
    router.Handle(UpstreamChanged{PlainUpstream(n)}, now);
  }
}

}  // namespace

ShareResult RunShares(const ShareOptions& options) {
  return ShareRun(options).Run();
}

AmplificationResult RunAmplification(std::uint64_t seed,
                                     std::uint64_t requests) {
  Timeline timeline(seed);
  RouterCore router({InstanceId("r"), Incarnation(1), {}, {}, seed, {}});
  AddConfigAndUpstreams(router, true, timeline.now());
  AmplificationResult result;
  std::optional<TimePoint> next_wake;
  const std::function<void(const RouterEvent&)> handle =
      [&](const RouterEvent& event) {
        for (const auto& action : router.Handle(event, timeline.now())) {
          if (const auto* send = std::get_if<SendAttempt>(&action)) {
            ++result.attempts;
            AttemptFailed failure;
            failure.attempt = send->request.attempt;
            failure.error = {ErrorKind::kUpstreamFailed, Execution::kUnknown,
                             "overloaded", std::nullopt};
            failure.agent_incarnation = Incarnation(1);
            timeline.After(milliseconds(5), [&, failure, id = send->upstream] {
              handle(AttemptFailedArrived{id, failure});
            });
          } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
            if (!next_wake || wake->when < *next_wake) {
              next_wake = wake->when;
              timeline.At(wake->when, [&] {
                next_wake.reset();
                handle(Tick{});
              });
            }
          }
        }
      };
  for (std::uint64_t n = 0; n < requests; ++n) {
    timeline.After(milliseconds(n), [&, n] {
      ++result.requests;
      handle(RequestArrived{PlainRequest(n + 1)});
    });
  }
  const TimePoint end = timeline.now() + milliseconds(requests + 10'000);
  while (timeline.RunNext(end)) {
  }
  return result;
}

ClaimCostResult RunClaims(std::uint64_t seed, double operations_per_second) {
  Timeline timeline(seed);
  RouterCore router({InstanceId("r"), Incarnation(1), {}, {}, seed, {}});
  AddConfigAndUpstreams(router, false, timeline.now());
  ClaimCostResult result;
  std::map<std::string, TimePoint> started;
  std::vector<microseconds> added_latencies;
  const auto hop = [&] {
    return timeline.RandomBetween(microseconds(1'000), microseconds(4'000));
  };
  std::optional<TimePoint> next_wake;
  const std::function<void(const RouterEvent&)> handle =
      [&](const RouterEvent& event) {
        for (const auto& action : router.Handle(event, timeline.now())) {
          if (const auto* send = std::get_if<SendAttempt>(&action)) {
            added_latencies.push_back(std::chrono::duration_cast<microseconds>(
                timeline.now() - started[send->request.key.value]));
            const AttemptId id = send->request.attempt;
            const UpstreamId from = send->upstream;
            timeline.After(milliseconds(20), [&, id, from] {
              handle(AnswerHeadArrived{from, {id, 200, {}}});
              handle(AnswerEndArrived{from, {id, 0, {}}});
            });
          } else if (const auto* commit = std::get_if<CommitTable>(&action)) {
            ++result.table_writes;
            timeline.After(hop() + hop(), [&, command = commit->command] {
              handle(TableCommitted{command, {WriteResult::kApplied, {}}});
            });
          } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
            if (!next_wake || wake->when < *next_wake) {
              next_wake = wake->when;
              timeline.At(wake->when, [&] {
                next_wake.reset();
                handle(Tick{});
              });
            }
          }
        }
      };
  const std::function<void()> arrive = [&] {
    CallerRequest request = PlainRequest(++result.operations);
    request.key = IdempotencyKey("k" + std::to_string(result.operations));
    started[request.key.value] = timeline.now();
    handle(RequestArrived{request});
    timeline.After(ExponentialInterval(timeline, operations_per_second),
                   arrive);
  };
  timeline.After(milliseconds(1), arrive);
  const TimePoint end = timeline.now() + std::chrono::seconds(30);
  while (timeline.RunNext(end)) {
  }
  result.added_p95 = P95(added_latencies);
  return result;
}

}  // namespace yuccapick::outcome
