#ifndef YUCCAPICK_GATEWAY_INGRESS_SESSION_H_
#define YUCCAPICK_GATEWAY_INGRESS_SESSION_H_

/// @file
/// One caller's connection: reads requests, writes answers in order.

#include <array>
#include <asio.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/caller_stream.h"
#include "gateway/http_reader.h"
#include "yuccapick/gateway_config.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// A whole request as a caller sent it.
struct IngressRequest {
  HttpHead head;
  std::string body;
  TimePoint arrived;  ///< When its first byte was read.
};

class IngressSession;

/// A request being worked on; hears that its caller has gone.
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
  virtual void OnCallerDisconnected() = 0;
};

/// Takes requests. The answer may be given at once or later.
class IngressHandler {
 public:
  virtual ~IngressHandler() = default;
  /// @return the work under way; null if the request is already answered
  virtual std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request, std::shared_ptr<IngressSession> session) = 0;
  /// Bytes that are no request are refused.
  /// @return the body of the refusal
  virtual std::string OnBadRequest(int status, std::string_view reason) = 0;
  virtual CallerLimits limits() const = 0;
};

/// Keeps itself alive while an operation is under way. Used on one loop.
class IngressSession : public std::enable_shared_from_this<IngressSession>,
                       private HttpReaderHandler {
 public:
  IngressSession(std::shared_ptr<CallerStream> stream, IngressHandler& handler);

  void Start();

  // Answers. Exactly one whole answer, or `Abort`, for each request.

  /// Sends a whole answer. A body is left out for HEAD requests.
  void Respond(int status, const std::vector<HttpField>& fields,
               std::string_view body);
  /// Begins an answer of unknown length.
  void BeginStream(int status, const std::vector<HttpField>& fields);
  void StreamBody(std::string_view bytes);
  void EndStream();
  /// Closes the connection so that the answer does not look complete.
  void Abort();

  // Life.

  /// Closes the connection after the request under way, or now if it is idle.
  void Drain();
  /// Announces the close with the next answer, and keeps an idle connection.
  void AnnounceClose() { close_after_answer_ = true; }
  /// Closes the connection if a limit on time has passed.
  void CheckTimeouts(TimePoint now);

  bool closed() const { return closed_; }
  /// Bytes of answers that the network has not taken yet.
  std::size_t unsent_bytes() const { return out_.size() - out_sent_; }
  bool busy() const { return in_request_; }
  bool receiving() const { return !in_request_ && !reader_.at_start(); }

 private:
  void OnHttpHead(HttpHead head) override;
  void OnHttpBody(std::string_view bytes) override;
  void OnHttpEnd() override;

  void Read();
  void OnRead(const asio::error_code& ec, std::size_t n);
  void ConsumePending();
  void Dispatch();
  void Refuse(int status, std::string_view reason);
  void WriteHead(int status, const std::vector<HttpField>& fields,
                 std::string_view framing);
  void FinishAnswer();
  void Flush();
  void WaitToWrite();
  void OnFlushed();
  void BeginLingeringClose();
  void Close();

  std::shared_ptr<CallerStream> stream_;
  IngressHandler& handler_;
  HttpReader reader_;
  std::array<char, 8192> buf_{};
  std::string pending_;  ///< Read and not parsed yet.
  IngressRequest request_;
  std::shared_ptr<PendingRequest> work_;
  std::string out_;
  std::size_t out_sent_ = 0;
  bool reading_ = false;
  bool waiting_to_write_ = false;
  bool in_request_ = false;  ///< A whole request was read and not answered.
  bool head_only_ = false;   ///< Of the request under way: HEAD.
  bool may_chunk_ = true;    ///< Its caller understands chunked coding.
  bool streaming_ = false;
  bool chunked_ = false;
  bool body_too_long_ = false;
  bool close_after_answer_ = false;
  bool lingering_ = false;
  bool closed_ = false;
  TimePoint last_active_;
  TimePoint message_began_;
};

struct IngressOptions {
  CallerStreamFactory make_stream = MakePlainStreamFactory();
  /// Connections beyond these wait until one of them ends.
  std::size_t max_sessions = std::numeric_limits<std::size_t>::max();
};

/// Accepts callers' connections and watches their timeouts.
class IngressServer {
 public:
  IngressServer(asio::io_context& loop, IngressHandler& handler,
                IngressOptions options = {});

  /// @param endpoint `IP:PORT`
  absl::Status Open(std::string_view endpoint);
  /// Accepts nothing more.
  void CloseListener();
  void CheckTimeouts(TimePoint now);
  void AnnounceClose();
  void DrainSessions();
  void CloseAll();

  std::size_t session_count() const { return sessions_.size(); }
  std::size_t busy_count() const;

 private:
  void Accept();
  void AcceptAfterPause();
  void DropClosedSessions();

  asio::io_context& loop_;
  IngressHandler& handler_;
  IngressOptions options_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_pause_;
  std::vector<std::shared_ptr<IngressSession>> sessions_;
  bool announce_close_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_INGRESS_SESSION_H_
