#ifndef YUCCAPICK_CONFIG_SYNC_H_
#define YUCCAPICK_CONFIG_SYNC_H_

/// @file
/// Keeps a process's configuration at the highest version known to it.

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
  /// Delay before a missing document is requested again.
  std::chrono::milliseconds retry{200};
};

/// A configuration as sent between processes: the head, and the contents that
/// the receiver presumably lacks.
struct ConfigBundle {
  ConfigHead head;
  ConfigContents contents;
};

/// Tracks the highest head, lists the contents that are missing, and builds the
/// snapshot once all are present. The active version only increases.
class ConfigSync {
 public:
  explicit ConfigSync(ConfigSyncOptions options) : options_(options) {}

  // Commands.

  /// Handles a head from the table, from a push or from a peer.
  void OnHead(const ConfigHead& head);
  /// Stores contents; those whose hash does not match are dropped.
  void OnContents(const ConfigContents& contents);
  /// A peer reported this version as active.
  void OnPeerVersion(ConfigVersion version);
  /// Activates the highest version if all of its contents are present.
  /// @return the new snapshot, or null if nothing changed
  ConfigPtr Install();
  /// Returns the hashes to fetch now. A hash is returned again only after the
  /// retry interval.
  std::vector<std::string> HashesToFetch(TimePoint now);

  // Queries.

  ConfigVersion version() const;
  const ConfigPtr& config() const { return config_; }
  /// True if a peer reported a version newer than every head known here.
  bool behind_peers() const { return highest_seen_ > target_.version; }
  /// True while the highest head is not active yet.
  bool fetching() const { return target_.version > version(); }
  /// Returns what a process whose active version is `have` lacks; a head with
  /// version 0 if that is nothing.
  ConfigBundle BundleFor(ConfigVersion have) const;

 private:
  /// Returns the index of the target head if it can be derived or was fetched.
  std::optional<ConfigIndex> TargetIndex() const;
  std::set<std::string> MissingHashes() const;

  ConfigSyncOptions options_;
  ConfigPtr config_;
  ConfigHead active_head_;
  ConfigHead target_;  ///< Highest head received.
  ConfigIndex active_index_;
  ConfigContents contents_;
  ConfigVersion highest_seen_;       ///< Of all heads and peers.
  std::set<std::string> requested_;  ///< Hashes.
  TimePoint requested_at_;
};

/// Returns the interval between two polls of the head row that keeps all
/// processes together within the read budget.
/// @param processes number of live processes
std::chrono::milliseconds ConfigPollInterval(std::size_t processes);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_SYNC_H_
