#include "yuccapick/load_model.h"

#include <algorithm>

namespace yuccapick {
namespace {

constexpr double kInitialTokensPerSecond = 10'000;
constexpr double kUtilisationSmoothing = 0.1;

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

void LoadModel::ObserveUtilisation(const LoadReport& report) {
  const double busy = report.queued_prefill_tokens > 0 ? 1.0 : 0.0;
  utilisation_ += kUtilisationSmoothing * (busy - utilisation_);
}

void LoadModel::ApplyReport(const LoadReport& report, TimePoint now) {
  if (report.prefill_tokens_per_second > 0) {
    speed_ = report.prefill_tokens_per_second;
  }
  reported_at_ = now;
  ObserveUtilisation(report);
  const TimePoint described = now - report_age_;
  backlog_ = static_cast<double>(report.queued_prefill_tokens);
  backlog_at_ = described;
  while (!sent_.empty() && sent_.front().when <= described) sent_.pop_front();
  for (const Sent& sent : sent_) Add(sent.tokens, sent.when);
}

void LoadModel::OnDispatched(std::uint64_t tokens, bool urgent, TimePoint now) {
  const auto work = static_cast<double>(tokens);
  Add(work, now);
  own_unfinished_ += work;
  if (urgent) own_urgent_ += work;
  sent_.push_back({now, work});
  while (sent_.front().when + 4 * report_age_ < now) sent_.pop_front();
}

void LoadModel::OnPrefilled(std::uint64_t tokens, bool urgent) {
  const auto work = static_cast<double>(tokens);
  own_unfinished_ = std::max(0.0, own_unfinished_ - work);
  if (urgent) own_urgent_ = std::max(0.0, own_urgent_ - work);
}

void LoadModel::Reset(TimePoint now) {
  backlog_ = 0;
  backlog_at_ = now;
  own_unfinished_ = 0;
  own_urgent_ = 0;
  sent_.clear();
}

double LoadModel::WaitSeconds(bool urgent, TimePoint now) const {
  if (urgent) return own_urgent_ / speed_;
  return BacklogAt(now) / speed_;
}

double LoadModel::Utilisation() const { return utilisation_; }

double LoadModel::Speed() const { return speed_; }

TimePoint LoadModel::ReportedAt() const { return reported_at_; }

}  // namespace yuccapick
