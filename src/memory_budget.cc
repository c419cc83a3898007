#include "yuccapick/memory_budget.h"

#include <limits>

namespace yuccapick {

bool MemoryBudget::Resize(std::size_t from, std::size_t to) {
  const std::size_t used = used_ - from + to;
  const double share = to > kLargeBytes ? kLargeShare : 1.0;
  const auto limit =
      static_cast<std::size_t>(static_cast<double>(limit_) * share);
  if (limit_ > 0 && to > from && used > limit) {
    ++refused_;
    return false;
  }
  used_ = used;
  return true;
}

bool MemoryBudget::under_pressure() const {
  return limit_ > 0 && static_cast<double>(used_) >
                           static_cast<double>(limit_) * kPressureShare;
}

std::size_t MemoryBudget::AnswerAllowance() const {
  if (limit_ == 0) return std::numeric_limits<std::size_t>::max();
  const double left =
      static_cast<double>(limit_) * kAnswerShare - static_cast<double>(used_);
  return left > 0 ? static_cast<std::size_t>(left * kOneAnswerShare) : 0;
}

MemoryShare& MemoryShare::operator=(MemoryShare&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = std::move(other.budget_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryShare::Resize(std::size_t bytes) {
  if (budget_ == nullptr) return true;
  if (!budget_->Resize(bytes_, bytes)) return false;
  bytes_ = bytes;
  return true;
}

void MemoryShare::Set(std::size_t bytes) {
  if (budget_ != nullptr) budget_->Replace(bytes_, bytes);
  bytes_ = bytes;
}

void MemoryShare::Release() {
  if (budget_ != nullptr) budget_->Resize(std::exchange(bytes_, 0), 0);
}

}  // namespace yuccapick
