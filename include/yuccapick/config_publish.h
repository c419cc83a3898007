#ifndef YUCCAPICK_CONFIG_PUBLISH_H_
#define YUCCAPICK_CONFIG_PUBLISH_H_

/// @file
/// Puts a configuration into force by moving the head row from version n to
/// n+1.

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

/// What an operator wants in force.
struct PublishRequest {
  ConfigDocuments documents;  ///< Unused when rolling forward.
  std::string publish_id;     ///< Unique over all publishes.
  std::string operator_name;
  std::chrono::milliseconds published_at{0};  ///< Wall clock, since 1970.
  ConfigVersion base;     ///< Version the documents derive from; 0 takes the
                          ///< one in force at the start.
  ConfigVersion restore;  ///< Rolls forward to this version's content if set.
  bool dry_run = false;
  std::chrono::milliseconds deadline{30'000};
  std::uint64_t seed = 0;  ///< Of the back-off jitter.
};

enum class PublishOutcome : std::uint8_t {
  kPublished,
  kUnchanged,    ///< The content is in force already.
  kDryRun,       ///< `changes` says what would change.
  kConflict,     ///< Another operator was first; `winner` names the version.
  kInvalid,      ///< The request or a merge cannot be put into force.
  kUnavailable,  ///< The platform did not answer; nothing was published.
  kUnknown,      ///< The platform did not say whether it took effect.
};

struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnavailable;
  ConfigVersion version;  ///< In force afterwards, as far as is known.
  std::vector<ConfigChange> changes;
  bool merged = false;  ///< Another operator's changes were kept.
  std::optional<ConfigHead> winner;
  std::string message;  ///< Names the remedy unless it succeeded.
};

// Events.

/// Answer to `ReadRows`; absent rows are left out.
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
/// A `WaitUntil` has passed.
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

/// Publishes once. After `PublishFinished` it takes no more events.
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
  /// The index that would come into force.
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
  PublishActions TakeHead(const std::vector<TableRow>& rows);
  bool TakeNamedVersions(const std::vector<TableRow>& rows);
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
  bool have_base_ = false;
  Plan plan_;
  std::set<std::string> pending_;  ///< Hashes under way.
  std::set<std::string> stored_;
  ConfigVersion attempted_;    ///< Version of the last commit sent, or 0.
  bool may_have_run_ = false;  ///< The last commit's result is unknown.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_PUBLISH_H_
