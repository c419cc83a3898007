#include "gateway/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace yuccapick {
namespace {

/// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kAtomicWriteBytes = 4'096;
constexpr double kBurstSeconds = 2.0;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool IsWritable(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

LogSink::LogSink(LogSinkOptions options) : options_(options) {
  for (std::size_t i = 0; i < budgets_.size(); ++i) {
    budgets_[i].bytes = options_.bytes_per_second[i] * kBurstSeconds;
  }
}

bool LogSink::ConsumeBudget(LogKind kind, TimePoint now, std::size_t bytes) {
  const auto i = static_cast<std::size_t>(kind);
  Budget& budget = budgets_[i];
  const double rate = options_.bytes_per_second[i];
  const std::chrono::duration<double> elapsed = now - budget.refilled_at;
  budget.refilled_at = now;
  budget.bytes = std::min(rate * kBurstSeconds,
                          budget.bytes + rate * std::max(elapsed.count(), 0.0));
  if (budget.bytes < static_cast<double>(bytes)) return false;
  budget.bytes -= static_cast<double>(bytes);
  return true;
}

void LogSink::Append(LogKind kind, TimePoint now, std::string_view text) {
  if (closed_ || buffer_.size() + text.size() > options_.max_buffered_bytes ||
      !ConsumeBudget(kind, now, text.size())) {
    ++dropped_total_;
    return;
  }
  buffer_ += fmt::format("time={} {}\n", UnixMilliseconds(), text);
}

void LogSink::ReportDropped(TimePoint now) {
  if (dropped_total_ == dropped_reported_) return;
  const std::uint64_t dropped = dropped_total_ - dropped_reported_;
  dropped_reported_ = dropped_total_;
  Write(LogKind::kLifecycle, now, "event=log_lines_dropped count={}", dropped);
}

void LogSink::Flush(TimePoint now) {
  ReportDropped(now);
  std::size_t sent = 0;
  while (sent < buffer_.size() && !closed_ && IsWritable(options_.fd)) {
    const std::size_t n = std::min(kAtomicWriteBytes, buffer_.size() - sent);
    const ssize_t written = ::write(options_.fd, buffer_.data() + sent, n);
    if (written < 0 && (errno == EAGAIN || errno == EINTR)) break;
    if (written <= 0) {
      closed_ = true;
      break;
    }
    sent += static_cast<std::size_t>(written);
  }
  written_bytes_ += sent;
  buffer_.erase(0, sent);
  if (closed_) buffer_.clear();
}

}  // namespace yuccapick
