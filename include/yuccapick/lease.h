#ifndef YUCCAPICK_LEASE_H_
#define YUCCAPICK_LEASE_H_

/// @file
/// A lease over one row of the table service, with a fencing token.

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/table.h"

namespace yuccapick {

/// The lease's row. Its version changes with each renewal.
struct LeaseRow {
  std::string holder;       ///< Empty after it was handed back.
  Incarnation incarnation;  ///< Of the holder.
  FencingToken fence;       ///< Rises with each new holder.
  std::uint64_t write = 0;  ///< Tells the writes of one holder apart.
  std::string note;         ///< From this holder to the next.

  bool operator==(const LeaseRow&) const = default;
};

/// Names one write of a lease's row.
struct LeaseWrite {
  FencingToken fence;
  std::uint64_t write = 0;

  auto operator<=>(const LeaseWrite&) const = default;
};

std::string SerialiseLease(const LeaseRow& row);
/// @return nothing if the bytes are no lease row
std::optional<LeaseRow> ParseLease(const std::string& bytes);

struct LeaseOptions {
  std::string key;          ///< Of the row.
  std::string holder;       ///< Name of this process.
  Incarnation incarnation;  ///< Of this process.
  std::chrono::milliseconds term{3'000};
  std::chrono::milliseconds renew_every{1'000};
  std::chrono::milliseconds retry_every{300};
  /// Clocks of two processes drift apart by at most this share. A holder counts
  /// its term shorter by it, an observer longer.
  double drift = 0.02;
  /// At most one process bears `holder` at any time: an earlier life of it has
  /// ended, and its lease may be taken at once.
  bool holder_name_is_unique = false;
};

/// Reads the lease's row.
struct LeaseRead {};
struct LeaseCommit {
  TableTransaction transaction;
};
using LeaseAction = std::variant<LeaseRead, LeaseCommit>;

/// Acquires, renews and hands back one lease. It reads no wall clock: an
/// observer takes over only after the row stayed the same for a whole term of
/// its own steady clock, and a holder counts its term from before it sent the
/// write that began it. One call is under way at a time.
class Lease {
 public:
  explicit Lease(LeaseOptions options) : options_(std::move(options)) {}

  // Commands. Each returns the next call to make, if one is due.

  std::optional<LeaseAction> OnTick(TimePoint now);
  /// @param row as read; version 0 if absent; nothing if the read failed
  void OnRead(const std::optional<TableRow>& row, TimePoint now);
  void OnCommitted(const CommitResult& result, TimePoint now);
  /// The holder told that `write` is in the row. Its term began before, so an
  /// observer counts from here if it reads the same row later.
  void OnWriteReported(const LeaseWrite& write, TimePoint now);
  /// What the next holder has to know if this one dies. A holder writes it at
  /// once; until a holder has set one, its predecessor's note stays.
  void SetNote(std::string note);
  /// Gives the lease up, or stops trying for it.
  /// @param note what the next holder has to know
  void Release(std::string note = {});

  // Queries.

  /// The last-moment check: true if the holder may act right now.
  bool IsHeld(TimePoint now) const { return now < valid_until_; }
  /// Fencing token of the term held; zero if none is.
  FencingToken fence(TimePoint now) const;
  /// Who held the lease before the term that this process acquired; empty if
  /// nobody did, or if it was handed back.
  const std::string& predecessor() const { return predecessor_; }
  /// What that holder, or one before it, left.
  const std::string& predecessor_note() const { return predecessor_note_; }
  /// This process's last write that is known to be in the row, for others to
  /// hear of.
  const LeaseWrite& confirmed_write() const { return confirmed_; }
  /// True while a call's answer is awaited.
  bool busy() const { return busy_; }
  /// True once a lease that was handed back cannot be this process's any more.
  bool released() const { return leaving_ && !busy_ && !own_row_; }

 private:
  void Observe(const TableRow& row, TimePoint now);
  LeaseAction Acquire(const LeaseRow& current, TimePoint now);
  LeaseAction Write(LeaseRow next, TimePoint now);
  std::chrono::nanoseconds HolderTerm() const;
  std::chrono::nanoseconds ObserverTerm() const;

  LeaseOptions options_;
  bool busy_ = false;
  bool leaving_ = false;
  bool read_due_ = true;  ///< The row is unknown, or a write's result is.
  TimePoint next_call_;
  std::optional<TimePoint> observed_since_;  ///< Of the row's version.
  TableRow row_;
  std::optional<LeaseRow> value_;
  bool own_row_ = false;  ///< The row as last seen names this process.
  std::string predecessor_;
  std::string predecessor_note_;
  std::optional<std::string> note_;  ///< To be in the row.
  std::uint64_t writes_ = 0;
  LeaseWrite heard_;  ///< Newest write of any holder heard of.
  TimePoint heard_at_;
  LeaseWrite confirmed_;
  LeaseRow sent_;  ///< Last write.
  TimePoint sent_at_;
  TimePoint valid_until_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LEASE_H_
