#include "gateway/table_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/http_status.h"

namespace yuccapick {
namespace {}  // namespace

TableWatch::TableWatch(asio::io_context& loop, CallClient& client,
                       TableWatchOptions options, TableWatchHandler& handler)
    : loop_(loop),
      client_(client),
      options_(std::move(options)),
      handler_(handler),
      timer_(loop),
      pause_(options_.first_pause) {}

void TableWatch::Start() { Next(); }

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
  Next();
}

void TableWatch::OnPeerSnapshot(const TableSnapshot& snapshot) {
  handler_.OnTableRows(options_.table, mirror_.OnSnapshot(snapshot));
}

void TableWatch::Next() {
  if (stopped_) return;
  if (!read_due_) return Watch();
  reading_ = TableSnapshot();
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

std::optional<platform::RowsAnswer> TableWatch::Rows(
    const absl::StatusOr<CallAnswer>& answer) {
  if (!answer.ok()) {
    Failed(answer.status().message().data());
    return std::nullopt;
  }
  if (answer->status == kHttpGone) {
    Heard();
    read_due_ = true;
    After(std::chrono::milliseconds(0));
    return std::nullopt;
  }
  if (answer->status != kHttpOk) {
    Failed(fmt::format("status {}", answer->status));
    return std::nullopt;
  }
  absl::StatusOr<platform::RowsAnswer> rows =
      platform::DecodeRows(answer->body);
  if (!rows.ok()) {
    Failed(rows.status().message().data());
    return std::nullopt;
  }
  store_time_ = rows->store_time;
  return *std::move(rows);
}

void TableWatch::OnReadAnswer(const absl::StatusOr<CallAnswer>& answer) {
  const std::optional<platform::RowsAnswer> rows = Rows(answer);
  if (!rows) return;
  // Later pages may be newer than the first; what lies between is watched.
  if (reading_.rows.empty()) reading_.as_of = rows->as_of;
  for (const MirrorRow& row : rows->rows) reading_.rows.push_back(row);
  if (rows->has_more && !rows->rows.empty()) {
    return ReadAll(rows->rows.back().key + '\0');
  }
  read_due_ = false;
  Heard();
  handler_.OnTableRows(options_.table, mirror_.OnSnapshot(reading_));
  Next();
}

void TableWatch::Watch() {
  const std::uint64_t generation = ++generation_;
  auto self = shared_from_this();
  client_.Call(options_.endpoint,
               platform::EncodeWatchRows(options_.endpoint, options_.table,
                                         mirror_.as_of(), options_.wait),
               options_.wait + options_.slack,
               [self, generation](const absl::StatusOr<CallAnswer>& answer) {
                 if (generation != self->generation_) return;
                 self->OnWatchAnswer(answer);
               });
}

void TableWatch::OnWatchAnswer(const absl::StatusOr<CallAnswer>& answer) {
  const std::optional<platform::RowsAnswer> rows = Rows(answer);
  if (!rows) return;
  Heard();
  handler_.OnTableRows(options_.table,
                       mirror_.OnChanges(rows->rows, rows->as_of));
  After(rows->rows.empty() ? std::chrono::milliseconds(0) : options_.settle);
}

void TableWatch::Heard() {
  in_touch_ = true;
  pause_ = options_.first_pause;
  heard_at_ = std::chrono::steady_clock::now();
  handler_.OnTableHeard(options_.table);
}

void TableWatch::Failed(std::string_view reason) {
  in_touch_ = false;
  // A row may have changed and changed back meanwhile: read everything.
  read_due_ = true;
  handler_.OnTableLost(options_.table, reason);
  After(pause_);
  pause_ = std::min(pause_ * 2, options_.longest_pause);
}

void TableWatch::After(std::chrono::milliseconds pause) {
  ++generation_;
  timer_.expires_after(pause);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
    if (!ec) self->Next();
  });
}

}  // namespace yuccapick
