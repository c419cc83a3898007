/// @file
/// Measures the time of a quota decision, the size of its messages and the
/// memory of a team, and prints figure,value,unit lines.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/peer_codec.h"
#include "yuccapick/quota/quota_client.h"
#include "yuccapick/quota/quota_coordinator.h"

namespace yuccapick {
namespace {

constexpr std::size_t kTeams = 14'000;
constexpr double kGateways = 660;
constexpr double kRequestsPerSecond = 17'000;
constexpr std::size_t kRequests = 200'000;
constexpr std::uint64_t kCost = 9'000;
constexpr double kDatagramHeaderBytes = 28;  ///< IPv4 and UDP.
constexpr char kCoordinator[] = "10.100.200.101:18000";
constexpr std::chrono::milliseconds kReportInterval{100};
constexpr QuotaScale kScale{1.0, kGateways};
const TeamQuota kQuota{29'000, 29'000, TeamQuota::Unit::kTokens, 200};
const QuotaTolerance kTolerance{0.1, 110'000, std::chrono::milliseconds(8'000)};

using Clock = std::chrono::steady_clock;

std::size_t HeapBytes() { return mallinfo2().uordblks; }

/// Durations, for percentiles.
class Times {
 public:
  Times() { ns_.reserve(2 * (kRequests + kTeams)); }
  void Add(std::chrono::nanoseconds time) { ns_.push_back(time.count()); }
  void Print(std::string_view name) {
    std::sort(ns_.begin(), ns_.end());
    fmt::print("{}_p50,{},ns\n", name, ns_[ns_.size() / 2]);
    fmt::print("{}_p99,{},ns\n", name, ns_[ns_.size() * 99 / 100]);
  }

 private:
  std::vector<std::int64_t> ns_;
};

QuotaQuery QueryOf(const QuotaQueryEntry& entry) {
  QuotaQuery query;
  query.from = InstanceId("gateway-10-100-200-101");
  query.incarnation = Incarnation(1'771'623'327'000);
  query.reply_to = kCoordinator;
  query.entries = {entry};
  return query;
}

/// One gateway and the coordinator of all teams.
class QuotaBenchmark {
 public:
  QuotaBenchmark() : client_(kTolerance), coordinator_(kTolerance, now_) {
    client_.SetGatewayCount(kGateways);
    for (std::size_t n = 0; n < kTeams; ++n) {
      teams_.emplace_back(fmt::format("team-{:06}", n));
    }
    // Longer steps don't accrue.
    for (int i = 0; i < 20; ++i) Tick();
  }

  /// Decides a request of every team, so that all have state.
  void Fill() {
    const std::size_t before = HeapBytes();
    for (const TeamId& team : teams_) Decide(team);
    const std::size_t bytes = HeapBytes() - before;
    fmt::print("state,{},B/team\n", bytes / kTeams);
    fmt::print("state_of_all_teams,{:.1f},MB\n",
               static_cast<double>(bytes) / 1e6);
  }

  /// Decides requests of random teams at the rate of one gateway.
  void Run() {
    std::mt19937_64 random(1);
    const std::chrono::duration<double> pause(kGateways / kRequestsPerSecond);
    decisions_ = {};
    queries_ = {};
    for (std::size_t n = 0; n < kRequests; ++n) {
      now_ += std::chrono::duration_cast<TimePoint::duration>(pause);
      if (now_ - ticked_at_ >= kReportInterval) Report();
      Decide(teams_[random() % kTeams]);
    }
    decisions_.Print("decision");
    queries_.Print("on_query");
    PrintTraffic();
  }

 private:
  static std::string ToCoordinator(const TeamId& /*team*/) {
    return kCoordinator;
  }

  void Tick() {
    now_ += kReportInterval;
    Report();
  }

  void Report() {
    ticked_at_ = now_;
    coordinator_.OnTick(kScale, now_);
    client_.OnTick(now_);
    for (const auto& it : client_.TakeReports(&ToCoordinator, now_)) {
      client_.OnAnswer(Ask(it.entry), now_);
    }
  }

  QuotaAnswerEntry Ask(const QuotaQueryEntry& entry) {
    const auto begin = Clock::now();
    QuotaAnswerEntry answer =
        coordinator_.OnQuery(InstanceId("gateway-10-100-200-101"),
                             Incarnation(1), entry, kQuota, kScale, now_);
    queries_.Add(Clock::now() - begin);
    ++asked_;
    query_bytes_ = EncodeQuotaQuery(QueryOf(entry)).size();
    answer_bytes_ = EncodeQuotaAnswer({{answer}}).size();
    return answer;
  }

  /// Times what the client does for a request, without the messages.
  void Decide(const TeamId& team) {
    auto begin = Clock::now();
    const auto decision =
        client_.OnRequest(++requests_, team, kQuota, kCost, now_);
    std::vector<AddressedQuotaQuery> queries;
    if (!decision) queries = client_.TakeUrgentQueries(&ToCoordinator, now_);
    std::chrono::nanoseconds time = Clock::now() - begin;
    for (const AddressedQuotaQuery& it : queries) {
      const QuotaAnswerEntry answer = Ask(it.entry);
      begin = Clock::now();
      client_.OnAnswer(answer, now_);
      time += Clock::now() - begin;
    }
    decisions_.Add(time);
  }

  /// A gateway sends and receives queries and answers for its own requests, and
  /// on average as many as a coordinator.
  void PrintTraffic() const {
    const auto bytes = static_cast<double>(query_bytes_ + answer_bytes_) +
                       2 * kDatagramHeaderBytes;
    const double queries_per_request =
        static_cast<double>(asked_) / static_cast<double>(requests_);
    const double requests_per_second = kRequestsPerSecond / kGateways;
    fmt::print("query,{},B\n", query_bytes_);
    fmt::print("answer,{},B\n", answer_bytes_);
    fmt::print("queries_per_request,{:.2f},1\n", queries_per_request);
    fmt::print("traffic_per_gateway,{:.0f},B/s\n",
               2 * requests_per_second * queries_per_request * bytes);
  }

  TimePoint now_{std::chrono::hours(1)};
  TimePoint ticked_at_;
  QuotaClient client_;
  QuotaCoordinator coordinator_;
  std::vector<TeamId> teams_;
  Times decisions_;
  Times queries_;
  std::uint64_t requests_ = 0;
  std::uint64_t asked_ = 0;
  std::size_t query_bytes_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace
}  // namespace yuccapick

int main() {
  yuccapick::QuotaBenchmark benchmark;
  benchmark.Fill();
  benchmark.Run();
  return 0;
}
