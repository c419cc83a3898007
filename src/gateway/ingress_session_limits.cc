#include <algorithm>

#include "gateway/http_status.h"
#include "gateway/ingress_session.h"

namespace yuccapick {
namespace {

/// After the last answer, input is read and discarded for this long: closing
/// with unread input would reset the connection, and the caller could lose the
/// answer.
constexpr std::chrono::milliseconds kLingerTimeout{1'000};
/// Buffers of at most this size are kept when they are empty.
constexpr std::size_t kMaxKeptBytes = 1'024;
/// Limit on the unsent bytes of an answer that is streamed.
constexpr std::size_t kMaxStreamedUnsentBytes = 4'194'304;
/// Under memory pressure, messages that move slower may be ended. Callers with
/// the slowest usual links are faster.
constexpr std::size_t kSlowBytesPerSecond = 16'384;
/// Messages that hold less are not worth ending.
constexpr std::size_t kMinEndedBytes = 16'384;
/// Windows of progress are this many idle timeouts, so that a caller that is
/// never idle for long has time to end a short message.
constexpr int kIdleTimeoutsPerWindow = 2;

}  // namespace

std::size_t IngressSession::ConnectionBytes() const {
  const std::size_t head = reader_.head_done() ? 0 : reader_.head_memory();
  return unparsed_.capacity() + output_.capacity() + head;
}

void IngressSession::CountMemory() {
  if (closed_) return held_.Release();
  if (unparsed_.empty() && unparsed_.capacity() > kMaxKeptBytes) {
    std::string().swap(unparsed_);
  }
  if (output_.empty() && output_.capacity() > kMaxKeptBytes) {
    std::string().swap(output_);
  }
  held_.Set(ConnectionBytes());
}

void IngressSession::CheckHeadMemory() {
  const bool in_head = receiving() && !reader_.head_done();
  if (!in_head || held_.Resize(ConnectionBytes())) return;
  Refuse(kHttpUnavailable, "out of memory for requests",
         {{"Retry-After", std::string(kMemoryRetryAfter)}});
}

bool IngressSession::output_full() const {
  const auto budget = handler_.request_memory();
  const std::size_t allowed =
      budget == nullptr ? kMaxStreamedUnsentBytes : budget->AnswerAllowance();
  return unsent_bytes() >=
         std::clamp(allowed, kMinUnsentBytes, kMaxStreamedUnsentBytes);
}

void IngressSession::CheckTimeouts(TimePoint now) {
  if (closed_) return;
  const CallerLimits limits = handler_.limits();
  const ProgressRule rule{handler_.min_bytes_per_second(),
                          limits.idle_timeout * kIdleTimeoutsPerWindow};
  const bool slow_input = received_.IsTooSlow(rule, now) && receiving();
  const bool slow_output = sent_.IsTooSlow(rule, now) && unsent_bytes() > 0;
  if (slow_input || slow_output) return EndSlowMessage("too slow");
  if (in_request_) {
    const bool idle = now - last_active_ >= limits.idle_timeout;
    if (unsent_bytes() > 0 && idle) EndSlowMessage("answer not taken");
    return;
  }
  if (lingering_) {
    if (now - message_started_at_ >= kLingerTimeout) Close();
    return;
  }
  const bool receiving = !reader_.at_start();
  if (receiving && request_.head.method.empty() &&
      now - message_started_at_ >= limits.header_timeout) {
    return Refuse(kHttpRequestTimeout, "header timeout");
  }
  if (now - last_active_ >= limits.idle_timeout) {
    if (!output_.empty()) return Abort();
    if (receiving) return Refuse(kHttpRequestTimeout, "idle timeout");
    BeginLingeringClose();
  }
}

void IngressSession::EndSlowMessage(std::string_view cause) {
  handler_.OnCallerEnded(cause, held_bytes());
  if (unsent_bytes() > 0 || !receiving()) return Abort();
  Refuse(kHttpRequestTimeout, cause);
}

std::optional<TimePoint> IngressSession::idle_since() const {
  if (closed_) return std::nullopt;
  if (lingering_) return TimePoint::min();
  if (busy() || receiving()) return std::nullopt;
  return last_active_;
}

void IngressSession::CloseIdle() {
  handler_.OnCallerEnded("connection limit", held_bytes());
  Close();
}

std::optional<double> IngressSession::SlowProgress() const {
  if (closed_ || lingering_ || held_bytes() < kMinEndedBytes) {
    return std::nullopt;
  }
  const bool sending = unsent_bytes() > 0;
  if (!sending && !receiving()) return std::nullopt;
  const std::size_t moved =
      sending ? sent_.recent_bytes() : received_.recent_bytes();
  const std::chrono::duration<double> window = ProgressMeter::kRecentWindow;
  if (static_cast<double>(moved) >= kSlowBytesPerSecond * window.count()) {
    return std::nullopt;
  }
  return static_cast<double>(moved) / static_cast<double>(held_bytes());
}

}  // namespace yuccapick
