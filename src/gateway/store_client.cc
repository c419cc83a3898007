#include "gateway/store_client.h"

#include <fmt/format.h>

#include <utility>

#include "platform/table_calls.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Answers that are larger, or take longer to arrive, are logged.
constexpr std::size_t kLoggedBytes = 65'536;
constexpr milliseconds kLoggedReceivingTime{100};

/// @return the target in the request's first line
std::string TargetOf(const std::string& request) {
  const std::size_t from = request.find(' ') + 1;
  return request.substr(from, request.find(' ', from) - from);
}

milliseconds Milliseconds(TimePoint::duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

CallHandle StoreClient::Call(const std::string& endpoint, std::string request,
                             milliseconds timeout, Done done) {
  std::string target = TargetOf(request);
  return calls_.Call(
      endpoint, std::move(request), timeout,
      [self = shared_from_this(), asked_in = generations_.current(),
       target = std::move(target), done = std::move(done)](
          absl::StatusOr<CallAnswer> answer, const CallProgress& progress) {
        if (self->stopped_) return;
        self->RecordCall(target, progress, answer);
        done(self->Judge(std::move(answer), asked_in));
      });
}

void StoreClient::RecordCall(const std::string& target,
                             const CallProgress& progress,
                             const absl::StatusOr<CallAnswer>& answer) {
  counters_.body_bytes += progress.body_bytes;
  const bool broken_off = !answer.ok() && progress.first_byte_at;
  if (broken_off) {
    ++counters_.broken_off;
    counters_.wasted_bytes += progress.body_bytes;
  }
  const milliseconds receiving = Milliseconds(progress.ReceivingTime());
  if (!broken_off && progress.body_bytes < kLoggedBytes &&
      receiving < kLoggedReceivingTime) {
    return;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  log_.Write(LogKind::kStateChange, now,
             "event=store_answer_received target={} bytes={} receiving_ms={} "
             "since_call_ms={} outcome=\"{}\"",
             target, progress.body_bytes, receiving.count(),
             Milliseconds(now - progress.began_at).count(),
             answer.ok() ? "complete" : answer.status().message().data());
}

absl::StatusOr<StoreAnswer> StoreClient::Judge(
    absl::StatusOr<CallAnswer> answer, StoreGeneration asked_in) {
  if (!answer.ok()) return answer.status();
  const GenerationMark mark = platform::DecodeGeneration(answer->fields);
  const StoreGeneration before = generations_.current();
  const bool known = generations_.known();
  const GenerationVerdict verdict = generations_.OnAnswer(mark, asked_in);
  const StoreGeneration current = generations_.current();
  if (!IsUsable(verdict)) {
    const char* name = GenerationVerdictName(verdict);
    log_.Write(LogKind::kFailure, std::chrono::steady_clock::now(),
               "event=store_answer_dropped generation={} current={} reason={}",
               mark.generation.value_or(StoreGeneration()).value, current.value,
               name);
    return absl::UnknownError(
        fmt::format("the answer's generation of the store is {}", name));
  }
  if (verdict == GenerationVerdict::kNewer) {
    log_.Write(LogKind::kLifecycle, std::chrono::steady_clock::now(),
               "event=store_generation generation={} before={} changed={}",
               current.value, before.value, known);
    on_change_(current);
  }
  return StoreAnswer{answer->status, std::move(answer->body), current};
}

}  // namespace yuccapick
