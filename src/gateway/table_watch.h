#ifndef YUCCAPICK_GATEWAY_TABLE_WATCH_H_
#define YUCCAPICK_GATEWAY_TABLE_WATCH_H_

/// @file
/// Mirrors one table of the store: reads all rows, then long-polls for changes.

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "gateway/store_client.h"
#include "gateway/store_times.h"
#include "platform/table_calls.h"
#include "yuccapick/ids.h"
#include "yuccapick/table_mirror.h"

namespace yuccapick {

struct TableWatchOptions {
  std::string endpoint;  ///< Of the store.
  std::string table;
  /// How long the store may hold a long poll without a change.
  std::chrono::milliseconds watch_wait{5'000};
  /// Time beyond `watch_wait` after which a long poll without an answer fails.
  std::chrono::milliseconds answer_margin{900};
  std::chrono::milliseconds read_timeout{800};
  std::chrono::milliseconds initial_backoff{150};
  std::chrono::milliseconds max_backoff{600};
  /// Time limit of a check.
  std::chrono::milliseconds check_timeout{500};
  /// Delay of the next long poll after a change, so that it returns the changes
  /// of that time in one answer.
  std::chrono::milliseconds batch_window{40};
};

/// An answer after which the copy of the table was current.
struct TableAnswer {
  StoreTime store_time;
  TimePoint sent_at;     ///< When the call was sent.
  bool changed = false;  ///< It brought changes.
};

/// Callbacks of `TableWatch`.
class TableWatchHandler {
 public:
  virtual ~TableWatchHandler() = default;
  /// Rows that changed, including removed ones; may be empty.
  virtual void OnTableRows(const std::string& table,
                           const std::vector<MirrorRow>& changes) = 0;
  /// The store came back from an older copy. What was written since the copy
  /// may be missing, and may be written again.
  /// @param changes rows of the copy that differ from those known before
  virtual void OnTableRestored(const std::string& table,
                               const std::vector<MirrorRow>& changes) = 0;
  /// A call failed; called for each failure.
  /// @param sent_at when the call was sent
  virtual void OnTableUnavailable(const std::string& table, TimePoint sent_at,
                                  std::string_view reason) = 0;
  /// A call was answered; called for each answer.
  virtual void OnTableAnswered(const std::string& table) = 0;
  /// The copy of the table was current when the store answered.
  virtual void OnTableCurrent(const std::string& /*table*/,
                              const TableAnswer& /*answer*/) {}
  /// A check ended.
  /// @param answer nullopt if it failed
  virtual void OnTableChecked(const std::string& /*table*/,
                              const std::optional<TableAnswer>& /*answer*/) {}
  virtual void OnPollOpened(const std::string& /*table*/) {}
  /// The long poll was answered, failed, or was given up.
  virtual void OnPollEnded(const std::string& /*table*/) {}
};

/// Used on one event loop. Calls in flight keep it alive.
class TableWatch : public std::enable_shared_from_this<TableWatch> {
 public:
  /// @param store_times learns from the answers
  TableWatch(asio::io_context& loop, StoreClient& client,
             StoreTimes& store_times, TableWatchOptions options,
             TableWatchHandler& handler);

  void Start();
  void Stop();
  /// Reads the whole table now and drops any call in flight, for example if a
  /// peer has newer rows or the connection seems silent.
  void Refresh();
  /// Drops a call in flight whose answer would not be of this generation, and
  /// reads the whole table, unless that was done.
  void CatchUpWith(StoreGeneration generation);
  /// Reads the changes at once, beside the open long poll. An answer that is
  /// arriving serves as the check's.
  void Check();
  /// Cancels a check that is under way if the answer to another call has begun
  /// to arrive since: it serves as the check's, and both would bring the same
  /// changes over the same link. To be called now and then.
  void DropRedundantCheck();
  /// Gives up the open long poll, reads the changes at once, and opens another
  /// one. A poll whose answer is arriving goes on.
  /// @return false if nothing was done
  bool Renew();
  /// The copy is known to be current, from a check or from a peer. A long poll
  /// without an answer that was opened before is no sign of an outage.
  void OnConfirmed();
  /// The store is known to answer: waits no longer after a failure.
  void OnStoreAnswers();
  /// Spreads the calls after failures, since all gateways make them then.
  void SetGatewayCount(std::size_t n) { gateway_count_ = n; }
  /// Sets `TableWatchOptions::batch_window`.
  void SetBatchWindow(std::chrono::milliseconds batch_window) {
    options_.batch_window = batch_window;
  }
  /// Takes over the newer rows of a peer's copy of the table.
  void OnPeerSnapshot(const TableSnapshot& snapshot);
  /// The table's newest change was `version` at a local time.
  void OnNewestChangeKnown(std::uint64_t version, TimePoint at);

  const TableMirror& mirror() const { return mirror_; }
  /// True while the last call was answered.
  bool reachable() const { return reachable_; }
  TimePoint answered_at() const { return answered_at_; }
  TimePoint poll_opened_at() const { return poll_opened_at_; }
  /// @return how far the answer that is being received has arrived; null if
  ///   none is
  const CallProgress* ArrivingAnswer() const;

 private:
  void StartNextCall();
  void ReadAll(const std::string& from_key);
  void OnReadAnswer(const absl::StatusOr<StoreAnswer>& answer);
  void Watch();
  /// @param after position from which changes were asked for
  void OnWatchAnswer(const TablePosition& after,
                     const absl::StatusOr<StoreAnswer>& answer);
  /// Applies a poll's answer and schedules the next call.
  /// @return nullopt if the answer holds no rows
  std::optional<TableAnswer> ApplyPollAnswer(
      const TablePosition& after, const absl::StatusOr<StoreAnswer>& answer);
  /// Reads the changes since the copy, then opens a long poll.
  void ReadChanges();
  /// Calls for the changes since the copy, without waiting for any.
  CallHandle CallForChanges(StoreClient::Done done);
  void OnCheckAnswer(const TablePosition& after,
                     const absl::StatusOr<StoreAnswer>& answer,
                     TimePoint sent_at);
  void OnChangesAnswer(const TablePosition& after,
                       const absl::StatusOr<StoreAnswer>& answer,
                       TimePoint sent_at);
  void EndPoll();
  /// Ends the check that waits for an answer, if there is one.
  void EndCheck(const std::optional<TableAnswer>& answer);
  /// Cancels the poll, renewal or read under way.
  /// @return number of the next call
  std::uint64_t DropCall();
  /// @return the rows; OutOfRange if the whole table must be read
  absl::StatusOr<platform::RowsAnswer> Decode(
      const absl::StatusOr<StoreAnswer>& answer);
  /// Decodes an answer and handles its failure.
  /// @return nullopt if the answer holds no rows
  std::optional<platform::RowsAnswer> ParseRows(
      const absl::StatusOr<StoreAnswer>& answer, TimePoint sent_at);
  /// @param rows changes after `after`, in the same generation
  TableAnswer ApplyChanges(const TablePosition& after,
                           const platform::RowsAnswer& rows, TimePoint sent_at);
  void TakeSnapshot(const TableSnapshot& snapshot);
  void HandleAnswered();
  void HandleFailure(TimePoint sent_at, std::string_view reason);
  /// @return a random time up to `per_gateway` for each gateway
  std::chrono::milliseconds Spread(std::chrono::milliseconds per_gateway);
  void ScheduleNextCall(std::chrono::milliseconds delay);

  asio::io_context& loop_;
  StoreClient& client_;
  StoreTimes& store_times_;
  TableWatchOptions options_;
  TableWatchHandler& handler_;
  asio::steady_timer timer_;
  TableMirror mirror_;
  TableSnapshot partial_snapshot_;
  StoreTime partial_store_time_;
  TimePoint snapshot_at_;     ///< When the last snapshot was taken over.
  std::uint64_t calls_ = 0;   ///< Answers to older calls are dropped.
  bool read_due_ = true;      ///< Before anything else, all rows are read.
  bool changes_due_ = false;  ///< Before the next poll, changes are read.
  bool reachable_ = false;
  bool stopped_ = false;
  std::chrono::milliseconds backoff_;
  TimePoint answered_at_;
  std::size_t gateway_count_ = 1;
  absl::InsecureBitGen random_;
  CallHandle call_;   ///< Poll, renewal or read under way, or the last one.
  CallHandle check_;  ///< The last one that was sent.
  bool check_awaits_answer_ = false;  ///< Of `call_`.
  bool poll_open_ = false;
  bool backing_off_ = false;  ///< Waits after a failure.
  TimePoint poll_opened_at_;
  TimePoint read_sent_at_;
  TimePoint confirmed_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_TABLE_WATCH_H_
