#ifndef YUCCAPICK_GATEWAY_INGRESS_SESSION_H_
#define YUCCAPICK_GATEWAY_INGRESS_SESSION_H_

/// @file
/// One caller's HTTP/1.1 connection.

#include <array>
#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/caller_stream.h"
#include "gateway/http_reader.h"
#include "yuccapick/gateway_config.h"
#include "yuccapick/ids.h"
#include "yuccapick/memory_budget.h"
#include "yuccapick/progress_meter.h"

namespace yuccapick {

/// A complete request of a caller.
struct IngressRequest {
  HttpHead head;
  std::string body;
  MemoryShare memory;    ///< Held for the head and the body.
  TimePoint arrived_at;  ///< When its first byte was read.
};

class IngressSession;

/// A request whose answer is still to come.
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
  /// The caller's connection is closed; the request may be cancelled.
  virtual void OnCallerDisconnected() = 0;
  /// The caller has taken bytes of its answer: it has room for more.
  virtual void OnOutputRoom() {}
  /// The process is about to end: the request must be answered now, or its
  /// connection closed.
  virtual void OnShutdown() = 0;
};

/// Handles requests. It may answer within the call or later.
class IngressHandler {
 public:
  virtual ~IngressHandler() = default;
  /// @return the request in progress; null if it is already answered
  virtual std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request, std::shared_ptr<IngressSession> session) = 0;
  /// A malformed or oversized request, or one that timed out, is refused.
  /// @return the body of the refusal
  virtual std::string OnBadRequest(int status, std::string_view reason) = 0;
  virtual CallerLimits limits() const = 0;
  /// The least rate at which requests arrive and answers are taken.
  virtual double min_bytes_per_second() const { return 0; }
  /// A caller's message is ended, or its connection is closed.
  /// @param held bytes that it held
  virtual void OnCallerEnded(std::string_view /*cause*/, std::size_t /*held*/) {
  }
  /// Bounds the memory held for all callers; null if it isn't bounded.
  virtual std::shared_ptr<MemoryBudget> request_memory() const {
    return nullptr;
  }
};

/// One caller's connection: reads requests and writes their answers in order.
/// Pending operations keep it alive. Used on one event loop.
class IngressSession : public std::enable_shared_from_this<IngressSession> {
 public:
  IngressSession(std::shared_ptr<CallerStream> stream, IngressHandler& handler);

  void Start();

  // Answers. Each request gets exactly one complete answer, or `Abort`.

  /// Sends a complete answer. The body is left out for HEAD requests.
  void Respond(int status, const std::vector<HttpField>& fields,
               std::string_view body);
  /// True if the caller must take bytes before its answer may grow: whoever
  /// streams it should wait for `OnOutputRoom`.
  bool output_full() const;
  /// Begins an answer of unknown length.
  void BeginStream(int status, const std::vector<HttpField>& fields);
  void StreamBody(std::string_view bytes);
  void EndStream();
  /// Closes the connection so that the caller sees the answer as incomplete.
  void Abort();

  // Closing.

  /// Closes the connection after the current request, or now if it is idle.
  void Drain();
  /// Sends `Connection: close` with the next answer and closes after it; keeps
  /// an idle connection open.
  void AnnounceClose() { close_after_answer_ = true; }
  /// Ends the request under way, or refuses the one that is being received.
  /// @param refusal fields of the refusal
  /// @return false if there is neither
  bool EndRequest(const std::vector<HttpField>& refusal);
  /// Closes the connection if the header, idle or linger timeout is over. It
  /// isn't idle while the caller takes bytes of an answer.
  void CheckTimeouts(TimePoint now);
  /// Ends a message that makes too little progress: a request is refused, an
  /// answer is cut so that it does not look complete.
  void EndSlowMessage(std::string_view cause);
  /// Closes an idle connection to make room for another one.
  void CloseIdle();
  /// Since when the connection is idle or about to be closed; nullopt if it is
  /// in use.
  std::optional<TimePoint> idle_since() const;
  /// Progress for what the message under way holds, under memory pressure;
  /// nullopt if it is not slow, or if the caller is not who is waited for.
  std::optional<double> SlowProgress() const;
  /// Bytes held for the connection, the request that is being received, and
  /// unsent answers.
  std::size_t held_bytes() const {
    return held_.bytes() + request_.memory.bytes();
  }

  bool closed() const { return closed_; }
  /// Bytes of answers that are not yet written to the socket.
  std::size_t unsent_bytes() const { return output_.size() - output_sent_; }
  /// True while a request is under way or its answer isn't written.
  bool busy() const { return in_request_ || unsent_bytes() > 0; }
  bool receiving() const { return !in_request_ && !reader_.at_start(); }

 private:
  /// An answer may hold this much also while the memory is in use.
  static constexpr std::size_t kMinUnsentBytes = 16'384;
  /// In seconds. By then some of the requests that hold memory have ended.
  static constexpr std::string_view kMemoryRetryAfter = "0.3";

  void Read();
  void OnRead(const asio::error_code& ec, std::size_t n);
  void ParseInput();
  void ReceiveHead(HttpHead head);
  void ReceiveBody(std::string_view bytes);
  void SendContinue();
  void Dispatch();
  void Refuse(int status, std::string_view reason,
              const std::vector<HttpField>& fields = {});
  /// Takes memory for the body that is being received.
  void ReserveBody(std::size_t bytes);
  /// Frees the request that is being received.
  void DropRequest();
  /// Counts what the connection holds now.
  void CountMemory();
  std::size_t ConnectionBytes() const;
  void CheckHeadMemory();
  void ContinueAfterAnswer();
  void OnWritten(std::size_t bytes);
  void WriteHead(int status, const std::vector<HttpField>& fields,
                 std::string_view framing);
  void FinishAnswer();
  void Flush();
  void DropWritten();
  void WaitToWrite();
  void OnFlushed();
  void BeginLingeringClose();
  /// No byte that the caller has sent, or sends from now on, is a request.
  void EndInput();
  void Close();

  std::shared_ptr<CallerStream> stream_;
  IngressHandler& handler_;
  HttpReader reader_;
  std::array<char, 8192> buf_{};
  std::string unparsed_;  ///< Bytes read and not yet parsed.
  IngressRequest request_;
  MemoryShare held_;  ///< For all but `request_`.
  ProgressMeter received_;
  ProgressMeter sent_;
  std::shared_ptr<PendingRequest> pending_request_;
  std::string output_;
  std::size_t output_sent_ = 0;
  bool reading_ = false;
  bool waiting_to_write_ = false;
  bool sending_ = false;     ///< Output is left from an earlier `Flush`.
  bool in_request_ = false;  ///< A request was read and not yet answered.
  bool is_head_request_ = false;
  bool caller_supports_chunked_ = true;  ///< False for HTTP/1.0.
  bool streaming_ = false;
  bool chunked_ = false;
  bool body_too_long_ = false;
  bool out_of_memory_ = false;  ///< There is no room for the body.
  bool close_after_answer_ = false;
  bool input_ended_ = false;
  std::size_t discarded_bytes_ = 0;  ///< Read after the input has ended.
  bool lingering_ = false;
  bool closed_ = false;
  TimePoint last_active_;
  TimePoint message_started_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_INGRESS_SESSION_H_
