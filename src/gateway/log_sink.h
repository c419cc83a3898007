#ifndef YUCCAPICK_GATEWAY_LOG_SINK_H_
#define YUCCAPICK_GATEWAY_LOG_SINK_H_

/// @file
/// Bounded log output that never blocks the event loop.

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Kinds of lines. Each has its own rate limit, so that many lines of one kind
/// don't displace the others.
enum class LogKind : std::uint8_t {
  kLifecycle,    ///< Start, stop, dependencies lost and regained.
  kStateChange,  ///< Changes of configuration, membership and leases.
  kFailure,      ///< Requests that failed or were refused.
  kRequest,      ///< Routing and completion of other requests.
  kCount,
};

struct LogSinkOptions {
  int fd = 1;  ///< Standard output.
  std::size_t max_buffered_bytes = 131'072;
  /// Sustained rate of each kind; a burst may use two seconds of it.
  std::array<double, static_cast<std::size_t>(LogKind::kCount)>
      bytes_per_second{10'000, 15'000, 15'000, 20'000};
};

/// Buffers lines and writes them when that doesn't block. Lines over a limit
/// are dropped and counted.
class LogSink {
 public:
  explicit LogSink(LogSinkOptions options = {});

  /// Appends `time=… <text>`.
  template <typename... Args>
  void Write(LogKind kind, TimePoint now, fmt::format_string<Args...> format,
             Args&&... args) {
    Append(kind, now, fmt::format(format, std::forward<Args>(args)...));
  }

  /// Writes as much of the buffer as possible without blocking.
  void Flush(TimePoint now);

  std::uint64_t dropped() const { return dropped_total_; }
  std::uint64_t written_bytes() const { return written_bytes_; }

 private:
  struct Budget {
    double bytes = 0;
    TimePoint refilled_at;
    std::uint64_t dropped = 0;
  };

  void Append(LogKind kind, TimePoint now, std::string_view text);
  bool ConsumeBudget(LogKind kind, TimePoint now, std::size_t bytes);
  void ReportDropped(TimePoint now);

  LogSinkOptions options_;
  std::array<Budget, static_cast<std::size_t>(LogKind::kCount)> budgets_;
  std::string buffer_;
  bool closed_ = false;
  std::uint64_t dropped_total_ = 0;
  std::uint64_t dropped_reported_ = 0;
  std::uint64_t written_bytes_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_LOG_SINK_H_
