#include "yuccapick/load_model.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

constexpr double kInitialTokensPerSecond = 10'000;
constexpr double kArrivalDecaySeconds = 5.0;

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LoadModel::LoadModel(std::chrono::milliseconds report_age)
    : report_age_(report_age),
      prefill_tokens_per_second_(kInitialTokensPerSecond) {}

double LoadModel::BacklogAt(TimePoint now) const {
  const double drained =
      prefill_tokens_per_second_ * std::max(0.0, Seconds(now - backlog_at_));
  return std::max(0.0, backlog_ - drained);
}

void LoadModel::AddBacklog(double tokens, TimePoint now) {
  backlog_ = BacklogAt(now) + tokens;
  backlog_at_ = std::max(backlog_at_, now);
}

void LoadModel::ApplyReport(const LoadReport& report, TimePoint now) {
  if (report.prefill_tokens_per_second > 0) {
    prefill_tokens_per_second_ = report.prefill_tokens_per_second;
  }
  const TimePoint state_at = now - report_age_;
  backlog_ = static_cast<double>(report.queued_prefill_tokens);
  backlog_at_ = state_at;
  while (!sent_.empty() && sent_.front().sent_at <= state_at) sent_.pop_front();
  for (const Sent& sent : sent_) AddBacklog(sent.tokens, sent.sent_at);
}

void LoadModel::OnDispatched(std::uint64_t tokens, bool urgent, TimePoint now) {
  const auto prefill = static_cast<double>(tokens);
  AddBacklog(prefill, now);
  arrivals_ = RecentArrivals(now) + 1.0;
  arrivals_at_ = now;
  if (urgent) own_urgent_tokens_ += prefill;
  sent_.push_back({now, prefill});
  // Bounds the queue while no reports arrive.
  while (sent_.front().sent_at + 4 * report_age_ < now) sent_.pop_front();
}

void LoadModel::OnPrefilled(std::uint64_t tokens, bool urgent) {
  const auto prefill = static_cast<double>(tokens);
  if (urgent) own_urgent_tokens_ = std::max(0.0, own_urgent_tokens_ - prefill);
}

void LoadModel::Reset(TimePoint now) {
  backlog_ = 0;
  backlog_at_ = now;
  own_urgent_tokens_ = 0;
  sent_.clear();
}

double LoadModel::WaitSeconds(TimePoint now) const {
  return BacklogAt(now) / prefill_tokens_per_second_;
}

double LoadModel::UrgentWaitSeconds(double residual_seconds,
                                    TimePoint now) const {
  // Urgent work overtakes the queue, but not a running prefill.
  return std::min(
      WaitSeconds(now),
      own_urgent_tokens_ / prefill_tokens_per_second_ + residual_seconds);
}

double LoadModel::RecentArrivals(TimePoint now) const {
  const double elapsed = std::max(0.0, Seconds(now - arrivals_at_));
  return arrivals_ * std::exp(-elapsed / kArrivalDecaySeconds);
}

double LoadModel::PrefillTokensPerSecond() const {
  return prefill_tokens_per_second_;
}

}  // namespace yuccapick
