#ifndef YUCCAPICK_GATEWAY_STORE_CLIENT_H_
#define YUCCAPICK_GATEWAY_STORE_CLIENT_H_

/// @file
/// Calls to the store, whose answers are judged by the store's generation.

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "gateway/call_client.h"
#include "gateway/log_sink.h"
#include "yuccapick/store_generation.h"

namespace yuccapick {

/// An answer of the store's newest known generation.
struct StoreAnswer {
  int status = 0;
  std::string body;
  StoreGeneration generation;
};

/// Used on one event loop. Calls in flight keep it alive.
class StoreClient : public std::enable_shared_from_this<StoreClient> {
 public:
  using Done = std::function<void(absl::StatusOr<StoreAnswer>)>;

  /// @param calls must outlive this object, like `log`
  StoreClient(CallClient& calls, LogSink& log) : calls_(calls), log_(log) {}

  /// Later answers are dropped.
  void Stop() { stopped_ = true; }
  /// @param on_change called with each newer generation, before the answer that
  ///   named it is passed on
  void SetOnChange(std::function<void(StoreGeneration)> on_change) {
    on_change_ = std::move(on_change);
  }
  /// Like `CallClient::Call`. An answer of an earlier generation, or without a
  /// sound one, becomes the error Unknown.
  CallHandle Call(const std::string& endpoint, std::string request,
                  std::chrono::milliseconds timeout, Done done);

  const StoreGenerations& generations() const { return generations_; }
  /// What was received since the start.
  struct Counters {
    std::uint64_t body_bytes = 0;    ///< Of all answers.
    std::uint64_t broken_off = 0;    ///< Answers that ended in their middle.
    std::uint64_t wasted_bytes = 0;  ///< Of the bodies of these.
  };
  const Counters& counters() const { return counters_; }

 private:
  /// @param target of the request
  void RecordCall(const std::string& target, const CallProgress& progress,
                  const absl::StatusOr<CallAnswer>& answer);
  absl::StatusOr<StoreAnswer> Judge(absl::StatusOr<CallAnswer> answer,
                                    StoreGeneration asked_in);

  CallClient& calls_;
  LogSink& log_;
  StoreGenerations generations_;
  std::function<void(StoreGeneration)> on_change_ = [](StoreGeneration) {};
  Counters counters_;
  bool stopped_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STORE_CLIENT_H_
