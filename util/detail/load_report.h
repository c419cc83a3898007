#ifndef YUCCAPICK_UTIL_DETAIL_LOAD_REPORT_H_
#define YUCCAPICK_UTIL_DETAIL_LOAD_REPORT_H_

/// @file
/// Counters and latency histograms of one load run.

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccapick::load {

/// Latency histogram with logarithmic bins about one per cent wide.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(std::chrono::nanoseconds latency);
  /// Returns the `share` quantile in milliseconds; 0 without samples.
  double Quantile(double share) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> counts_;
  std::uint64_t total_ = 0;
};

/// One line of the report.
struct Figure {
  std::string name;
  double value = 0;
  std::string unit;
};

struct Report {
  std::uint64_t streams = 0;
  std::uint64_t streams_complete = 0;
  std::uint64_t streams_incomplete = 0;
  std::uint64_t streams_wrong = 0;
  std::uint64_t whole = 0;
  std::uint64_t whole_complete = 0;
  std::uint64_t whole_incomplete = 0;
  std::uint64_t whole_wrong = 0;
  std::uint64_t refused = 0;  ///< Chats answered with an error status.
  std::uint64_t tokens = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t concurrent_peak = 0;
  std::uint64_t bookings = 0;
  std::uint64_t bookings_confirmed = 0;
  std::uint64_t bookings_repeated = 0;  ///< Calls retried with the same key.
  std::uint64_t bookings_doubled = 0;   ///< Keys executed more than once.
  std::uint64_t bookings_missing = 0;   ///< Keys never executed.
  std::uint64_t upstreams_not_queried = 0;  ///< Gave no list of executed calls.
  std::chrono::nanoseconds elapsed{0};
  LatencyHistogram first_token;
  LatencyHistogram between_tokens;
  LatencyHistogram booking;
  std::map<std::string, std::uint64_t> problems;  ///< Count by text.

  /// Returns whether every chat was complete and correct and every booking was
  /// confirmed and executed exactly once.
  bool AllSucceeded() const;
  std::vector<Figure> Figures() const;
};

/// Prints `figure,value,unit` lines.
void PrintCsv(const Report& report, const std::string& prefix);
/// Prints a human-readable table.
void PrintTable(const Report& report);
/// Prints the most frequent problems to standard error.
void PrintProblems(const Report& report);

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_LOAD_REPORT_H_
