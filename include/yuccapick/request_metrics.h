#ifndef YUCCAPICK_REQUEST_METRICS_H_
#define YUCCAPICK_REQUEST_METRICS_H_

/// @file
/// Counters and histograms of requests, by team and class.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

/// Name under which teams beyond the label limit are counted together.
inline constexpr std::string_view kOtherTeams = "other";

/// Counts finished requests and renders them in the Prometheus text format.
/// Memory is bounded by the number of teams with labels of their own.
class RequestMetrics {
 public:
  /// @param max_teams number of teams with labels of their own
  explicit RequestMetrics(std::size_t max_teams);
  ~RequestMetrics();
  RequestMetrics(const RequestMetrics&) = delete;
  RequestMetrics& operator=(const RequestMetrics&) = delete;

  // Commands.

  void Record(const RequestFinished& request);

  // Queries.

  /// Returns all series in the Prometheus text format.
  std::string Render() const;
  /// Number of teams with labels of their own.
  std::size_t TeamCount() const { return teams_.size(); }

 private:
  struct Series;
  struct TeamSeries;

  struct LabelledSeries {
    std::string labels;
    const Series* series;
  };

  std::vector<LabelledSeries> AllSeries() const;
  TeamSeries& SeriesOf(const TeamId& team);

  std::size_t max_teams_;
  absl::flat_hash_map<std::string, std::unique_ptr<TeamSeries>> teams_;
  std::unique_ptr<TeamSeries> other_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_REQUEST_METRICS_H_
