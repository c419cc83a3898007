#include "yuccapick/config_sync.h"

#include <algorithm>

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kShortestPoll{500};
/// Reads a second that all processes spend on the head row together.
constexpr std::size_t kPollReadsPerSecond = 50;
constexpr std::size_t kMillisecondsPerSecond = 1000;

}  // namespace

void ConfigSync::OnHead(const ConfigHead& head) {
  if (head.version <= target_.version) return;
  target_ = head;
  heard_ = std::max(heard_, head.version);
  asked_.clear();
}

void ConfigSync::OnContents(const ConfigContents& contents) {
  for (const auto& [hash, content] : contents) {
    if (Sha256Hex(content) == hash) contents_[hash] = content;
  }
}

void ConfigSync::OnPeerVersion(ConfigVersion version) {
  heard_ = std::max(heard_, version);
}

std::optional<ConfigIndex> ConfigSync::TargetIndex() const {
  if (target_.base_hash == head_.index_hash) {
    ConfigIndex next = Apply(index_, target_.changes);
    if (Sha256Hex(SerialiseIndex(next)) == target_.index_hash) return next;
  }
  const auto it = contents_.find(target_.index_hash);
  if (it == contents_.end()) return std::nullopt;
  const auto index = ParseIndex(it->second);
  if (!index.ok()) return std::nullopt;
  return *index;
}

std::set<std::string> ConfigSync::MissingHashes() const {
  const auto index = TargetIndex();
  if (!index) return {target_.index_hash};
  std::set<std::string> missing;
  for (const auto& [name, hash] : *index) {
    if (!contents_.contains(hash)) missing.insert(hash);
  }
  return missing;
}

ConfigPtr ConfigSync::Install() {
  if (!fetching()) return nullptr;
  const auto index = TargetIndex();
  if (!index || !MissingHashes().empty()) return nullptr;
  auto snapshot = FromDocuments(*index, contents_);
  if (!snapshot.ok()) return nullptr;
  snapshot->version = target_.version;
  config_ = std::make_shared<const ConfigSnapshot>(*std::move(snapshot));
  head_ = target_;
  index_ = *index;
  ConfigContents kept;
  for (const auto& [name, hash] : index_) kept[hash] = contents_[hash];
  contents_ = std::move(kept);
  asked_.clear();
  return config_;
}

std::vector<std::string> ConfigSync::HashesToFetch(TimePoint now) {
  if (!fetching()) return {};
  if (now - asked_at_ >= options_.retry) asked_.clear();
  std::vector<std::string> wanted;
  for (const std::string& hash : MissingHashes()) {
    if (asked_.insert(hash).second) wanted.push_back(hash);
  }
  if (!wanted.empty()) asked_at_ = now;
  return wanted;
}

ConfigVersion ConfigSync::version() const {
  return config_ == nullptr ? ConfigVersion() : config_->version;
}

ConfigBundle ConfigSync::BundleFor(ConfigVersion have) const {
  ConfigBundle bundle;
  if (config_ == nullptr || have >= version()) return bundle;
  bundle.head = head_;
  if (have.value != 0 && have.Next() == version()) {
    for (const ConfigChange& change : head_.changes) {
      const auto it = contents_.find(change.hash);
      if (it != contents_.end()) bundle.contents.insert(*it);
    }
    return bundle;
  }
  bundle.contents = contents_;
  bundle.contents[head_.index_hash] = SerialiseIndex(index_);
  return bundle;
}

std::chrono::milliseconds ConfigPollInterval(std::size_t processes) {
  const std::chrono::milliseconds shared(processes * kMillisecondsPerSecond /
                                         kPollReadsPerSecond);
  return std::max(kShortestPoll, shared);
}

}  // namespace yuccapick
