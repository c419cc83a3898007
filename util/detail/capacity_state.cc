#include <memory>

#include "util/detail/capacity_meter.h"
#include "util/detail/capacity_samples.h"
#include "yuccapick/authenticator.h"
#include "yuccapick/placement.h"
#include "yuccapick/request_metrics.h"

namespace yuccapick {
namespace {

constexpr std::size_t kLabelledTeams = 256;

TimePoint Start() { return TimePoint(std::chrono::hours(1)); }

double UpstreamMemory(std::size_t upstreams) {
  const std::size_t before = HeapBytes();
  Placement placement(PlacementOptions{});
  for (std::size_t i = 0; i < upstreams; ++i) {
    placement.ApplyUpstream(SampleEngine(i), Start());
    placement.ApplyReport(SampleReport(i, 1, 0), Start());
  }
  return static_cast<double>(HeapBytes() - before);
}

double CacheIndexEntryMemory(std::size_t entries) {
  constexpr std::size_t kEngines = 40;
  Placement placement(PlacementOptions{});
  for (std::size_t i = 0; i < kEngines; ++i) {
    placement.ApplyUpstream(SampleEngine(i), Start());
  }
  const std::size_t before = HeapBytes();
  for (std::size_t i = 0; i < kEngines; ++i) {
    placement.ApplyReport(SampleReport(i, 1, entries / kEngines), Start());
  }
  return static_cast<double>(HeapBytes() - before);
}

double TeamMemory(std::size_t teams) {
  const std::size_t before = HeapBytes();
  const ConfigPtr config = SampleConfig(teams);
  const Authenticator authenticator(*config);
  return static_cast<double>(HeapBytes() - before);
}

double MetricsMemory(std::size_t teams) {
  const std::size_t before = HeapBytes();
  RequestMetrics metrics(kLabelledTeams);
  for (std::size_t i = 0; i < teams; ++i) {
    RequestFinished request;
    request.team = TeamId("team-" + std::to_string(i));
    request.complete = true;
    request.usage = {1'000, 900, 10};
    metrics.Record(request);
  }
  return static_cast<double>(HeapBytes() - before);
}

}  // namespace

std::vector<SlopeRow> MeasureRouterState() {
  return {
      MeasureSlope("upstream_memory", "router", "bytes/upstream",
                   {125, 250, 500, 1'000, 2'000}, UpstreamMemory),
      MeasureSlope("picture_entry_memory", "router", "bytes/entry",
                   {2'560, 5'120, 10'240, 20'480}, CacheIndexEntryMemory),
      MeasureSlope("team_memory", "router", "bytes/team",
                   {1'750, 3'500, 7'000, 14'000}, TeamMemory),
      MeasureSlope("labelled_team_memory", "router", "bytes/team",
                   {32, 64, 128, 256}, MetricsMemory),
  };
}

}  // namespace yuccapick
