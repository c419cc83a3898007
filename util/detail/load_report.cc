#include "util/detail/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace yuccapick::load {
namespace {

constexpr unsigned kBins = 1400;
constexpr double kMinLatencyMs = 0.02;
constexpr double kMaxLatencyMs = 60'000;
constexpr std::size_t kMaxProblemsShown = 8;

double Rate(std::uint64_t n, std::chrono::nanoseconds time) {
  const std::chrono::duration<double> seconds = time;
  return seconds.count() > 0 ? static_cast<double>(n) / seconds.count() : 0;
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts_(std::tuple<Axis>(Axis(kBins, kMinLatencyMs, kMaxLatencyMs)),
              Storage()) {}

void LatencyHistogram::Add(std::chrono::nanoseconds latency) {
  const std::chrono::duration<double, std::milli> ms = latency;
  counts_(std::max(ms.count(), kMinLatencyMs));
  ++total_;
}

double LatencyHistogram::Quantile(double share) const {
  const double target_count = share * static_cast<double>(total_);
  double count_so_far = 0;
  for (const auto& bin : boost::histogram::indexed(counts_)) {
    count_so_far += static_cast<double>(*bin);
    if (total_ > 0 && count_so_far >= target_count) return bin.bin().upper();
  }
  return total_ > 0 ? kMaxLatencyMs : 0;
}

bool Report::AllSucceeded() const {
  return streams_complete == streams && whole_complete == whole &&
         bookings_confirmed == bookings && bookings_doubled == 0 &&
         bookings_missing == 0 && upstreams_not_queried == 0;
}

std::vector<Figure> Report::Figures() const {
  std::vector<Figure> figures;
  auto count = [&figures](const char* name, std::uint64_t n) {
    figures.push_back({name, static_cast<double>(n), "count"});
  };
  auto add = [&figures](const char* name, double value, const char* unit) {
    figures.push_back({name, value, unit});
  };
  if (streams > 0) {
    count("streams", streams);
    count("complete_streams", streams_complete);
    count("incomplete_streams", streams_incomplete);
    count("wrong_streams", streams_wrong);
    count("concurrent_streams_peak", concurrent_peak);
    add("streams_per_second", Rate(streams_complete, elapsed), "1/s");
    add("tokens_per_second", Rate(tokens, elapsed), "1/s");
    add("first_token_p50", first_token.Quantile(0.50), "ms");
    add("first_token_p95", first_token.Quantile(0.95), "ms");
    add("first_token_p99", first_token.Quantile(0.99), "ms");
    add("between_tokens_p50", between_tokens.Quantile(0.50), "ms");
    add("between_tokens_p95", between_tokens.Quantile(0.95), "ms");
    add("cached_share", Share(cached_tokens, prompt_tokens), "share");
  }
  if (whole > 0) {
    count("whole_answers", whole);
    count("complete_whole_answers", whole_complete);
    count("incomplete_whole_answers", whole_incomplete);
    count("wrong_whole_answers", whole_wrong);
  }
  count("refused", refused);
  if (bookings > 0) {
    count("bookings", bookings);
    count("bookings_confirmed", bookings_confirmed);
    count("bookings_sent_again", bookings_repeated);
    count("bookings_doubled", bookings_doubled);
    count("bookings_missing", bookings_missing);
    add("booking_p95", booking.Quantile(0.95), "ms");
  }
  return figures;
}

void PrintCsv(const Report& report, const std::string& prefix) {
  for (const Figure& figure : report.Figures()) {
    fmt::print("{}{},{:.6g},{}\n", prefix, figure.name, figure.value,
               figure.unit);
  }
}

void PrintTable(const Report& report) {
  for (const Figure& figure : report.Figures()) {
    fmt::print("  {:<26} {:>12.6g} {}\n", figure.name, figure.value,
               figure.unit);
  }
}

void PrintProblems(const Report& report) {
  std::vector<std::pair<std::uint64_t, std::string>> sorted;
  for (const auto& [text, n] : report.problems) sorted.emplace_back(n, text);
  std::sort(sorted.rbegin(), sorted.rend());
  if (sorted.size() > kMaxProblemsShown) sorted.resize(kMaxProblemsShown);
  for (const auto& [n, text] : sorted) {
    fmt::print(stderr, "yuccapick_load: {} x {}\n", n, text);
  }
}

}  // namespace yuccapick::load
