#include "yuccapick/order_history.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace yuccapick {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

}  // namespace

bool OrderHistory::BeginTerm(FencingToken fence) {
  if (fence == term_) return false;
  *this = OrderHistory(gap_);
  term_ = fence;
  return true;
}

void OrderHistory::OnOrder(const UpstreamId& upstream, TimePoint now) {
  own_[upstream] = now;
}

bool OrderHistory::ImportHandover(const std::string& note, TimePoint now) {
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

bool OrderHistory::ImportAnnouncement(const std::string& note, TimePoint now) {
  if (!ImportHandover(note, now)) return false;
  for (auto& [upstream, ordered_at] : predecessor_) ordered_at = now;
  return true;
}

void OrderHistory::ResumeAfterRestart(const std::string& note, TimePoint now) {
  static_cast<void>(ImportAnnouncement(note, now));
  own_ = std::move(predecessor_);
  predecessor_.clear();
}

std::map<UpstreamId, TimePoint> OrderHistory::Recent(TimePoint now) const {
  std::map<UpstreamId, TimePoint> recent;
  for (const auto* orders : {&predecessor_, &own_}) {
    for (const auto& [upstream, ordered_at] : *orders) {
      if (now - ordered_at < gap_) recent[upstream] = ordered_at;
    }
  }
  return recent;
}

bool OrderHistory::AnnounceOrders(const std::set<UpstreamId>& upstreams,
                                  TimePoint now) {
  const bool known = std::includes(announced_.begin(), announced_.end(),
                                   upstreams.begin(), upstreams.end());
  if (known) return false;
  // Upstreams whose orders are long past go with the next change.
  announced_ = upstreams;
  for (const auto& [upstream, ordered_at] : Recent(now)) {
    announced_.insert(upstream);
  }
  return true;
}

void OrderHistory::OnAnnouncementSent() {
  sent_ = announced_;
  std::erase_if(written_,
                [this](const UpstreamId& id) { return !sent_.contains(id); });
}

bool OrderHistory::MayOrder(const UpstreamId& upstream, TimePoint now) const {
  if (!written_.contains(upstream)) return false;
  const auto it = predecessor_.find(upstream);
  return it == predecessor_.end() || now - it->second >= gap_;
}

std::set<UpstreamId> OrderHistory::BlockedByPredecessor(TimePoint now) const {
  std::set<UpstreamId> near;
  for (const auto& [upstream, ordered_at] : predecessor_) {
    if (now - ordered_at < gap_) near.insert(upstream);
  }
  return near;
}

std::string OrderHistory::Announcement() const {
  Json note = Json::object();
  for (const UpstreamId& upstream : announced_) note[upstream.value] = 0;
  return note.dump();
}

std::string OrderHistory::HandoverNote(TimePoint now) const {
  Json note = Json::object();
  for (const auto& [upstream, ordered_at] : Recent(now)) {
    note[upstream.value] =
        std::chrono::duration_cast<milliseconds>(now - ordered_at).count();
  }
  return note.dump();
}

}  // namespace yuccapick
