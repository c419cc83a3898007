#ifndef YUCCAPICK_UTIL_DETAIL_LOAD_REPORT_H_
#define YUCCAPICK_UTIL_DETAIL_LOAD_REPORT_H_

/// @file
/// Counters and latency histograms of one load.

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccapick::load {

/// Histogram of latencies with bins of about one per cent.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(std::chrono::nanoseconds latency);
  /// Returns the latency in milliseconds that `share` of all stay below.
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
  std::uint64_t refused = 0;  ///< Streams and answers that got an error head.
  std::uint64_t tokens = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t concurrent_peak = 0;
  std::uint64_t bookings = 0;
  std::uint64_t bookings_confirmed = 0;
  std::uint64_t bookings_repeated = 0;  ///< Calls sent again with their key.
  std::uint64_t bookings_doubled = 0;   ///< Keys that ran more than once.
  std::uint64_t bookings_missing = 0;   ///< Keys that did not run.
  std::uint64_t upstreams_unread = 0;   ///< Could not be asked what ran.
  std::chrono::nanoseconds elapsed{0};
  LatencyHistogram first_token;
  LatencyHistogram between_tokens;
  LatencyHistogram booking;
  std::map<std::string, std::uint64_t> problems;  ///< By text.

  bool Good() const;
  std::vector<Figure> Figures() const;
};

/// Prints `figure,value,unit` lines.
void PrintCsv(const Report& report, const std::string& prefix);
/// Prints a table for people.
void PrintTable(const Report& report);
/// Prints what went wrong, most frequent kinds first, to standard error.
void PrintProblems(const Report& report);

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_LOAD_REPORT_H_
