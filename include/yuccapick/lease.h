#ifndef YUCCAPICK_LEASE_H_
#define YUCCAPICK_LEASE_H_

/// @file
/// A lease stored in one row of the table service, with a fencing token.

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/store_generation.h"
#include "yuccapick/table.h"

namespace yuccapick {

/// Bits of a fencing token that count the holders in one generation of the
/// store. The generation takes the bits above, 52 in all, so that the token is
/// exact as a double, too.
inline constexpr int kFenceCountBits = 32;

/// @return the token of the first holder in a generation; higher than all
/// tokens of earlier generations
constexpr FencingToken FirstFence(StoreGeneration generation) {
  return FencingToken((generation.value << kFenceCountBits) + 1);
}

/// Value of the lease's row. The row's version changes with each renewal.
struct LeaseRow {
  std::string holder;       ///< Empty after a release.
  Incarnation incarnation;  ///< Of the holder.
  FencingToken fence;       ///< Increases with each new holder.
  std::uint64_t write = 0;  ///< Sequence number of the holder's write.
  std::string note;         ///< For the next holder.

  bool operator==(const LeaseRow&) const = default;
};

/// Identifies one write to a lease's row.
struct LeaseWrite {
  FencingToken fence;
  std::uint64_t write = 0;

  auto operator<=>(const LeaseWrite&) const = default;
};

std::string SerialiseLease(const LeaseRow& row);
/// @return nothing if the bytes are not a valid lease row
std::optional<LeaseRow> ParseLease(const std::string& bytes);

struct LeaseOptions {
  /// Key of the lease's row; in later generations of the store than zero, the
  /// number of the generation is appended to it.
  std::string key;
  std::string holder;       ///< Name of this process.
  Incarnation incarnation;  ///< Of this process.
  std::chrono::milliseconds term{3'000};
  std::chrono::milliseconds renew_every{1'000};
  std::chrono::milliseconds retry_every{300};
  /// Interval at which a process that doesn't hold the lease reads the row.
  std::chrono::milliseconds observe_every{300};
  /// Bound on the relative rate difference of two processes' clocks. A holder
  /// shortens its term by this fraction, an observer lengthens it.
  double max_clock_drift = 0.02;
  /// At most one process uses the name `holder` at any time, so a lease held by
  /// an earlier incarnation of it may be taken over at once.
  bool holder_name_is_unique = false;
};

/// Asks the caller to read the lease's row.
struct LeaseRead {};
/// Asks the caller to commit a transaction.
struct LeaseCommit {
  TableTransaction transaction;
};
using LeaseAction = std::variant<LeaseRead, LeaseCommit>;

/// Acquires, renews and releases one lease. No wall clock is involved: an
/// observer takes over only after the row has not changed for a whole term of
/// its own steady clock, and a holder's term starts before it sends the write
/// that begins it. At most one call is in progress at a time.
///
/// Each generation of the store has a row of its own, which doesn't exist when
/// the generation begins. So a write that was meant for an earlier generation
/// can't replace a holder of the present one, whatever row versions it checks.
/// The holder of the earlier generation may act until its term ends, so the
/// first one of a generation waits for a whole term. It gets no note.
class Lease {
 public:
  explicit Lease(LeaseOptions options) : options_(std::move(options)) {}

  // Commands.

  /// @return the next call to make, if one is due
  std::optional<LeaseAction> OnTick(TimePoint now);
  /// @param row the row, with version 0 if it is absent; nothing if the read
  /// failed
  void OnRead(const std::optional<TableRow>& row, TimePoint now);
  void OnCommitted(const CommitResult& result, TimePoint now);
  /// An answer of the store named a generation. If it is newer, the lease is
  /// not held any more, and the result of a call in progress will be ignored.
  /// @param next_call_at time of the first call in the new generation
  void OnGeneration(StoreGeneration generation, TimePoint next_call_at);
  /// Sets `LeaseOptions::observe_every`.
  void SetObserveInterval(std::chrono::milliseconds interval) {
    options_.observe_every = interval;
  }
  /// The holder reported that `write` is in the row. If a later read finds the
  /// same write, the observer counts the term from this report, which the
  /// holder sent after its term began.
  void OnWriteReported(const LeaseWrite& write, TimePoint now);
  /// Sets the note for the next holder, in case this one dies. A holder writes
  /// it at once. The predecessor's note stays until a new one is set.
  void SetNote(std::string note);
  /// Releases the lease, or stops trying to acquire it.
  /// @param note for the next holder
  void Release(std::string note = {});

  // Queries.

  /// True if this process holds the lease at `now`. Check it immediately before
  /// each action that requires the lease.
  bool IsHeld(TimePoint now) const { return now < valid_until_; }
  /// Fencing token of the current term, or zero if the lease is not held.
  FencingToken fence(TimePoint now) const;
  /// Holder of the lease before this process acquired it. Empty if there was
  /// none or it released the lease.
  const std::string& predecessor() const { return predecessor_; }
  /// Note of that holder or of an earlier one.
  const std::string& predecessor_note() const { return predecessor_note_; }
  /// This process's last write that is known to be in the row, to be reported
  /// to other processes.
  const LeaseWrite& confirmed_write() const { return confirmed_write_; }
  /// Key of the lease's row.
  std::string RowKey() const;
  /// True while a call is in progress.
  bool busy() const { return busy_; }
  /// True once the lease was released and the row cannot name this process any
  /// more.
  bool released() const { return releasing_ && !busy_ && !owns_row_; }

 private:
  void Observe(const TableRow& row, TimePoint now);
  LeaseAction Acquire(const LeaseRow& current, TimePoint now);
  LeaseAction Write(LeaseRow next, TimePoint now);
  std::chrono::milliseconds CallInterval() const;
  /// True if, as far as the last read tells, the lease may be acquired.
  bool MayAcquire(TimePoint now) const;
  /// True if the last read is recent enough to write without another one.
  bool ReadIsFresh(TimePoint now) const;
  std::chrono::nanoseconds HolderTerm() const;
  std::chrono::nanoseconds ObserverTerm() const;

  LeaseOptions options_;
  StoreGeneration generation_;
  bool busy_ = false;
  bool call_is_void_ = false;  ///< The call belongs to an earlier generation.
  bool releasing_ = false;
  bool read_needed_ = true;  ///< The row or a write's result is unknown.
  TimePoint next_call_at_;
  TimePoint last_read_at_;
  /// Time since which the row's version has not changed.
  std::optional<TimePoint> observed_since_;
  TableRow table_row_;
  std::optional<LeaseRow> lease_row_;
  bool owns_row_ = false;  ///< The last known row names this process.
  std::string predecessor_;
  std::string predecessor_note_;
  std::optional<std::string> note_;  ///< To be written to the row.
  std::uint64_t writes_ = 0;
  LeaseWrite reported_write_;  ///< Newest write reported by a holder.
  TimePoint reported_at_;
  LeaseWrite confirmed_write_;
  LeaseRow last_write_;  ///< Sent by this process.
  TimePoint last_write_at_;
  TimePoint valid_until_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LEASE_H_
