#include "yuccapick/platform_budget.h"

#include <algorithm>

namespace yuccapick {
namespace {

/// Beyond this many doublings the longest back-off holds anyway.
constexpr std::uint32_t kMaxDoublings = 20;

}  // namespace

bool TokenBucket::Take(TimePoint now) {
  if (updated_ && now > *updated_) {
    const std::chrono::duration<double> passed = now - *updated_;
    Add(passed.count() * per_second_);
  }
  updated_ = std::max(now, updated_.value_or(now));
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void TokenBucket::Add(double tokens) {
  tokens_ = std::min(burst_, tokens_ + tokens);
}

PlatformBudget::PlatformBudget(const PlatformBudgetOptions& options)
    : options_(options),
      reads_(options.reads_per_second, options.read_burst),
      writes_(options.writes_per_second, options.write_burst),
      retries_(0, options.retry_burst),
      random_(options.seed) {}

void PlatformBudget::OnAnswered() {
  retries_.Add(options_.retries_per_success);
}

std::optional<std::chrono::milliseconds> PlatformBudget::TakeRetry(
    std::uint32_t retry, TimePoint now) {
  if (!retries_.Take(now)) return std::nullopt;
  const std::uint32_t doublings =
      std::min(std::max(retry, 1U) - 1, kMaxDoublings);
  const auto longest =
      std::min(options_.max_backoff,
               options_.initial_backoff * (std::int64_t{1} << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(0, longest.count());
  return std::chrono::milliseconds(jitter(random_));
}

}  // namespace yuccapick
