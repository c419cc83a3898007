#ifndef YUCCAPICK_GATEWAY_CALL_CLIENT_H_
#define YUCCAPICK_GATEWAY_CALL_CLIENT_H_

/// @file
/// Short HTTP calls to the table service, to peers and to upstreams. The whole
/// answer is buffered.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "gateway/http_connection_pool.h"
#include "yuccapick/memory_budget.h"

namespace yuccapick {

/// How far the answer to a call has arrived.
struct CallProgress {
  TimePoint began_at;
  /// When the first and the last byte of the answer so far arrived; nullopt
  /// before.
  std::optional<TimePoint> first_byte_at;
  std::optional<TimePoint> last_byte_at;
  std::size_t body_bytes = 0;  ///< Of the answer.
  bool ended = false;

  /// True while the answer is being received.
  bool IsArriving() const { return !ended && first_byte_at.has_value(); }
  /// How long the answer has been arriving, up to its last byte so far.
  TimePoint::duration ReceivingTime() const {
    return first_byte_at ? *last_byte_at - *first_byte_at
                         : TimePoint::duration(0);
  }
};

/// Which connection a call uses.
enum class ConnectionUse : std::uint8_t {
  kShared,  ///< An idle one, if there is one, that later calls use again.
  /// A new one, closed afterwards: nothing in an answer tells whether it
  /// answers this call or an earlier one.
  kOwn,
};

/// What a call allows.
struct CallOptions {
  ConnectionUse use = ConnectionUse::kShared;
  /// Longest body that is accepted; 0 for the client's default.
  std::size_t max_body_bytes = 0;
  /// The server isn't trusted to end its answers: all such calls together take
  /// memory of the client's budget, and are given up if it has no room.
  bool within_budget = false;
};

/// Shared by a call and its maker; null if no call was made.
using CallProgressPtr = std::shared_ptr<const CallProgress>;

/// Status, header fields and body of an answer.
struct CallAnswer {
  int status = 0;
  std::string body;
  std::vector<HttpField> fields;
};

struct CallClientOptions {
  HttpConnectionOptions connection;
  /// An answer of which nothing more arrives for this long is given up.
  std::chrono::milliseconds stall_timeout{1'000};
  /// An answer that arrives for longer, or has a larger body, has no end.
  std::chrono::milliseconds max_receiving_time{30'000};
  std::size_t max_body_bytes = 33'554'432;
  /// For the answers of calls `within_budget`; null if there is no limit.
  std::shared_ptr<MemoryBudget> memory;
};

/// Ends a call whose answer is no longer wanted.
class CallCancellation {
 public:
  virtual ~CallCancellation() = default;
  /// Closes the call's connection. `Done` is not called any more.
  virtual void Cancel() = 0;
};

/// A call that was made.
struct CallHandle {
  CallProgressPtr progress;  ///< Null if no call was made.
  std::weak_ptr<CallCancellation> cancellation;

  /// True while the call's answer is being received.
  bool IsArriving() const {
    return progress != nullptr && progress->IsArriving();
  }
  /// Cancels the call unless it has ended.
  void Cancel() const {
    const auto call = cancellation.lock();
    if (call != nullptr) call->Cancel();
  }
};

/// Makes calls with a timeout. The size of an answer is up to its server, so
/// the timeout ends when an answer begins to arrive: from then on it may take
/// as long as it keeps arriving. A call that ends without an answer may still
/// take effect at the server. After a timeout the next call to the endpoint
/// doesn't use a connection that may be as silent.
class CallClient {
 public:
  using Done =
      std::function<void(absl::StatusOr<CallAnswer>, const CallProgress&)>;

  CallClient(asio::io_context& loop, CallClientOptions options)
      : loop_(loop),
        options_(std::move(options)),
        connections_(
            std::make_shared<HttpConnectionPool>(loop, options_.connection)) {}

  /// @param timeout until the answer begins to arrive
  /// @param done called exactly once, asynchronously, on the loop, unless the
  ///   client is destroyed before; Unavailable if nothing was sent,
  ///   ResourceExhausted for an answer that is too long, DeadlineExceeded or
  ///   Unknown if the call may have taken effect
  CallHandle Call(const std::string& endpoint, std::string request,
                  std::chrono::milliseconds timeout, Done done,
                  const CallOptions& call_options = {});
  void DropExpired(TimePoint now) { connections_->DropExpired(now); }

 private:
  asio::io_context& loop_;
  CallClientOptions options_;
  std::shared_ptr<HttpConnectionPool>
      connections_;  ///< Shared by calls in flight.
  /// Expires with this object. Calls in flight outlive it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CALL_CLIENT_H_
