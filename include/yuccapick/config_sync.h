#ifndef YUCCAPICK_CONFIG_SYNC_H_
#define YUCCAPICK_CONFIG_SYNC_H_

/// @file
/// Keeps one process's configuration at the highest version it has heard of.

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "yuccapick/config_documents.h"
#include "yuccapick/config_head.h"
#include "yuccapick/config_snapshot.h"
#include "yuccapick/ids.h"

namespace yuccapick {

struct ConfigSyncOptions {
  std::chrono::milliseconds retry{200};  ///< Before a document is asked again.
};

/// A configuration as it travels between processes: the head, and the contents
/// that its receiver is taken to lack.
struct ConfigBundle {
  ConfigHead head;
  ConfigContents contents;
};

/// Follows heads, asks for the contents that are missing, and builds the
/// snapshot once all are there. The version in force only rises.
class ConfigSync {
 public:
  explicit ConfigSync(ConfigSyncOptions options) : options_(options) {}

  // Commands.

  /// Takes a head from the table, a push or a peer.
  void OnHead(const ConfigHead& head);
  /// Takes contents; those whose hash does not match are dropped.
  void OnContents(const ConfigContents& contents);
  /// A peer has this version in force.
  void OnPeerVersion(ConfigVersion version);
  /// Puts the highest version into force if all of its contents are there.
  /// @return the snapshot when it is new
  ConfigPtr Install();
  /// Hashes to fetch now; each is named again only after the retry interval.
  std::vector<std::string> HashesToFetch(TimePoint now);

  // Queries.

  ConfigVersion version() const;
  const ConfigPtr& config() const { return config_; }
  /// True if a peer is known to be ahead of every head held here.
  bool behind_peers() const { return heard_ > target_.version; }
  /// True while contents of the highest head are missing.
  bool fetching() const { return target_.version > version(); }
  /// What a process that holds version `have` lacks.
  ConfigBundle BundleFor(ConfigVersion have) const;

 private:
  /// Index of the target if its content can be told.
  std::optional<ConfigIndex> TargetIndex() const;
  std::set<std::string> MissingHashes() const;

  ConfigSyncOptions options_;
  ConfigPtr config_;
  ConfigHead head_;    ///< In force.
  ConfigHead target_;  ///< Highest head heard of.
  ConfigIndex index_;  ///< In force.
  ConfigContents contents_;
  ConfigVersion heard_;
  std::set<std::string> asked_;
  TimePoint asked_at_;
};

/// Time between two polls of the head row, so that all processes together stay
/// within the read budget.
/// @param processes live processes of the system
std::chrono::milliseconds ConfigPollInterval(std::size_t processes);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_SYNC_H_
