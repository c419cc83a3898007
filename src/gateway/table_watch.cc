#include "gateway/table_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/http_status.h"

namespace yuccapick {

TableWatch::TableWatch(asio::io_context& loop, CallClient& client,
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
  ++generation_;
  timer_.cancel();
}

void TableWatch::Refresh() {
  if (stopped_) return;
  ++generation_;
  read_due_ = true;
  timer_.cancel();
  StartNextCall();
}

void TableWatch::OnPeerSnapshot(const TableSnapshot& snapshot) {
  handler_.OnTableRows(options_.table, mirror_.OnSnapshot(snapshot));
}

void TableWatch::StartNextCall() {
  if (stopped_) return;
  if (!read_due_) return Watch();
  partial_snapshot_ = TableSnapshot();
  ReadAll("");
}

void TableWatch::ReadAll(const std::string& from_key) {
  const std::uint64_t generation = ++generation_;
  auto self = shared_from_this();
  client_.Call(
      options_.endpoint,
      platform::EncodeReadRows(options_.endpoint, options_.table, from_key),
      options_.read_timeout,
      [self, generation](const absl::StatusOr<CallAnswer>& answer) {
        if (generation != self->generation_) return;
        self->OnReadAnswer(answer);
      });
}

std::optional<platform::RowsAnswer> TableWatch::ParseRows(
    const absl::StatusOr<CallAnswer>& answer) {
  if (!answer.ok()) {
    HandleFailure(answer.status().message().data());
    return std::nullopt;
  }
  if (answer->status == kHttpGone) {
    HandleAnswered();
    read_due_ = true;
    ScheduleNextCall(std::chrono::milliseconds(0));
    return std::nullopt;
  }
  if (answer->status != kHttpOk) {
    HandleFailure(fmt::format("status {}", answer->status));
    return std::nullopt;
  }
  absl::StatusOr<platform::RowsAnswer> rows =
      platform::DecodeRows(answer->body);
  if (!rows.ok()) {
    HandleFailure(rows.status().message().data());
    return std::nullopt;
  }
  store_times_.OnAnswer(*rows, BootTimeNow());
  return *std::move(rows);
}

void TableWatch::OnReadAnswer(const absl::StatusOr<CallAnswer>& answer) {
  const std::optional<platform::RowsAnswer> rows = ParseRows(answer);
  if (!rows) return;
  // Later pages may be newer than the first one. The watch starts from the
  // first page's version, so that no change in between is missed.
  if (partial_snapshot_.rows.empty()) partial_snapshot_.as_of = rows->as_of;
  for (const MirrorRow& row : rows->rows) partial_snapshot_.rows.push_back(row);
  if (rows->has_more && !rows->rows.empty()) {
    return ReadAll(rows->rows.back().key + '\0');
  }
  read_due_ = false;
  HandleAnswered();
  handler_.OnTableRows(options_.table, mirror_.OnSnapshot(partial_snapshot_));
  StartNextCall();
}

void TableWatch::Watch() {
  const std::uint64_t generation = ++generation_;
  auto self = shared_from_this();
  client_.Call(options_.endpoint,
               platform::EncodeWatchRows(options_.endpoint, options_.table,
                                         mirror_.as_of(), options_.watch_wait),
               options_.watch_wait + options_.answer_margin,
               [self, generation](const absl::StatusOr<CallAnswer>& answer) {
                 if (generation != self->generation_) return;
                 self->OnWatchAnswer(answer);
               });
}

void TableWatch::OnWatchAnswer(const absl::StatusOr<CallAnswer>& answer) {
  const std::optional<platform::RowsAnswer> rows = ParseRows(answer);
  if (!rows) return;
  HandleAnswered();
  handler_.OnTableRows(options_.table,
                       mirror_.OnChanges(rows->rows, rows->as_of));
  ScheduleNextCall(rows->rows.empty() ? std::chrono::milliseconds(0)
                                      : options_.batch_window);
}

void TableWatch::HandleAnswered() {
  reachable_ = true;
  backoff_ = options_.initial_backoff;
  answered_at_ = std::chrono::steady_clock::now();
  handler_.OnTableAnswered(options_.table);
}

void TableWatch::HandleFailure(std::string_view reason) {
  reachable_ = false;
  // A row may have changed and changed back meanwhile, so all rows are read
  // again.
  read_due_ = true;
  handler_.OnTableUnavailable(options_.table, reason);
  ScheduleNextCall(backoff_);
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
}

void TableWatch::ScheduleNextCall(std::chrono::milliseconds delay) {
  ++generation_;
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
    if (!ec) self->StartNextCall();
  });
}

}  // namespace yuccapick
