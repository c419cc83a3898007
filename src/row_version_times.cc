#include "yuccapick/row_version_times.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace yuccapick {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxAnswers = 1'024;

std::int64_t Count(StoreTime time) { return time.time_since_epoch().count(); }

StoreTime ToStoreTime(const Json& json) {
  return StoreTime(milliseconds(json.get<std::int64_t>()));
}

}  // namespace

std::string SerialiseRowTimes(const SavedRowTimes& saved) {
  Json times = Json::array();
  for (const RowVersionTime& time : saved.times) {
    times.push_back({time.newest, Count(time.answered_at)});
  }
  return Json{{"savedAfterMs", Count(saved.saved_after)},
              {"times", std::move(times)},
              {"generation", saved.generation.value}}
      .dump();
}

std::optional<SavedRowTimes> ParseRowTimes(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    SavedRowTimes saved;
    saved.saved_after = ToStoreTime(json.at("savedAfterMs"));
    saved.generation =
        StoreGeneration(json.value("generation", std::uint64_t{0}));
    for (const Json& time : json.at("times")) {
      saved.times.push_back(
          {time.at(0).get<std::uint64_t>(), ToStoreTime(time.at(1))});
    }
    return saved;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void RowVersionTimes::OnAnswer(TablePosition newest, StoreTime answered_at) {
  if (newest.generation < generation_) return;
  if (newest.generation > generation_) {
    generation_ = newest.generation;
    answers_.clear();
  }
  const auto it =
      std::lower_bound(answers_.begin(), answers_.end(), newest.version,
                       [](const RowVersionTime& a, std::uint64_t version) {
                         return a.newest < version;
                       });
  if (it != answers_.end() && it->newest == newest.version) {
    it->answered_at = std::max(it->answered_at, answered_at);
    return;
  }
  answers_.insert(it, {newest.version, answered_at});
  if (answers_.size() > kMaxAnswers) answers_.pop_front();
}

std::optional<StoreTime> RowVersionTimes::WrittenAfter(
    TablePosition position) const {
  if (position.generation != generation_) return std::nullopt;
  const auto it = std::lower_bound(
      answers_.begin(), answers_.end(), position.version,
      [](const RowVersionTime& a, std::uint64_t v) { return a.newest < v; });
  if (it == answers_.begin()) return std::nullopt;
  return std::prev(it)->answered_at;
}

std::vector<RowVersionTime> RowVersionTimes::Latest(
    std::size_t n, milliseconds spacing) const {
  std::vector<RowVersionTime> latest;
  for (auto it = answers_.rbegin(); it != answers_.rend(); ++it) {
    if (latest.size() == n) break;
    const bool near = !latest.empty() &&
                      latest.back().answered_at - it->answered_at < spacing;
    if (!near) latest.push_back(*it);
  }
  std::reverse(latest.begin(), latest.end());
  return latest;
}

}  // namespace yuccapick
