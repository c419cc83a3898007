#include "yuccapick/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace yuccapick {
namespace {

using Json = nlohmann::json;

}  // namespace

std::string SerialiseLease(const LeaseRow& row) {
  return Json{{"holder", row.holder},
              {"life", row.incarnation.value},
              {"fence", row.fence.value},
              {"write", row.write},
              {"note", row.note}}
      .dump();
}

std::optional<LeaseRow> ParseLease(const std::string& bytes) {
  try {
    const Json json = Json::parse(bytes);
    return LeaseRow{
        json.at("holder"), Incarnation(json.at("life").get<std::uint64_t>()),
        FencingToken(json.at("fence").get<std::uint64_t>()),
        json.at("write").get<std::uint64_t>(), json.value("note", "")};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::chrono::nanoseconds Lease::HolderTerm() const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      options_.term * (1.0 - options_.max_clock_drift));
}

std::chrono::nanoseconds Lease::ObserverTerm() const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      options_.term * (1.0 + options_.max_clock_drift));
}

std::optional<LeaseAction> Lease::OnTick(TimePoint now) {
  if (busy_ || now < next_call_at_) return std::nullopt;
  if (releasing_ && !owns_row_ && !read_needed_) return std::nullopt;
  if (read_needed_) {
    busy_ = true;
    return LeaseRead{};
  }
  const LeaseRow current = lease_row_.value_or(LeaseRow());
  if (owns_row_) {
    const std::string note = note_.value_or(current.note);
    if (releasing_) {
      return Write({"", Incarnation(), current.fence, 0, note}, now);
    }
    const bool renewed =
        IsHeld(now) && now < last_write_at_ + options_.renew_every;
    if (renewed && note == current.note) return std::nullopt;
    return Write(
        {options_.holder, options_.incarnation, current.fence, 0, note}, now);
  }
  const bool unheld = table_row_.version == 0 || current.holder.empty();
  const bool expired =
      observed_since_ && now - *observed_since_ >= ObserverTerm();
  const bool own_previous_incarnation =
      options_.holder_name_is_unique && current.holder == options_.holder;
  if (unheld || expired || own_previous_incarnation) {
    return Acquire(current, now);
  }
  busy_ = true;
  return LeaseRead{};
}

LeaseAction Lease::Acquire(const LeaseRow& current, TimePoint now) {
  predecessor_ = current.holder;
  predecessor_note_ = current.note;
  note_.reset();
  return Write({options_.holder, options_.incarnation, current.fence.Next(), 0,
                current.note},
               now);
}

LeaseAction Lease::Write(LeaseRow next, TimePoint now) {
  next.write = ++writes_;
  last_write_ = next;
  last_write_at_ = now;
  busy_ = true;
  LeaseCommit commit;
  commit.transaction.checks = {{options_.key, table_row_.version}};
  commit.transaction.puts = {{options_.key, SerialiseLease(next)}};
  // The holder must not act any more once the release is sent.
  if (next.holder.empty()) valid_until_ = TimePoint();
  return commit;
}

void Lease::Observe(const TableRow& row, TimePoint now) {
  if (!observed_since_ || row.version != table_row_.version) {
    observed_since_ = now;
  }
  table_row_ = row;
  lease_row_ = row.version == 0 ? std::nullopt : ParseLease(row.value);
  owns_row_ = lease_row_ && lease_row_->holder == options_.holder &&
              lease_row_->incarnation == options_.incarnation;
  if (!owns_row_) valid_until_ = TimePoint();
  const bool reported =
      lease_row_ &&
      reported_write_ == LeaseWrite{lease_row_->fence, lease_row_->write};
  if (reported) observed_since_ = std::min(*observed_since_, reported_at_);
}

void Lease::OnWriteReported(const LeaseWrite& write, TimePoint now) {
  if (write <= reported_write_) return;
  reported_write_ = write;
  reported_at_ = now;
}

void Lease::OnRead(const std::optional<TableRow>& row, TimePoint now) {
  busy_ = false;
  next_call_at_ = now + options_.retry_every;
  if (!row) return;
  read_needed_ = false;
  Observe(*row, now);
  // A write without a response took effect: its term began when it was sent.
  const bool write_applied = owns_row_ && lease_row_ == last_write_;
  if (write_applied) {
    valid_until_ = last_write_at_ + HolderTerm();
    confirmed_write_ = {last_write_.fence, last_write_.write};
  }
  const bool note_due = owns_row_ && note_ && *note_ != lease_row_->note;
  if (note_due) next_call_at_ = now;
}

void Lease::OnCommitted(const CommitResult& result, TimePoint now) {
  busy_ = false;
  next_call_at_ = now + options_.retry_every;
  read_needed_ = true;
  if (result.result != WriteResult::kApplied) return;
  // The response does not contain the row's new version; the next read gets it.
  if (last_write_.holder.empty()) {
    owns_row_ = false;
    return;
  }
  owns_row_ = true;
  valid_until_ = last_write_at_ + HolderTerm();
  confirmed_write_ = {last_write_.fence, last_write_.write};
}

void Lease::SetNote(std::string note) {
  if (releasing_ || note_ == note) return;
  note_ = std::move(note);
  next_call_at_ = TimePoint();
}

void Lease::Release(std::string note) {
  if (!releasing_) note_ = std::move(note);
  releasing_ = true;
}

FencingToken Lease::fence(TimePoint now) const {
  return IsHeld(now) ? last_write_.fence : FencingToken();
}

}  // namespace yuccapick
