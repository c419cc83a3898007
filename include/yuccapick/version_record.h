#ifndef YUCCAPICK_VERSION_RECORD_H_
#define YUCCAPICK_VERSION_RECORD_H_

/// @file
/// Since when the store has a record of each software version, and which
/// versions may therefore begin streams.

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/store_clock.h"
#include "yuccapick/stream_origins.h"

namespace yuccapick {

/// A version's row in the store's record.
struct RecordedVersion {
  SoftwareGroup group;
  /// The row was in the store by then; nullopt if that isn't known.
  std::optional<StoreTime> since;
  /// The row is older than each return of the store of which streams may still
  /// run.
  bool survived_returns = false;
};

/// A version with upstreams that take requests.
struct ServingVersion {
  SoftwareGroup group;
  Incarnation oldest;  ///< Of these upstreams.

  bool operator==(const ServingVersion&) const = default;
};

/// If the store comes back from an older copy and all gateways start at the
/// same time, a version that joined after the copy was made is in no row and in
/// no memory. Streams that it began would be taken for those of another
/// version. So a version begins streams only once its row is old enough to be
/// in any copy, unless no upstream of an older version serves. What has no such
/// row then began no streams.
///
/// All times are of the store, so that all gateways decide alike.
class VersionRecord {
 public:
  struct Options {
    /// The store loses nothing that is older than this when it comes back.
    std::chrono::milliseconds max_copy_age{10'000};
    /// A listed version has a row by then, and all gateways have read it.
    std::chrono::milliseconds recording_time{3'000};
  };

  VersionRecord() = default;
  explicit VersionRecord(Options options) : options_(options) {}

  // Commands.

  /// Takes over the rows of the current generation in place of the known ones.
  /// @param history_lost_until when the last stream has ended that may have
  ///   been begun before a return of the store, by a version that neither a row
  ///   nor a process remembers; nullopt without such streams
  void OnRead(const std::vector<RecordedVersion>& rows,
              std::optional<StoreTime> history_lost_until);
  /// The store has come back from a copy. Rows that any copy has stay known.
  /// @param answered_at last answer of the generation that has ended
  void OnNewGeneration(std::optional<StoreTime> answered_at);

  // Queries.

  /// True if the version's row is known with its time.
  bool IsTimed(const SoftwareGroup& group) const;
  /// Returns the versions of one service that may begin resumable streams.
  /// @param answered_at the store's last answer; nullopt without any
  std::vector<SoftwareGroup> Starters(
      const std::vector<ServingVersion>& serving,
      std::optional<StoreTime> answered_at) const;
  /// Returns the versions of one service that may have begun a stream of which
  /// nothing else is known.
  /// @param listed all that were listed within the lifetime of streams
  /// @param answered_at an answer of the store to a call that was sent after
  ///   the stream began
  std::vector<SoftwareGroup> PossibleOrigins(
      const std::vector<SoftwareGroup>& listed,
      std::optional<StoreTime> answered_at) const;
  /// @return the only possible origin; nullopt if there are several, or if one
  ///   that nobody remembers is possible
  std::optional<SoftwareGroup> OnlyOrigin(
      const std::vector<SoftwareGroup>& listed,
      std::optional<StoreTime> answered_at) const;
  /// Age of the version's row at a time; nullopt if that isn't known.
  std::optional<std::chrono::milliseconds> AgeOf(
      const SoftwareGroup& group, std::optional<StoreTime> at) const;
  std::optional<StoreTime> history_lost_until() const {
    return history_lost_until_;
  }

 private:
  std::optional<StoreTime> SinceOf(const SoftwareGroup& group) const;
  /// True if any copy from which the store may come back has the row.
  bool Outlasts(const SoftwareGroup& group,
                std::optional<StoreTime> answered_at) const;
  bool SurvivedReturns(const SoftwareGroup& group) const;

  Options options_;
  std::map<SoftwareGroup, RecordedVersion> rows_;
  std::optional<StoreTime> history_lost_until_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_VERSION_RECORD_H_
