#include "yuccapick/origin_save_queue.h"

#include <algorithm>
#include <map>
#include <utility>

namespace yuccapick {

std::uint32_t OriginSaveQueue::IndexOf(const SoftwareGroup& group) {
  const auto it = std::find(groups_.begin(), groups_.end(), group);
  const auto index = static_cast<std::uint32_t>(it - groups_.begin());
  if (it == groups_.end()) groups_.push_back(group);
  return index;
}

void OriginSaveQueue::Add(const std::vector<StreamOriginReport>& origins,
                          TimePoint now) {
  for (const StreamOriginReport& report : origins) {
    const std::uint32_t index = IndexOf(report.group);
    for (const StreamId stream : report.streams) {
      entries_.push_back({stream, index, now});
    }
  }
  while (entries_.size() > options_.max_streams) {
    if (saved_ == 0) ++dropped_;
    DropFirst();
  }
}

void OriginSaveQueue::DropFirst() {
  entries_.pop_front();
  if (saved_ > 0) {
    --saved_;
  } else if (taken_ > 0) {
    --taken_;
  }
}

void OriginSaveQueue::Expire(bool saver, TimePoint now) {
  while (!entries_.empty()) {
    const auto age = now - entries_.front().added_at;
    const bool unsaved = saver && saved_ == 0;
    if (age < (unsaved ? options_.lifetime : options_.retention)) return;
    DropFirst();
  }
}

std::vector<StreamOriginReport> OriginSaveQueue::Take(std::size_t limit) {
  if (!HasUnsaved()) return {};
  taken_ = std::min(limit, entries_.size() - saved_);
  std::map<std::uint32_t, std::vector<StreamId>> streams;
  for (std::size_t n = saved_; n < saved_ + taken_; ++n) {
    streams[entries_[n].group].push_back(entries_[n].stream);
  }
  std::vector<StreamOriginReport> origins;
  for (auto& [index, ids] : streams) {
    origins.push_back({groups_[index], std::move(ids)});
  }
  return origins;
}

void OriginSaveQueue::OnSaved() { saved_ += std::exchange(taken_, 0); }

void OriginSaveQueue::OnNotSaved() { taken_ = 0; }

void OriginSaveQueue::SaveAgain() {
  saved_ = 0;
  taken_ = 0;
}

}  // namespace yuccapick
