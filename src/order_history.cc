#include "yuccapick/order_history.h"

#include <nlohmann/json.hpp>

namespace yuccapick {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

}  // namespace

void OrderHistory::OnOrder(const UpstreamId& upstream, TimePoint now) {
  own_[upstream] = now;
}

bool OrderHistory::TakeOver(const std::string& note, TimePoint now) {
  try {
    const Json ages = Json::parse(note);
    for (const auto& [id, age] : ages.items()) {
      predecessor_[UpstreamId(id)] =
          now - milliseconds(age.get<std::int64_t>());
    }
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

void OrderHistory::Clear() {
  own_.clear();
  predecessor_.clear();
}

bool OrderHistory::MayOrder(const UpstreamId& upstream, TimePoint now) const {
  const auto it = predecessor_.find(upstream);
  return it == predecessor_.end() || now - it->second >= gap_;
}

std::string OrderHistory::Note(TimePoint now) const {
  Json note = Json::object();
  for (const auto& [upstream, ordered_at] : own_) {
    const auto age = std::chrono::duration_cast<milliseconds>(now - ordered_at);
    if (age < gap_) note[upstream.value] = age.count();
  }
  return note.dump();
}

}  // namespace yuccapick
