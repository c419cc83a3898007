#include "yuccapick/load_model.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

constexpr double kInitialTokensPerSecond = 10'000;
constexpr double kArrivalSeconds = 5.0;

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LoadModel::LoadModel(std::chrono::milliseconds report_age)
    : report_age_(report_age), speed_(kInitialTokensPerSecond) {}

double LoadModel::BacklogAt(TimePoint now) const {
  const double drained = speed_ * std::max(0.0, Seconds(now - backlog_at_));
  return std::max(0.0, backlog_ - drained);
}

void LoadModel::Add(double tokens, TimePoint now) {
  backlog_ = BacklogAt(now) + tokens;
  backlog_at_ = std::max(backlog_at_, now);
}

void LoadModel::ApplyReport(const LoadReport& report, TimePoint now) {
  if (report.prefill_tokens_per_second > 0) {
    speed_ = report.prefill_tokens_per_second;
  }
  const TimePoint described = now - report_age_;
  backlog_ = static_cast<double>(report.queued_prefill_tokens);
  backlog_at_ = described;
  while (!sent_.empty() && sent_.front().when <= described) sent_.pop_front();
  for (const Sent& sent : sent_) Add(sent.tokens, sent.when);
}

void LoadModel::OnDispatched(std::uint64_t tokens, bool urgent, TimePoint now) {
  const auto work = static_cast<double>(tokens);
  Add(work, now);
  arrivals_ = RecentArrivals(now) + 1.0;
  arrivals_at_ = now;
  if (urgent) own_urgent_ += work;
  sent_.push_back({now, work});
  while (sent_.front().when + 4 * report_age_ < now) sent_.pop_front();
}

void LoadModel::OnPrefilled(std::uint64_t tokens, bool urgent) {
  const auto work = static_cast<double>(tokens);
  if (urgent) own_urgent_ = std::max(0.0, own_urgent_ - work);
}

void LoadModel::Reset(TimePoint now) {
  backlog_ = 0;
  backlog_at_ = now;
  own_urgent_ = 0;
  sent_.clear();
}

double LoadModel::WaitSeconds(TimePoint now) const {
  return BacklogAt(now) / speed_;
}

double LoadModel::UrgentWaitSeconds(double residual_seconds,
                                    TimePoint now) const {
  // Urgent work overtakes the queue, but not the prefill that is running.
  return std::min(WaitSeconds(now), own_urgent_ / speed_ + residual_seconds);
}

double LoadModel::RecentArrivals(TimePoint now) const {
  const double elapsed = std::max(0.0, Seconds(now - arrivals_at_));
  return arrivals_ * std::exp(-elapsed / kArrivalSeconds);
}

double LoadModel::Speed() const { return speed_; }

}  // namespace yuccapick
