#include "yuccapick/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
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

std::string Lease::RowKey() const {
  if (generation_ == StoreGeneration()) return options_.key;
  return options_.key + "/" + std::to_string(generation_.value);
}

std::chrono::milliseconds Lease::CallInterval() const {
  return owns_row_ ? options_.retry_every : options_.observe_every;
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
  if (MayAcquire(now) && ReadIsFresh(now)) return Acquire(current, now);
  busy_ = true;
  return LeaseRead{};
}

bool Lease::MayAcquire(TimePoint now) const {
  const bool expired =
      observed_since_ && now - *observed_since_ >= ObserverTerm();
  // Without a row, a holder of an earlier generation may still act.
  const bool first_generation = generation_ == StoreGeneration();
  if (table_row_.version == 0) return expired || first_generation;
  const LeaseRow current = lease_row_.value_or(LeaseRow());
  const bool own_previous_incarnation =
      options_.holder_name_is_unique && current.holder == options_.holder;
  return expired || current.holder.empty() || own_previous_incarnation;
}

bool Lease::ReadIsFresh(TimePoint now) const {
  return now - last_read_at_ < options_.term / 2;
}

LeaseAction Lease::Acquire(const LeaseRow& current, TimePoint now) {
  predecessor_ = current.holder;
  predecessor_note_ = current.note;
  note_.reset();
  const FencingToken fence =
      std::max(current.fence.Next(), FirstFence(generation_));
  return Write({options_.holder, options_.incarnation, fence, 0, current.note},
               now);
}

LeaseAction Lease::Write(LeaseRow next, TimePoint now) {
  next.write = ++writes_;
  last_write_ = next;
  last_write_at_ = now;
  busy_ = true;
  LeaseCommit commit;
  commit.transaction.checks = {{RowKey(), table_row_.version}};
  commit.transaction.puts = {{RowKey(), SerialiseLease(next)}};
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

void Lease::OnGeneration(StoreGeneration generation, TimePoint next_call_at) {
  if (generation <= generation_) return;
  generation_ = generation;
  call_is_void_ = busy_;
  read_needed_ = true;
  observed_since_.reset();
  table_row_ = TableRow();
  lease_row_.reset();
  owns_row_ = false;
  last_write_ = LeaseRow();
  valid_until_ = TimePoint();
  next_call_at_ = next_call_at;
}

void Lease::OnRead(const std::optional<TableRow>& row, TimePoint now) {
  busy_ = false;
  if (std::exchange(call_is_void_, false)) return;
  next_call_at_ = now + CallInterval();
  if (!row) return;
  read_needed_ = false;
  last_read_at_ = now;
  Observe(*row, now);
  next_call_at_ = now + CallInterval();
  if (!owns_row_ && !releasing_ && MayAcquire(now)) next_call_at_ = now;
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
  if (std::exchange(call_is_void_, false)) return;
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
