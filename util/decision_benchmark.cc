/// @file
/// Measures the latency of a placement decision and the memory of a placement
/// per upstream, and prints a CSV.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "yuccapick/placement.h"

namespace yuccapick {
namespace {

constexpr std::size_t kDecisions = 50'000;
constexpr std::size_t kDocuments = 2'000;
constexpr std::size_t kEntriesPerEngine = 256;
constexpr std::uint64_t kPieceBytes = 16'000;

std::size_t HeapBytes() { return mallinfo2().uordblks; }

UpstreamInfo Engine(std::size_t n) {
  UpstreamInfo info;
  info.id = UpstreamId("engine-" + std::to_string(n));
  info.domain = FailureDomain("domain-" + std::to_string(n % 9));
  info.agent_incarnation = Incarnation(1);
  info.engine_incarnation = Incarnation(1);
  info.loaded = {{ModelId("moor-8b"), AdapterId(), WeightVersion("w1")}};
  return info;
}

std::vector<PlacementRequest> Requests() {
  std::vector<PlacementRequest> requests;
  for (std::size_t n = 0; n < kDocuments; ++n) {
    PlacementRequest request;
    request.scope = {TeamId("team-" + std::to_string(n % 50)),
                     ModelId("moor-8b"), AdapterId(), WeightVersion("w1")};
    const std::vector<std::string> levels = {
        std::string(kPieceBytes, 't'),
        std::string(kPieceBytes, 's') + std::to_string(n % 200),
        std::string(4 * kPieceBytes, 'd') + std::to_string(n), "question"};
    request.pieces = SplitPrefix(request.scope, levels, kPieceBytes);
    request.prompt_bytes = request.pieces.back().end_byte;
    requests.push_back(std::move(request));
  }
  return requests;
}

/// Adds engines whose reports fill the cache index.
void AddEngines(Placement& placement,
                const std::vector<PlacementRequest>& requests,
                std::size_t upstreams, std::mt19937_64& random, TimePoint now) {
  for (std::size_t n = 0; n < upstreams; ++n) {
    placement.ApplyUpstream(Engine(n), now);
    AgentReport report;
    report.upstream = Engine(n);
    report.load.prefill_tokens_per_second = 12'000;
    report.load.queued_prefill_tokens = random() % 40'000;
    while (report.digest.size() < kEntriesPerEngine) {
      const PlacementRequest& request = requests[random() % requests.size()];
      for (const PrefixPiece& piece : request.pieces) {
        report.digest.push_back({piece.chain_hash, 4'000, {}});
      }
    }
    placement.ApplyReport(report, now);
  }
}

void Measure(std::size_t upstreams) {
  std::mt19937_64 random(1);
  const std::vector<PlacementRequest> requests = Requests();
  TimePoint now{std::chrono::hours(1)};
  const std::size_t before = HeapBytes();
  PlacementOptions options;
  options.domain = FailureDomain("domain-0");
  Placement placement(options);
  AddEngines(placement, requests, upstreams, random, now);
  const std::size_t bytes = HeapBytes() - before;
  std::vector<std::int64_t> latencies_ns;
  latencies_ns.reserve(kDecisions);
  for (std::size_t n = 0; n < kDecisions; ++n) {
    const PlacementRequest& request = requests[random() % requests.size()];
    now += std::chrono::microseconds(60);
    const auto begin = std::chrono::steady_clock::now();
    const auto decision = placement.Choose(request, now);
    const auto end = std::chrono::steady_clock::now();
    const std::chrono::nanoseconds elapsed = end - begin;
    latencies_ns.push_back(elapsed.count());
    const AttemptId attempt(std::to_string(n));
    placement.OnDispatched(attempt, request, *decision, now);
    placement.OnFinished(attempt, std::nullopt, now);
  }
  std::sort(latencies_ns.begin(), latencies_ns.end());
  fmt::print("{},{},{},{}\n", upstreams, latencies_ns[latencies_ns.size() / 2],
             latencies_ns[latencies_ns.size() * 99 / 100], bytes / upstreams);
}

}  // namespace
}  // namespace yuccapick

int main() {
  fmt::print("upstreams,p50_ns,p99_ns,bytes_per_upstream\n");
  for (const std::size_t upstreams : {18, 200, 2'000}) {
    yuccapick::Measure(upstreams);
  }
  return 0;
}
