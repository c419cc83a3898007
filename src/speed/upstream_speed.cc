#include "yuccapick/speed/upstream_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccapick {
namespace {

/// Records whose samples weigh less are dropped.
constexpr double kMinWeight = 0.02;
constexpr double kReportUnitsPerUnit = 100.0;
/// Times below this count as this long.
constexpr UpstreamSpeed::Time kMinTime{1.0};
/// Upstreams from which a median is formed that is subtracted from all.
constexpr std::size_t kMinUpstreamsForCenter = 3;
/// Ratio of the standard deviation to the mean absolute deviation, for a normal
/// distribution.
constexpr double kDeviationPerMeanDeviation = 1.25;
/// Weight of a sample in the mean absolute deviation.
constexpr double kDeviationGain = 0.05;
/// An upstream's mean of less weight says nothing of deviations.
constexpr double kMinWeightForDeviation = 1.0;

double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

UpstreamSpeed::UpstreamSpeed(UpstreamSpeedOptions options)
    : options_(options),
      max_log_ratio_(std::log(options.max_factor)),
      noise_log_ratio_(std::log(options.noise_band)),
      deviation_(options.min_deviation) {}

double UpstreamSpeed::Decay(const Record& record, TimePoint now) const {
  const std::chrono::duration<double> age = now - record.decayed_at;
  const std::chrono::duration<double> half_life = options_.half_life;
  return std::exp2(-std::max(age.count(), 0.0) / half_life.count());
}

double UpstreamSpeed::Mean(const Record& record, TimePoint now) const {
  const double decay = Decay(record, now);
  return record.sum * decay / (record.weight * decay + options_.prior_weight);
}

UpstreamSpeed::Record* UpstreamSpeed::RecordFor(std::uint64_t upstream_hash,
                                                Incarnation incarnation) {
  const auto it = records_.find(upstream_hash);
  if (it == records_.end()) {
    if (records_.size() >= options_.max_upstreams) return nullptr;
    Record& record = records_[upstream_hash];
    record.incarnation = incarnation;
    return &record;
  }
  if (incarnation < it->second.incarnation) return nullptr;
  if (it->second.incarnation < incarnation) {
    it->second = Record();
    it->second.incarnation = incarnation;
  }
  return &it->second;
}

void UpstreamSpeed::Add(Record& record, double sum, double weight,
                        TimePoint now) const {
  const double decay = Decay(record, now);
  record.sum = record.sum * decay + sum;
  record.weight = record.weight * decay + weight;
  record.decayed_at = now;
  if (record.weight <= options_.max_weight) return;
  record.sum *= options_.max_weight / record.weight;
  record.weight = options_.max_weight;
}

std::optional<double> UpstreamSpeed::RelativeToMedian(std::string_view kind,
                                                      double log_ratio) {
  auto it = recent_.find(kind);
  if (it == recent_.end()) {
    if (recent_.size() >= options_.max_kinds) return std::nullopt;
    it = recent_.emplace(std::string(kind), RecentSamples()).first;
  }
  RecentSamples& recent = it->second;
  if (recent.log_ratios.size() < options_.median_samples) {
    recent.log_ratios.push_back(log_ratio);
  } else {
    recent.log_ratios[recent.next] = log_ratio;
    recent.next = (recent.next + 1) % options_.median_samples;
  }
  if (recent.log_ratios.size() < options_.min_median_samples) {
    return std::nullopt;
  }
  const double median = Median(recent.log_ratios);
  return log_ratio - median;
}

void UpstreamSpeed::OnSample(std::uint64_t upstream_hash,
                             Incarnation incarnation, std::string_view kind,
                             Time observed, Time expected, TimePoint now) {
  const double log_ratio =
      std::log(std::max(observed, kMinTime) / std::max(expected, kMinTime));
  if (!std::isfinite(log_ratio)) return;
  const std::optional<double> relative = RelativeToMedian(kind, log_ratio);
  if (!relative) return;
  Record* record = RecordFor(upstream_hash, incarnation);
  if (record == nullptr) return;
  const double clipped = std::clamp(*relative, -max_log_ratio_, max_log_ratio_);
  LearnDeviation(*record, clipped, now);
  Add(*record, clipped, 1.0, now);
  if (record->unreported_samples >= options_.max_reported_samples) return;
  record->unreported_sum += clipped;
  ++record->unreported_samples;
}

void UpstreamSpeed::LearnDeviation(const Record& record, double log_ratio,
                                   TimePoint now) {
  if (record.weight * Decay(record, now) < kMinWeightForDeviation) return;
  const double distance = std::abs(log_ratio - record.sum / record.weight);
  deviation_ +=
      kDeviationGain * (distance * kDeviationPerMeanDeviation - deviation_);
}

void UpstreamSpeed::OnPeerReport(const SpeedReport& report, TimePoint now) {
  if (report.samples == 0) return;
  Record* record = RecordFor(report.upstream_hash, report.incarnation);
  if (record == nullptr) return;
  const double sum = report.log_ratio_sum / kReportUnitsPerUnit;
  const double mean =
      std::clamp(sum / report.samples, -max_log_ratio_, max_log_ratio_);
  const double counted =
      std::min(report.samples, options_.max_reported_samples);
  Add(*record, mean * counted, counted, now);
}

void UpstreamSpeed::TakeReports(std::size_t max_reports,
                                std::vector<SpeedReport>& reports,
                                TimePoint now) {
  absl::erase_if(records_, [this, now](const auto& it) {
    return it.second.weight * Decay(it.second, now) < kMinWeight;
  });
  // A single upstream is not slower than others.
  if (reports.size() >= max_reports || records_.size() < 2) return;
  std::vector<std::pair<std::uint64_t, Record*>> unreported;
  for (auto& [hash, record] : records_) {
    if (record.unreported_samples > 0) unreported.emplace_back(hash, &record);
  }
  const std::size_t n =
      std::min(unreported.size(), max_reports - reports.size());
  std::partial_sort(
      unreported.begin(), unreported.begin() + static_cast<std::ptrdiff_t>(n),
      unreported.end(), [](const auto& a, const auto& b) {
        return a.second->unreported_samples > b.second->unreported_samples;
      });
  unreported.resize(n);
  for (auto& [hash, record] : unreported) {
    const double sum = record->unreported_sum * kReportUnitsPerUnit;
    reports.push_back({hash, record->incarnation,
                       static_cast<std::int32_t>(std::lround(sum)),
                       record->unreported_samples});
    record->unreported_sum = 0;
    record->unreported_samples = 0;
  }
}

void UpstreamSpeed::UpdateCenter(TimePoint now) const {
  if (now < center_until_) return;
  center_until_ = now + options_.center_lifetime;
  std::vector<double> means;
  means.reserve(records_.size());
  for (const auto& [hash, record] : records_) {
    means.push_back(Mean(record, now));
  }
  center_ =
      means.size() < kMinUpstreamsForCenter ? 0 : Median(std::move(means));
}

double UpstreamSpeed::SlowdownOf(std::uint64_t upstream_hash,
                                 Incarnation incarnation, TimePoint now) const {
  const auto it = records_.find(upstream_hash);
  if (it == records_.end() || it->second.incarnation != incarnation) return 1;
  const Record& record = it->second;
  if (record.weight < options_.min_weight) return 1;
  UpdateCenter(now);
  // Decay and the prior only lower the distance from 1. Most upstreams end
  // here, and a decision asks for thousands.
  const double farthest =
      std::abs(record.sum / record.weight) + std::abs(center_);
  if (farthest <= noise_log_ratio_) return 1;
  const double weight = record.weight * Decay(record, now);
  if (weight < options_.min_weight) return 1;
  // An upper bound: the sum of decayed weights is at most the effective number
  // of samples.
  const double standard_error =
      std::max(deviation_, options_.min_deviation) / std::sqrt(weight);
  const double threshold =
      std::max(noise_log_ratio_, options_.min_standard_errors * standard_error);
  const double presence = weight / (weight + options_.prior_weight);
  const double mean = Mean(record, now) - center_ * presence;
  if (std::abs(mean) <= threshold) return 1;
  return std::exp(std::clamp(mean, -max_log_ratio_, max_log_ratio_));
}

}  // namespace yuccapick
