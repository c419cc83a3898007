#include "gateway/table_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/http_status.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Spreads the calls of all gateways in an outage: three tables are 500 calls a
/// second.
constexpr milliseconds kRetrySpreadPerGateway{6};
/// Spreads the long polls that are opened after an outage.
constexpr milliseconds kReopenSpreadPerGateway{2};

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

TableWatch::TableWatch(asio::io_context& loop, StoreClient& client,
                       StoreTimes& store_times, TableWatchOptions options,
                       TableWatchHandler& handler)
    : loop_(loop),
      client_(client),
      store_times_(store_times),
      options_(std::move(options)),
      handler_(handler),
      timer_(loop),
      backoff_(options_.initial_backoff) {}

void TableWatch::Start() { StartNextCall(); }

void TableWatch::Stop() {
  stopped_ = true;
  DropCall();
  timer_.cancel();
}

std::uint64_t TableWatch::DropCall() {
  call_.Cancel();
  return ++calls_;
}

void TableWatch::Refresh() {
  if (stopped_) return;
  DropCall();
  EndPoll();
  EndCheck(std::nullopt);
  read_due_ = true;
  timer_.cancel();
  StartNextCall();
}

void TableWatch::EndCheck(const std::optional<TableAnswer>& answer) {
  if (!std::exchange(check_awaits_answer_, false)) return;
  handler_.OnTableChecked(options_.table, answer);
}

void TableWatch::Check() {
  if (call_.IsArriving()) {
    check_awaits_answer_ = true;
    return;
  }
  check_ = CallForChanges(
      [self = shared_from_this(), after = mirror_.position(),
       sent_at = Now()](const absl::StatusOr<StoreAnswer>& answer) {
        if (!self->stopped_) self->OnCheckAnswer(after, answer, sent_at);
      });
}

void TableWatch::DropRedundantCheck() {
  const bool under_way = check_.progress != nullptr && !check_.progress->ended;
  if (!under_way || !call_.IsArriving()) return;
  check_.Cancel();
  check_awaits_answer_ = true;
}

bool TableWatch::Renew() {
  if (stopped_ || !poll_open_ || call_.IsArriving()) return false;
  EndPoll();
  ReadChanges();
  return true;
}

void TableWatch::ReadChanges() {
  const std::uint64_t call = DropCall();
  call_ = CallForChanges(
      [self = shared_from_this(), call, after = mirror_.position(),
       sent_at = Now()](const absl::StatusOr<StoreAnswer>& answer) {
        if (call != self->calls_) return;
        self->OnChangesAnswer(after, answer, sent_at);
      });
}

void TableWatch::CatchUpWith(StoreGeneration generation) {
  const bool reading = read_due_ && partial_snapshot_.generation == generation;
  if (mirror_.generation() < generation && !reading) Refresh();
}

void TableWatch::OnConfirmed() { confirmed_at_ = Now(); }

void TableWatch::OnStoreAnswers() {
  if (stopped_ || !backing_off_ || mirror_.as_of() == 0) return;
  changes_due_ = false;  // The poll brings them at once.
  const milliseconds delay = Spread(kReopenSpreadPerGateway);
  if (Now() + delay < timer_.expiry()) ScheduleNextCall(delay);
}

CallHandle TableWatch::CallForChanges(StoreClient::Done done) {
  return client_.Call(
      options_.endpoint,
      platform::EncodeWatchRows(options_.endpoint, options_.table,
                                mirror_.as_of(), milliseconds(0)),
      options_.check_timeout, std::move(done));
}

const CallProgress* TableWatch::ArrivingAnswer() const {
  return call_.IsArriving() ? call_.progress.get() : nullptr;
}

void TableWatch::OnCheckAnswer(const TablePosition& after,
                               const absl::StatusOr<StoreAnswer>& answer,
                               TimePoint sent_at) {
  const absl::StatusOr<platform::RowsAnswer> rows = Decode(answer);
  if (!rows.ok()) {
    if (absl::IsOutOfRange(rows.status())) {
      // A read under way would begin again with each check.
      if (!read_due_ || backing_off_) Refresh();
    } else {
      reachable_ = false;
      handler_.OnTableUnavailable(options_.table, sent_at,
                                  rows.status().message().data());
    }
    return handler_.OnTableChecked(options_.table, std::nullopt);
  }
  if (answer->generation != after.generation) {
    CatchUpWith(answer->generation);
    return handler_.OnTableChecked(options_.table, std::nullopt);
  }
  answered_at_ = Now();
  reachable_ = true;
  handler_.OnTableAnswered(options_.table);
  const TableAnswer checked = ApplyChanges(after, *rows, sent_at);
  OnConfirmed();
  OnStoreAnswers();
  handler_.OnTableChecked(options_.table, checked);
}

void TableWatch::OnChangesAnswer(const TablePosition& after,
                                 const absl::StatusOr<StoreAnswer>& answer,
                                 TimePoint sent_at) {
  const std::optional<platform::RowsAnswer> rows = ParseRows(answer, sent_at);
  if (!rows) return;
  HandleAnswered();
  if (answer->generation != after.generation) return Refresh();
  EndCheck(ApplyChanges(after, *rows, sent_at));
  ScheduleNextCall(Spread(kReopenSpreadPerGateway));
}

TableAnswer TableWatch::ApplyChanges(const TablePosition& after,
                                     const platform::RowsAnswer& rows,
                                     TimePoint sent_at) {
  const std::vector<MirrorRow> changes =
      mirror_.OnChanges({rows.rows, after, {after.generation, rows.as_of}});
  handler_.OnTableRows(options_.table, changes);
  const TableAnswer answer{rows.store_time, sent_at, !changes.empty()};
  handler_.OnTableCurrent(options_.table, answer);
  return answer;
}

void TableWatch::EndPoll() {
  if (!poll_open_) return;
  poll_open_ = false;
  handler_.OnPollEnded(options_.table);
}

void TableWatch::OnNewestChangeKnown(std::uint64_t version, TimePoint at) {
  if (at >= snapshot_at_) mirror_.OnNewestChangeKnown(version);
}

void TableWatch::OnPeerSnapshot(const TableSnapshot& snapshot) {
  TakeSnapshot(snapshot);
}

void TableWatch::TakeSnapshot(const TableSnapshot& snapshot) {
  snapshot_at_ = Now();
  const bool read_before = mirror_.as_of() > 0;
  const bool restored =
      read_before && snapshot.generation > mirror_.generation();
  const std::vector<MirrorRow> changes = mirror_.OnSnapshot(snapshot);
  if (restored) return handler_.OnTableRestored(options_.table, changes);
  handler_.OnTableRows(options_.table, changes);
}

void TableWatch::StartNextCall() {
  if (stopped_) return;
  backing_off_ = false;
  const bool changes_due = std::exchange(changes_due_, false);
  if (!read_due_) return changes_due ? ReadChanges() : Watch();
  partial_snapshot_ = TableSnapshot();
  read_sent_at_ = Now();
  ReadAll("");
}

void TableWatch::ReadAll(const std::string& from_key) {
  const std::uint64_t call = DropCall();
  auto self = shared_from_this();
  call_ = client_.Call(
      options_.endpoint,
      platform::EncodeReadRows(options_.endpoint, options_.table, from_key),
      options_.read_timeout,
      [self, call](const absl::StatusOr<StoreAnswer>& answer) {
        if (call != self->calls_) return;
        self->OnReadAnswer(answer);
      });
}

absl::StatusOr<platform::RowsAnswer> TableWatch::Decode(
    const absl::StatusOr<StoreAnswer>& answer) {
  if (!answer.ok()) return answer.status();
  if (answer->status == kHttpGone) {
    return absl::OutOfRangeError("the version is too old");
  }
  if (answer->status != kHttpOk) {
    return absl::UnavailableError(fmt::format("status {}", answer->status));
  }
  absl::StatusOr<platform::RowsAnswer> rows =
      platform::DecodeRows(answer->body);
  if (rows.ok()) {
    store_times_.OnAnswer(*rows, answer->generation, BootTimeNow());
  }
  return rows;
}

std::optional<platform::RowsAnswer> TableWatch::ParseRows(
    const absl::StatusOr<StoreAnswer>& answer, TimePoint sent_at) {
  absl::StatusOr<platform::RowsAnswer> rows = Decode(answer);
  if (rows.ok()) return *std::move(rows);
  if (absl::IsOutOfRange(rows.status())) {
    HandleAnswered();
    EndCheck(std::nullopt);
    read_due_ = true;
    ScheduleNextCall(milliseconds(0));
    return std::nullopt;
  }
  HandleFailure(sent_at, rows.status().message().data());
  return std::nullopt;
}

void TableWatch::OnReadAnswer(const absl::StatusOr<StoreAnswer>& answer) {
  const std::optional<platform::RowsAnswer> rows =
      ParseRows(answer, read_sent_at_);
  if (!rows) return;
  // Later pages may be newer than the first one. The watch starts from the
  // first page's version, so that no change in between is missed.
  const bool first_page = partial_snapshot_.rows.empty();
  if (!first_page && partial_snapshot_.generation != answer->generation) {
    return Refresh();
  }
  if (first_page) {
    partial_snapshot_.as_of = rows->as_of;
    partial_store_time_ = rows->store_time;
  }
  partial_snapshot_.generation = answer->generation;
  for (const MirrorRow& row : rows->rows) partial_snapshot_.rows.push_back(row);
  if (rows->has_more && !rows->rows.empty()) {
    return ReadAll(rows->rows.back().key + '\0');
  }
  read_due_ = false;
  HandleAnswered();
  TakeSnapshot(partial_snapshot_);
  const TableAnswer answered{partial_store_time_, read_sent_at_, true};
  handler_.OnTableCurrent(options_.table, answered);
  EndCheck(answered);
  StartNextCall();
}

void TableWatch::Watch() {
  const std::uint64_t call = DropCall();
  const TablePosition after = mirror_.position();
  poll_open_ = true;
  poll_opened_at_ = Now();
  handler_.OnPollOpened(options_.table);
  auto self = shared_from_this();
  call_ = client_.Call(
      options_.endpoint,
      platform::EncodeWatchRows(options_.endpoint, options_.table,
                                after.version, options_.watch_wait),
      options_.watch_wait + options_.answer_margin,
      [self, call, after](const absl::StatusOr<StoreAnswer>& answer) {
        if (call != self->calls_) return;
        self->OnWatchAnswer(after, answer);
      });
}

void TableWatch::OnWatchAnswer(const TablePosition& after,
                               const absl::StatusOr<StoreAnswer>& answer) {
  EndPoll();
  EndCheck(ApplyPollAnswer(after, answer));
}

std::optional<TableAnswer> TableWatch::ApplyPollAnswer(
    const TablePosition& after, const absl::StatusOr<StoreAnswer>& answer) {
  const bool lost = absl::IsDeadlineExceeded(answer.status());
  if (lost && confirmed_at_ > poll_opened_at_) {
    ScheduleNextCall(Spread(kReopenSpreadPerGateway));
    return std::nullopt;
  }
  const std::optional<platform::RowsAnswer> rows =
      ParseRows(answer, poll_opened_at_);
  if (!rows) return std::nullopt;
  HandleAnswered();
  if (answer->generation < mirror_.generation()) {
    HandleFailure(poll_opened_at_, "older generation than a peer's copy");
    return std::nullopt;
  }
  if (answer->generation > after.generation) {
    Refresh();
    return std::nullopt;
  }
  const TableAnswer applied = ApplyChanges(after, *rows, poll_opened_at_);
  ScheduleNextCall(rows->rows.empty() ? milliseconds(0)
                                      : options_.batch_window);
  return applied;
}

void TableWatch::HandleAnswered() {
  reachable_ = true;
  backoff_ = options_.initial_backoff;
  answered_at_ = std::chrono::steady_clock::now();
  handler_.OnTableAnswered(options_.table);
}

void TableWatch::HandleFailure(TimePoint sent_at, std::string_view reason) {
  reachable_ = false;
  changes_due_ = true;
  handler_.OnTableUnavailable(options_.table, sent_at, reason);
  EndCheck(std::nullopt);
  ScheduleNextCall(backoff_ + Spread(kRetrySpreadPerGateway));
  backing_off_ = true;
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
}

milliseconds TableWatch::Spread(milliseconds per_gateway) {
  const auto longest =
      per_gateway.count() * static_cast<milliseconds::rep>(gateway_count_);
  return milliseconds(
      absl::Uniform<milliseconds::rep>(random_, 0, longest + 1));
}

void TableWatch::ScheduleNextCall(milliseconds delay) {
  DropCall();
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
    if (!ec) self->StartNextCall();
  });
}

}  // namespace yuccapick
