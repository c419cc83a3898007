#ifndef YUCCAPICK_STREAM_ORIGINS_H_
#define YUCCAPICK_STREAM_ORIGINS_H_

/// @file
/// Which software version began each stream.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Identifies a stream by the caller's attempt that got its first event.
using StreamId = NumericId<struct StreamIdTag>;

/// @param attempt_id the attempt's id as the caller sent it
StreamId StreamIdOf(std::string_view attempt_id);

/// A service's upstreams of one software version.
struct SoftwareGroup {
  ServiceId service;
  SoftwareVersion software;

  auto operator<=>(const SoftwareGroup&) const = default;
};

/// Streams that were begun by one software version.
struct StreamOriginReport {
  SoftwareGroup group;
  std::vector<StreamId> streams;

  bool operator==(const StreamOriginReport&) const = default;
};

/// What software versions of one service write doesn't fit together, so a
/// stream may continue only at the version that began it. While a service has
/// several versions, gateways tell each other where their streams began.
class StreamOrigins {
 public:
  struct Options {
    /// Streams are forgotten after this time to twice this time.
    std::chrono::milliseconds lifetime{30'000};
  };

  StreamOrigins() = default;
  explicit StreamOrigins(Options options) : options_(options) {}

  // Commands.

  /// Streams may run, and be resumed, for this long.
  void OnStreamTimeLimit(std::chrono::milliseconds limit);
  /// An upstream of this group is listed.
  void OnListed(const SoftwareGroup& group, TimePoint now);
  /// These groups were listed lately, as the store's record says; any that were
  /// listed before this process began to listen are among them.
  void OnHistory(const std::vector<SoftwareGroup>& recorded, TimePoint now);
  /// The list was not followed for a while. Until the record is read again,
  /// groups may be unknown that were listed meanwhile.
  void OnGap(TimePoint now);
  /// This process passed on the first event of a stream.
  /// @param split its route has several services, so that peers need its origin
  ///   even if each service has one version
  void OnBegan(StreamId stream, const SoftwareGroup& group, bool split,
               TimePoint now);
  void OnPeerReport(const StreamOriginReport& report, TimePoint now);
  /// The store has these origins. They may be of a version that left long ago.
  void OnSaved(const StreamOriginReport& report, TimePoint now);
  /// Returns origins that peers need and have not been told.
  /// @param limit the most streams to return; later calls return the others
  std::vector<StreamOriginReport> TakeUnreported(std::size_t limit,
                                                 TimePoint now);

  // Queries.

  /// True if no group is unknown that was listed within `lifetime`, up to the
  /// last change of the list that this process has read, but for what the
  /// store lost when it came back from an older copy (see `VersionRecord`).
  bool KnowsHistory(TimePoint now) const;
  /// Returns the groups that were listed within `lifetime`.
  std::vector<SoftwareGroup> Listed(TimePoint now) const;
  /// Returns those of one service.
  std::vector<SoftwareGroup> ListedOf(const ServiceId& service,
                                      TimePoint now) const;
  /// True if the service had several software versions within `lifetime`.
  bool IsMixed(const ServiceId& service, TimePoint now) const;
  /// @return nullopt if it is not known
  std::optional<SoftwareGroup> Find(StreamId stream) const;
  std::chrono::milliseconds lifetime() const { return options_.lifetime; }
  std::size_t size() const { return current_.size() + previous_.size(); }

 private:
  using GroupIndex = std::uint32_t;
  using Streams = absl::flat_hash_map<std::uint64_t, GroupIndex>;
  struct Unreported {
    StreamId stream;
    GroupIndex group;
    bool split;
    TimePoint began_at;
  };

  GroupIndex IndexOf(const SoftwareGroup& group);
  void Add(StreamId stream, GroupIndex group, TimePoint now);
  void Expire(TimePoint now);

  Options options_;
  std::vector<SoftwareGroup> groups_;
  std::map<SoftwareGroup, TimePoint> listed_at_;
  std::optional<TimePoint> listening_since_;
  bool history_known_ = false;
  TimePoint current_since_;
  Streams current_;
  Streams previous_;
  std::vector<Unreported> unreported_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STREAM_ORIGINS_H_
