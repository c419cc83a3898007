#include "gateway/store_client.h"

#include <fmt/format.h>

#include <utility>

#include "platform/table_calls.h"

namespace yuccapick {

void StoreClient::Call(const std::string& endpoint, std::string request,
                       std::chrono::milliseconds timeout, Done done) {
  calls_.Call(endpoint, std::move(request), timeout,
              [self = shared_from_this(), asked_in = generations_.current(),
               done = std::move(done)](absl::StatusOr<CallAnswer> answer) {
                if (self->stopped_) return;
                done(self->Judge(std::move(answer), asked_in));
              });
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
