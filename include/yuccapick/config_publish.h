#ifndef YUCCAPICK_CONFIG_PUBLISH_H_
#define YUCCAPICK_CONFIG_PUBLISH_H_

/// @file
/// Publishes a configuration by advancing the head row from version n to n+1.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/config_documents.h"
#include "yuccapick/config_head.h"
#include "yuccapick/table.h"

namespace yuccapick {

/// Configuration that an operator publishes.
struct PublishRequest {
  ConfigDocuments documents;  ///< Ignored if `restore` is set.
  std::string publish_id;     ///< Unique among all publishes.
  std::string operator_name;
  std::chrono::milliseconds published_at{0};  ///< Wall clock, since 1970.
  ConfigVersion base;  ///< Version that the documents are based on; 0 means
                       ///< the active version when the publish starts.
  /// If set, publishes the content of this version again as a new version.
  ConfigVersion restore;
  bool dry_run = false;
  std::chrono::milliseconds deadline{30'000};
  std::uint64_t seed = 0;  ///< For the backoff jitter.
};

enum class PublishOutcome : std::uint8_t {
  kPublished,
  kUnchanged,    ///< The content is already active.
  kDryRun,       ///< `changes` lists what would change.
  kConflict,     ///< Another operator published first; see `winner`.
  kInvalid,      ///< The request refers to a missing version, or the
                 ///< head row cannot be parsed.
  kUnavailable,  ///< The platform did not answer; nothing was published.
  kUnknown,      ///< The commit may or may not have taken effect.
};

struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnavailable;
  ConfigVersion version;  ///< Last known active version.
  std::vector<ConfigChange> changes;
  bool merged = false;  ///< Changes of another operator were merged in.
  std::optional<ConfigHead> winner;
  std::string message;  ///< On failure, states the cause and the remedy.
};

// Events.

/// Response to `ReadRows`. Absent rows are omitted.
struct RowsRead {
  bool available = false;
  std::vector<TableRow> rows;
};
struct ObjectFetched {
  std::string hash;
  absl::StatusOr<std::string> content;
};
struct ObjectStored {
  std::string hash;
  bool ok = false;
};
struct RowsCommitted {
  CommitResult result;
};
/// The time of a `WaitUntil` has come.
struct WaitElapsed {};
using PublishEvent = std::variant<RowsRead, ObjectFetched, ObjectStored,
                                  RowsCommitted, WaitElapsed>;

// Actions.

struct ReadRows {
  std::vector<std::string> keys;
};
struct FetchObject {
  std::string hash;
};
struct StoreObject {
  std::string hash;
  std::string content;
};
struct CommitRows {
  TableTransaction transaction;
};
struct WaitUntil {
  TimePoint when;
};
struct PublishFinished {
  PublishResult result;
};
using PublishAction = std::variant<ReadRows, FetchObject, StoreObject,
                                   CommitRows, WaitUntil, PublishFinished>;
using PublishActions = std::vector<PublishAction>;

/// State machine of one publish. Events after `PublishFinished` are ignored.
class ConfigPublisher {
 public:
  explicit ConfigPublisher(PublishRequest request);

  PublishActions Start(TimePoint now);
  PublishActions Handle(const PublishEvent& event, TimePoint now);

 private:
  enum class State : std::uint8_t {
    kReading,
    kFetching,
    kStoring,
    kCommitting,
    kDone
  };
  /// The index to be published.
  struct Plan {
    ConfigIndex index;
    std::vector<ConfigChange> changes;
    bool merged = false;
  };

  PublishActions On(const RowsRead& event, TimePoint now);
  PublishActions On(const ObjectFetched& event, TimePoint now);
  PublishActions On(const ObjectStored& event, TimePoint now);
  PublishActions On(const RowsCommitted& event, TimePoint now);
  PublishActions On(const WaitElapsed& event, TimePoint now);

  PublishActions Read();
  PublishActions OnHeadRead(const std::vector<TableRow>& rows);
  bool ResolveRequestedVersions(const std::vector<TableRow>& rows);
  PublishActions FetchMissing(const std::set<std::string>& hashes);
  PublishActions MakePlan();
  PublishActions CheckMerge();
  PublishActions Store();
  PublishActions Commit();
  PublishActions Retry(TimePoint now);
  PublishActions Finish(PublishResult result);
  PublishActions Fail(PublishOutcome outcome, std::string message);
  PublishActions Conflict(const std::string& document);
  ConfigIndex IndexOf(const std::string& hash) const;
  ConfigHead NextHead() const;

  PublishRequest request_;
  std::mt19937_64 random_;
  State state_ = State::kReading;
  TimePoint deadline_;
  std::uint32_t failures_ = 0;
  ConfigContents contents_;
  std::optional<ConfigHead> base_;
  std::optional<ConfigHead> restored_;
  ConfigHead head_;
  std::uint64_t head_row_version_ = 0;
  bool base_resolved_ = false;
  Plan plan_;
  std::set<std::string> pending_;  ///< Hashes being fetched or stored.
  std::set<std::string> stored_;
  ConfigVersion attempted_;         ///< Version of the last commit sent, or 0.
  bool commit_unresolved_ = false;  ///< A commit's result is unknown.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_PUBLISH_H_
