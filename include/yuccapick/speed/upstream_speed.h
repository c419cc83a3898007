#ifndef YUCCAPICK_SPEED_UPSTREAM_SPEED_H_
#define YUCCAPICK_SPEED_UPSTREAM_SPEED_H_

/// @file
/// How slow each upstream of a service is, compared with the others.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Samples of one upstream since the previous report, for peers.
struct SpeedReport {
  std::uint64_t upstream_hash = 0;  ///< `RendezvousNodeHash` of the id.
  Incarnation incarnation;
  /// Of the samples' log-ratios in hundredths, less the sender's median.
  std::int32_t log_ratio_sum = 0;
  std::uint32_t samples = 0;
};

struct UpstreamSpeedOptions {
  /// Samples count half after this time. Of servers that turn 2.5 times slower
  /// and recover, with 7.5 samples a second of each, 91 % are noticed and 97 %
  /// have a factor below 1.5 again within a second. With 700 ms, it's 92 % and
  /// 59 %.
  std::chrono::milliseconds half_life{400};
  /// Samples of factor 1 that are added to the observed ones, so that the
  /// factor returns to 1 when there are no samples.
  double prior_weight = 0.5;
  /// Samples of less weight don't change the factor: one may be an outlier.
  double min_weight = 1.5;
  /// Factors between 1 / `noise_band` and `noise_band` count as 1.
  double noise_band = 1.25;
  /// A factor counts if it differs from 1 by more standard errors than this.
  double min_standard_errors = 2.0;
  /// Least standard deviation of log-ratios that is assumed.
  double min_deviation = 0.25;
  /// Samples beyond this factor, or below its reciprocal, count as it.
  double max_factor = 3.0;
  /// Own samples of a kind whose median is subtracted, and the fewest that are
  /// needed for it.
  std::size_t median_samples = 31;
  std::size_t min_median_samples = 5;
  /// Kinds of samples that are kept.
  std::size_t max_kinds = 64;
  /// Most samples of an upstream that one report of a peer may stand for.
  std::uint32_t max_reported_samples = 32;
  /// Weight of an upstream's samples does not exceed this.
  double max_weight = 64.0;
  /// Upstreams whose samples are kept.
  std::size_t max_upstreams = 4'096;
  /// How long the median over all upstreams is used.
  std::chrono::milliseconds center_lifetime{50};
};

/// Estimates for each upstream incarnation of one service by which factor its
/// answers take longer than those of the service's other upstreams. Gateways
/// exchange their samples. Each one subtracts the median of its own log-ratios,
/// so that its own slowness or distance isn't attributed to upstreams.
class UpstreamSpeed {
 public:
  using Time = std::chrono::duration<double, std::milli>;

  explicit UpstreamSpeed(UpstreamSpeedOptions options = {});

  // Commands.

  /// An answer, or its first event, took some time.
  /// @param upstream_hash `RendezvousNodeHash` of the upstream's id
  /// @param kind samples are compared with others of their kind only
  /// @param observed time that it took
  /// @param expected time that the service's model expects; any constant if
  ///   there is no model
  void OnSample(std::uint64_t upstream_hash, Incarnation incarnation,
                std::string_view kind, Time observed, Time expected,
                TimePoint now);
  /// Adds a peer's samples. Malformed ones are ignored.
  void OnPeerReport(const SpeedReport& report, TimePoint now);
  /// Moves samples since the previous call to the end of `reports`, until it
  /// has `max_reports` elements; those of the most samples first, since a
  /// choice by their values would bias the peers' estimates. Forgets upstreams
  /// without recent samples.
  void TakeReports(std::size_t max_reports, std::vector<SpeedReport>& reports,
                   TimePoint now);
  void Forget(std::uint64_t upstream_hash) { records_.erase(upstream_hash); }

  // Queries.

  /// @return factor by which the upstream is slower than the service's median;
  ///   exactly 1 within the noise, without samples or for an incarnation other
  ///   than the newest known one
  double SlowdownOf(std::uint64_t upstream_hash, Incarnation incarnation,
                    TimePoint now) const;
  /// Number of upstreams with recent samples.
  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    Incarnation incarnation;
    double sum = 0;     ///< Of log-ratios, decayed as of `decayed_at`.
    double weight = 0;  ///< Decayed as of `decayed_at`.
    TimePoint decayed_at;
    double unreported_sum = 0;
    std::uint32_t unreported_samples = 0;
  };
  /// The newest own samples of one kind.
  struct RecentSamples {
    std::vector<double> log_ratios;
    std::size_t next = 0;
  };

  double Decay(const Record& record, TimePoint now) const;
  /// @return mean log-ratio including the prior
  double Mean(const Record& record, TimePoint now) const;
  /// @return the record, reset if the incarnation is newer; null if it is older
  ///   or there are too many
  Record* RecordFor(std::uint64_t upstream_hash, Incarnation incarnation);
  void Add(Record& record, double sum, double weight, TimePoint now) const;
  /// Adds a sample and returns it relative to the median of its kind; nullopt
  /// if there are too few of them, since the median is mostly the sample then.
  std::optional<double> RelativeToMedian(std::string_view kind,
                                         double log_ratio);
  /// Learns how far own samples are from their upstream's mean.
  void LearnDeviation(const Record& record, double log_ratio, TimePoint now);
  void UpdateCenter(TimePoint now) const;

  UpstreamSpeedOptions options_;
  double max_log_ratio_;
  double noise_log_ratio_;
  double deviation_;  ///< Of own samples from their upstream's mean.
  absl::flat_hash_map<std::uint64_t, Record> records_;
  std::map<std::string, RecentSamples, std::less<>> recent_;
  // Median of all upstreams' means. It differs from 0 while all of them turn
  // slower together.
  mutable double center_ = 0;
  mutable TimePoint center_until_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SPEED_UPSTREAM_SPEED_H_
