#ifndef YUCCAPICK_TEST_GATEWAY_FAKE_CALLER_STREAM_H_
#define YUCCAPICK_TEST_GATEWAY_FAKE_CALLER_STREAM_H_

/// @file
/// A caller's connection, and a handler of its requests, that a test controls.

#include <asio.hpp>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/caller_stream.h"
#include "gateway/ingress_session.h"

namespace yuccapick {

/// A connection without a socket. Reads end and writes fail when the test says.
class FakeCallerStream : public CallerStream {
 public:
  explicit FakeCallerStream(asio::io_context& loop) : loop_(loop) {}

  /// The caller sends bytes; the session reads them when the loop runs.
  void Deliver(std::string_view bytes);
  /// The caller resets the connection: what it sent before can still be read.
  void Leave();
  /// The write fails before which `n` writes succeed.
  void FailWriteAfter(int n) { writes_left_ = n; }
  /// The caller takes only so many more bytes.
  void set_room(std::size_t bytes) { room_ = bytes; }
  /// The caller takes all bytes from now on.
  void TakeAll();

  const std::string& output() const { return output_; }
  /// Bytes that the caller sent and the session has not read.
  std::size_t unread() const { return input_.size(); }
  bool closed() const { return closed_; }
  /// True if the connection, however it is closed, doesn't end in order.
  bool reset_on_close() const { return reset_on_close_; }

  void ReadSome(asio::mutable_buffer buf, OnRead done) override;
  std::size_t WriteSome(std::string_view bytes, asio::error_code& ec) override;
  void WaitWritable(OnWritable done) override { on_writable_ = done; }
  void ShutdownSend() override {}
  void SetResetOnClose(bool reset) override { reset_on_close_ = reset; }
  void Close() override;
  asio::any_io_executor executor() override { return loop_.get_executor(); }

 private:
  void ScheduleRead();
  void EndRead();

  asio::io_context& loop_;
  asio::mutable_buffer buf_;
  OnRead on_read_;
  OnWritable on_writable_;
  std::string input_;
  std::string output_;
  std::size_t room_ = std::numeric_limits<std::size_t>::max();
  std::optional<int> writes_left_;
  bool left_ = false;
  bool closed_ = false;
  bool reset_on_close_ = false;
};

/// A request that was handed over, until it is answered.
struct HeldRequest : PendingRequest {
  void OnCallerDisconnected() override { ++cancelled; }
  void OnShutdown() override {}

  IngressRequest request;
  std::shared_ptr<IngressSession> session;
  int cancelled = 0;
};

/// Holds each request, or begins to stream its answer within the call.
struct HoldingHandler : IngressHandler {
  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request, std::shared_ptr<IngressSession> session) override;
  std::string OnBadRequest(int /*status*/, std::string_view reason) override {
    return std::string(reason);
  }
  CallerLimits limits() const override { return caller_limits; }
  std::shared_ptr<MemoryBudget> request_memory() const override {
    return memory;
  }

  CallerLimits caller_limits;
  std::shared_ptr<MemoryBudget> memory =
      std::make_shared<MemoryBudget>(10'000'000);
  bool streams_at_once = false;
  std::vector<std::shared_ptr<HeldRequest>> held;
};

/// A session on a connection that the test controls.
struct SessionOnFakeStream {
  SessionOnFakeStream()
      : stream(std::make_shared<FakeCallerStream>(loop)),
        session(std::make_shared<IngressSession>(stream, handler)) {
    session->Start();
  }
  /// Ends the pending operations, which keep the session and the stream alive.
  ~SessionOnFakeStream() {
    for (const auto& it : handler.held) it->session.reset();
    stream->Close();
    loop.restart();
    loop.poll();
  }
  SessionOnFakeStream(const SessionOnFakeStream&) = delete;
  SessionOnFakeStream& operator=(const SessionOnFakeStream&) = delete;

  void Deliver(std::string_view bytes) {
    stream->Deliver(bytes);
    loop.restart();
    loop.poll();
  }
  void Leave() {
    stream->Leave();
    loop.restart();
    loop.poll();
  }
  /// Number of final answers that the caller was sent.
  std::size_t answers() const;

  asio::io_context loop;
  HoldingHandler handler;
  std::shared_ptr<FakeCallerStream> stream;
  std::shared_ptr<IngressSession> session;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_FAKE_CALLER_STREAM_H_
