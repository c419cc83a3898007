#include "yuccapick/row_version_times.h"

#include <algorithm>

namespace yuccapick {
namespace {

constexpr std::size_t kMaxAnswers = 1'024;

}  // namespace

void RowVersionTimes::OnAnswer(std::uint64_t newest, StoreTime answered_at) {
  const auto it = std::lower_bound(answers_.begin(), answers_.end(), newest,
                                   [](const Answer& a, std::uint64_t version) {
                                     return a.newest < version;
                                   });
  if (it != answers_.end() && it->newest == newest) {
    it->answered_at = std::max(it->answered_at, answered_at);
    return;
  }
  answers_.insert(it, {newest, answered_at});
  if (answers_.size() > kMaxAnswers) answers_.pop_front();
}

std::optional<StoreTime> RowVersionTimes::WrittenAfter(
    std::uint64_t version) const {
  const auto it = std::lower_bound(
      answers_.begin(), answers_.end(), version,
      [](const Answer& a, std::uint64_t v) { return a.newest < v; });
  if (it == answers_.begin()) return std::nullopt;
  return std::prev(it)->answered_at;
}

}  // namespace yuccapick
