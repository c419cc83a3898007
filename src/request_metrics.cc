#include "yuccapick/request_metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <chrono>
#include <cmath>
#include <iterator>
#include <map>

#include "yuccapick/error.h"

namespace yuccapick {
namespace {

namespace bh = boost::histogram;

using Seconds = std::chrono::duration<double>;
using Axis =
    bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using Buckets = decltype(bh::make_histogram(Axis({0.0, 1.0})));

/// Quantities that have a histogram.
enum Measure : std::size_t {
  kFirstToken,
  kBetweenTokens,
  kQueued,
  kHitRate,
  kRecomputed,
  kMeasureCount,
};

struct MeasureInfo {
  std::string_view name;
  std::string_view help;
  std::vector<double> bounds;
};

const std::array<MeasureInfo, kMeasureCount>& Measures() {
  static const std::array<MeasureInfo, kMeasureCount> measures = {{
      {"yuccapick_first_token_seconds",
       "Time from a request's arrival to its first token.",
       {0, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8}},
      {"yuccapick_between_tokens_seconds",
       "Mean time between the tokens of an answer.",
       {0, 0.002, 0.005, 0.01, 0.015, 0.02, 0.026, 0.04, 0.08, 0.2, 0.5}},
      {"yuccapick_queued_seconds",
       "Time that a request waited for admission.",
       {0, 0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}},
      {"yuccapick_prefix_hit_ratio",
       "Share of prompt tokens found in the engine's cache.",
       {0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 1}},
      {"yuccapick_recomputed_tokens",
       "Prompt tokens that were not found in the engine's cache.",
       {0, 64, 256, 1024, 4096, 8192, 16384, 32768, 65536, 131072}},
  }};
  return measures;
}

Axis MakeAxis(std::size_t measure) {
  const std::vector<double>& bounds = Measures()[measure].bounds;
  return Axis(bounds.begin(), bounds.end());
}

/// A histogram with the sum and the count of its values.
struct Distribution {
  explicit Distribution(std::size_t measure)
      : buckets(bh::make_histogram(MakeAxis(measure))) {}

  void Add(double value) {
    // The upper bound of a Prometheus bucket is inclusive.
    buckets(std::nextafter(std::max(value, 0.0), 0.0));
    sum += value;
    ++count;
  }

  Buckets buckets;
  double sum = 0;
  std::uint64_t count = 0;
};

std::string EscapeLabel(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') escaped.push_back('\\');
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped.push_back(c);
    }
  }
  return escaped;
}

void RenderHeader(std::string_view name, std::string_view help,
                  std::string_view type, std::string& out) {
  fmt::format_to(std::back_inserter(out), "# HELP {0} {1}\n# TYPE {0} {2}\n",
                 name, help, type);
}

void RenderCounter(std::string_view name, const std::string& labels,
                   std::uint64_t value, std::string& out) {
  fmt::format_to(std::back_inserter(out), "{}{{{}}} {}\n", name, labels, value);
}

void RenderDistribution(std::string_view name, const std::string& labels,
                        const Distribution& distribution, std::string& out) {
  const auto& axis = distribution.buckets.axis();
  std::uint64_t total = 0;
  for (int i = 0; i < axis.size(); ++i) {
    total += static_cast<std::uint64_t>(distribution.buckets.at(i));
    fmt::format_to(std::back_inserter(out), "{}_bucket{{{},le=\"{}\"}} {}\n",
                   name, labels, axis.value(i + 1), total);
  }
  fmt::format_to(std::back_inserter(out),
                 "{0}_bucket{{{1},le=\"+Inf\"}} {2}\n{0}_sum{{{1}}} {3}\n"
                 "{0}_count{{{1}}} {2}\n",
                 name, labels, distribution.count, distribution.sum);
}

std::string OutcomeOf(const RequestFinished& request) {
  return request.complete ? "complete"
                          : std::string(ErrorKindName(request.error));
}

}  // namespace

/// Counters and histograms of one team and class.
struct RequestMetrics::Series {
  std::vector<Distribution> distributions;
  std::map<std::string, std::uint64_t> outcomes;
  std::uint64_t attempts = 0;
  std::uint64_t tokens = 0;

  Series() {
    for (std::size_t i = 0; i < kMeasureCount; ++i) {
      distributions.emplace_back(i);
    }
  }

  void Record(const RequestFinished& request);
};

void RequestMetrics::Series::Record(const RequestFinished& request) {
  ++outcomes[OutcomeOf(request)];
  attempts += request.attempts;
  tokens += request.usage.completion_tokens;
  distributions[kQueued].Add(Seconds(request.queued).count());
  if (!request.complete) return;
  distributions[kFirstToken].Add(Seconds(request.first_token).count());
  const Usage& usage = request.usage;
  if (usage.completion_tokens > 1) {
    const Seconds decoding = request.total - request.first_token;
    distributions[kBetweenTokens].Add(
        decoding.count() / static_cast<double>(usage.completion_tokens - 1));
  }
  if (usage.prompt_tokens > 0) {
    const auto prompt = static_cast<double>(usage.prompt_tokens);
    const auto cached = static_cast<double>(usage.cached_tokens);
    distributions[kHitRate].Add(cached / prompt);
    distributions[kRecomputed].Add(prompt - cached);
  }
}

/// Series of a team's two classes; each is created by its first request.
struct RequestMetrics::TeamSeries {
  std::unique_ptr<Series> normal;
  std::unique_ptr<Series> urgent;

  Series& Of(bool is_urgent) {
    std::unique_ptr<Series>& series = is_urgent ? urgent : normal;
    if (series == nullptr) series = std::make_unique<Series>();
    return *series;
  }
};

RequestMetrics::RequestMetrics(std::size_t max_teams)
    : max_teams_(max_teams), other_(std::make_unique<TeamSeries>()) {}

RequestMetrics::~RequestMetrics() = default;

RequestMetrics::TeamSeries& RequestMetrics::SeriesOf(const TeamId& team) {
  auto it = teams_.find(team.value);
  if (it != teams_.end()) return *it->second;
  if (teams_.size() >= max_teams_) return *other_;
  return *teams_.emplace(team.value, std::make_unique<TeamSeries>())
              .first->second;
}

void RequestMetrics::Record(const RequestFinished& request) {
  SeriesOf(request.team).Of(request.urgent).Record(request);
}

std::vector<RequestMetrics::LabelledSeries> RequestMetrics::AllSeries() const {
  std::vector<LabelledSeries> all;
  const auto collect = [&all](std::string_view team, const TeamSeries& series) {
    const std::string name = EscapeLabel(team);
    if (series.normal != nullptr) {
      all.push_back({fmt::format("team=\"{}\",class=\"normal\"", name),
                     series.normal.get()});
    }
    if (series.urgent != nullptr) {
      all.push_back({fmt::format("team=\"{}\",class=\"urgent\"", name),
                     series.urgent.get()});
    }
  };
  for (const auto& [team, series] : teams_) collect(team, *series);
  collect(kOtherTeams, *other_);
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.labels < b.labels; });
  return all;
}

std::string RequestMetrics::Render() const {
  const std::vector<LabelledSeries> all = AllSeries();
  std::string out;
  RenderHeader("yuccapick_requests_total", "Finished requests by outcome.",
               "counter", out);
  for (const LabelledSeries& entry : all) {
    for (const auto& [outcome, count] : entry.series->outcomes) {
      fmt::format_to(std::back_inserter(out),
                     "yuccapick_requests_total{{{},outcome=\"{}\"}} {}\n",
                     entry.labels, outcome, count);
    }
  }
  RenderHeader("yuccapick_attempts_total", "Attempts sent to upstreams.",
               "counter", out);
  for (const LabelledSeries& entry : all) {
    RenderCounter("yuccapick_attempts_total", entry.labels,
                  entry.series->attempts, out);
  }
  RenderHeader("yuccapick_tokens_total", "Tokens generated.", "counter", out);
  for (const LabelledSeries& entry : all) {
    RenderCounter("yuccapick_tokens_total", entry.labels, entry.series->tokens,
                  out);
  }
  for (std::size_t i = 0; i < kMeasureCount; ++i) {
    const MeasureInfo& info = Measures()[i];
    RenderHeader(info.name, info.help, "histogram", out);
    for (const LabelledSeries& entry : all) {
      RenderDistribution(info.name, entry.labels,
                         entry.series->distributions[i], out);
    }
  }
  return out;
}

}  // namespace yuccapick
