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
      options_.term * (1.0 - options_.drift));
}

std::chrono::nanoseconds Lease::ObserverTerm() const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      options_.term * (1.0 + options_.drift));
}

std::optional<LeaseAction> Lease::OnTick(TimePoint now) {
  if (busy_ || now < next_call_) return std::nullopt;
  if (leaving_ && !own_row_ && !read_due_) return std::nullopt;
  if (read_due_) {
    busy_ = true;
    return LeaseRead{};
  }
  const LeaseRow current = value_.value_or(LeaseRow());
  if (own_row_) {
    const std::string note = note_.value_or(current.note);
    if (leaving_) {
      return Write({"", Incarnation(), current.fence, 0, note}, now);
    }
    const bool renewed = IsHeld(now) && now < sent_at_ + options_.renew_every;
    if (renewed && note == current.note) return std::nullopt;
    return Write(
        {options_.holder, options_.incarnation, current.fence, 0, note}, now);
  }
  const bool free = row_.version == 0 || current.holder.empty();
  const bool lapsed =
      observed_since_ && now - *observed_since_ >= ObserverTerm();
  const bool own_past =
      options_.holder_name_is_unique && current.holder == options_.holder;
  if (free || lapsed || own_past) return Acquire(current, now);
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
  sent_ = next;
  sent_at_ = now;
  busy_ = true;
  LeaseCommit commit;
  commit.transaction.checks = {{options_.key, row_.version}};
  commit.transaction.puts = {{options_.key, SerialiseLease(next)}};
  // While a hand-back is under way the holder must not act any more.
  if (next.holder.empty()) valid_until_ = TimePoint();
  return commit;
}

void Lease::Observe(const TableRow& row, TimePoint now) {
  if (!observed_since_ || row.version != row_.version) observed_since_ = now;
  row_ = row;
  value_ = row.version == 0 ? std::nullopt : ParseLease(row.value);
  own_row_ = value_ && value_->holder == options_.holder &&
             value_->incarnation == options_.incarnation;
  if (!own_row_) valid_until_ = TimePoint();
  const bool heard =
      value_ && heard_ == LeaseWrite{value_->fence, value_->write};
  if (heard) observed_since_ = std::min(*observed_since_, heard_at_);
}

void Lease::OnWriteReported(const LeaseWrite& write, TimePoint now) {
  if (write <= heard_) return;
  heard_ = write;
  heard_at_ = now;
}

void Lease::OnRead(const std::optional<TableRow>& row, TimePoint now) {
  busy_ = false;
  next_call_ = now + options_.retry_every;
  if (!row) return;
  read_due_ = false;
  Observe(*row, now);
  // A write whose answer was lost took effect: its term began when it was sent.
  const bool settled = own_row_ && value_ == sent_;
  if (settled) {
    valid_until_ = sent_at_ + HolderTerm();
    confirmed_ = {sent_.fence, sent_.write};
  }
  const bool note_due = own_row_ && note_ && *note_ != value_->note;
  if (note_due) next_call_ = now;
}

void Lease::OnCommitted(const CommitResult& result, TimePoint now) {
  busy_ = false;
  next_call_ = now + options_.retry_every;
  read_due_ = true;
  if (result.result != WriteResult::kApplied) return;
  // The row's new version is not told; the read that follows learns it.
  if (sent_.holder.empty()) {
    own_row_ = false;
    return;
  }
  own_row_ = true;
  valid_until_ = sent_at_ + HolderTerm();
  confirmed_ = {sent_.fence, sent_.write};
}

void Lease::SetNote(std::string note) {
  if (leaving_ || note_ == note) return;
  note_ = std::move(note);
  next_call_ = TimePoint();
}

void Lease::Release(std::string note) {
  if (!leaving_) note_ = std::move(note);
  leaving_ = true;
}

FencingToken Lease::fence(TimePoint now) const {
  return IsHeld(now) ? sent_.fence : FencingToken();
}

}  // namespace yuccapick
