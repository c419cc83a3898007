#ifndef YUCCAPICK_GATEWAY_TABLE_WATCH_H_
#define YUCCAPICK_GATEWAY_TABLE_WATCH_H_

/// @file
/// Mirrors one table of the store: reads all rows, then long-polls for changes.

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "gateway/call_client.h"
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
  /// Delay of the next long poll after a change, so that it returns the changes
  /// of that time in one answer.
  std::chrono::milliseconds batch_window{40};
};

/// Callbacks of `TableWatch`.
class TableWatchHandler {
 public:
  virtual ~TableWatchHandler() = default;
  /// Rows that changed, including removed ones; may be empty.
  virtual void OnTableRows(const std::string& table,
                           const std::vector<MirrorRow>& changes) = 0;
  /// A call failed; called for each failure.
  virtual void OnTableUnavailable(const std::string& table,
                                  std::string_view reason) = 0;
  /// A call was answered; called for each answer.
  virtual void OnTableAnswered(const std::string& table) = 0;
};

/// Used on one event loop. Calls in flight keep it alive.
class TableWatch : public std::enable_shared_from_this<TableWatch> {
 public:
  /// @param store_times learns from the answers
  TableWatch(asio::io_context& loop, CallClient& client,
             StoreTimes& store_times, TableWatchOptions options,
             TableWatchHandler& handler);

  void Start();
  void Stop();
  /// Reads the whole table now and drops any call in flight, for example if a
  /// peer has newer rows or the connection seems silent.
  void Refresh();
  /// Sets `TableWatchOptions::batch_window`.
  void SetBatchWindow(std::chrono::milliseconds batch_window) {
    options_.batch_window = batch_window;
  }
  /// Takes over the newer rows of a peer's copy of the table.
  void OnPeerSnapshot(const TableSnapshot& snapshot);

  const TableMirror& mirror() const { return mirror_; }
  /// True while the last call was answered.
  bool reachable() const { return reachable_; }
  TimePoint answered_at() const { return answered_at_; }

 private:
  void StartNextCall();
  void ReadAll(const std::string& from_key);
  void OnReadAnswer(const absl::StatusOr<CallAnswer>& answer);
  void Watch();
  void OnWatchAnswer(const absl::StatusOr<CallAnswer>& answer);
  /// Decodes an answer and handles its failure.
  /// @return nullopt if the answer holds no rows
  std::optional<platform::RowsAnswer> ParseRows(
      const absl::StatusOr<CallAnswer>& answer);
  void HandleAnswered();
  void HandleFailure(std::string_view reason);
  void ScheduleNextCall(std::chrono::milliseconds delay);

  asio::io_context& loop_;
  CallClient& client_;
  StoreTimes& store_times_;
  TableWatchOptions options_;
  TableWatchHandler& handler_;
  asio::steady_timer timer_;
  TableMirror mirror_;
  TableSnapshot partial_snapshot_;
  std::uint64_t generation_ = 0;  ///< Answers to older calls are dropped.
  bool read_due_ = true;
  bool reachable_ = false;
  bool stopped_ = false;
  std::chrono::milliseconds backoff_;
  TimePoint answered_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_TABLE_WATCH_H_
