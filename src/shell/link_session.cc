#include "shell/link_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "shell/link_http2.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxWriteBytes = 256 << 10;

}  // namespace

std::shared_ptr<LinkSession> LinkSession::Make(
    std::unique_ptr<LinkTransport> transport, LinkSessionOptions options,
    LinkSessionHandlers handlers) {
  return std::shared_ptr<LinkSession>(new LinkSession(
      std::move(transport), std::move(options), std::move(handlers)));
}

LinkSession::LinkSession(std::unique_ptr<LinkTransport> transport,
                         LinkSessionOptions options,
                         LinkSessionHandlers handlers)
    : transport_(std::move(transport)),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      timer_(transport_->executor()) {}

LinkSession::~LinkSession() { nghttp2_session_del(http2_); }

void LinkSession::Start() {
  start_time_ = std::chrono::steady_clock::now();
  last_receive_time_ = start_time_;
  ScheduleHeartbeat();
  transport_->Handshake(
      options_.role, [self = shared_from_this()](asio::error_code ec) {
        if (self->closed_) return;
        if (!ec) return self->StartHttp2();
        self->Close(absl::UnavailableError(fmt::format(
            "link handshake failed ({}); check the TLS settings of both ends",
            ec.message())));
      });
}

void LinkSession::StartHttp2() {
  http2_ = LinkHttp2::MakeSession(*this);
  if (http2_ == nullptr) {
    return Close(absl::ResourceExhaustedError(
        "cannot create an HTTP/2 session: out of memory"));
  }
  if (options_.role == LinkRole::kClient) StartAuth();
  ReadMore();
  ScheduleFlush();
}

LinkStreamPtr LinkSession::Open(const std::string& path,
                                LinkStreamHandlers handlers) {
  if (!ready()) return nullptr;
  LinkStreamPtr stream = OpenStream(path);
  if (stream == nullptr) {
    Close(absl::ResourceExhaustedError("link has no stream ids left"));
    return nullptr;
  }
  stream->SetHandlers(std::move(handlers));
  return stream;
}

LinkStreamPtr LinkSession::OpenStream(const std::string& path) {
  auto stream =
      std::make_shared<LinkStream>(weak_from_this(), path, peer_name_);
  const std::int32_t id = LinkHttp2::SubmitRequest(*this, path);
  if (id < 0) return nullptr;
  stream->id_ = id;
  streams_[id] = stream;
  ScheduleFlush();
  return stream;
}

void LinkSession::RejectStream(const LinkStreamPtr& stream, int http_status) {
  if (closed_ || stream->closed_) return;
  stream->out_finished_ = true;
  LinkHttp2::SubmitErrorResponse(*this, stream->id_, http_status);
  ScheduleFlush();
}

void LinkSession::Close(const absl::Status& status) {
  if (closed_) return;
  const auto self = shared_from_this();
  closed_ = true;
  transport_->Close();
  timer_.cancel();
  const auto streams = std::exchange(streams_, {});
  const std::string reason(status.message());
  for (const auto& [id, stream] : streams) {
    stream->OnClosed({absl::UnavailableError(reason), stream->sent_, true});
  }
  auth_stream_.reset();
  writable_streams_.clear();
  if (handlers_.on_closed) handlers_.on_closed(status);
}

void LinkSession::Shutdown() {
  if (closed_) return;
  if (http2_ == nullptr) return Close(absl::OkStatus());
  nghttp2_session_terminate_session(http2_, NGHTTP2_NO_ERROR);
  ScheduleFlush();
}

bool LinkSession::flushed() const {
  if (closed_ || http2_ == nullptr) return true;
  const bool idle = !writing_ && !flush_scheduled_ && write_buffer_.empty();
  if (!idle || nghttp2_session_want_write(http2_) != 0) return false;
  return std::all_of(streams_.begin(), streams_.end(), [](const auto& entry) {
    return entry.second->unsent_bytes() == 0;
  });
}

void LinkSession::ResumeStream(std::int32_t id) {
  if (closed_) return;
  nghttp2_session_resume_data(http2_, id);
  ScheduleFlush();
}

void LinkSession::ResetStream(std::int32_t id) {
  if (closed_) return;
  streams_.erase(id);
  nghttp2_submit_rst_stream(http2_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  ScheduleFlush();
}

void LinkSession::ConsumeReceived(std::int32_t id, std::size_t n) {
  if (closed_) return;
  nghttp2_session_consume_stream(http2_, id, n);
  ScheduleFlush();
}

void LinkSession::ReadMore() {
  transport_->Read(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        if (self->closed_) return;
        if (ec) {
          return self->Close(absl::UnavailableError(
              fmt::format("link connection lost: {}", ec.message())));
        }
        self->last_receive_time_ = std::chrono::steady_clock::now();
        const ssize_t taken = nghttp2_session_mem_recv(
            self->http2_, self->read_buffer_.data(), n);
        if (self->closed_) return;
        if (taken < 0) {
          return self->Close(absl::InvalidArgumentError(
              fmt::format("peer does not speak the link protocol: {}",
                          nghttp2_strerror(static_cast<int>(taken)))));
        }
        self->ScheduleFlush();
        self->ReadMore();
      });
}

void LinkSession::ScheduleFlush() {
  if (closed_ || writing_ || flush_scheduled_) return;
  flush_scheduled_ = true;
  asio::post(transport_->executor(),
             [self = shared_from_this()] { self->Flush(); });
}

void LinkSession::Flush() {
  flush_scheduled_ = false;
  if (closed_ || writing_) return;
  while (write_buffer_.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(http2_, &data);
    if (n < 0) return Close(absl::InternalError("HTTP/2 session failed"));
    if (n == 0) break;
    write_buffer_.append(reinterpret_cast<const char*>(data), n);
  }
  NotifyWritable();
  if (closed_) return;
  if (write_buffer_.empty()) {
    if (nghttp2_session_want_read(http2_) == 0 &&
        nghttp2_session_want_write(http2_) == 0) {
      Close(absl::UnavailableError("link closed"));
    }
    return;
  }
  writing_ = true;
  transport_->Write(
      asio::buffer(write_buffer_),
      [self = shared_from_this()](asio::error_code ec, std::size_t) {
        self->writing_ = false;
        self->write_buffer_.clear();
        if (self->closed_) return;
        if (!ec) return self->Flush();
        self->Close(absl::UnavailableError(
            fmt::format("link connection lost: {}", ec.message())));
      });
}

void LinkSession::NotifyWritable() {
  const auto writable = std::exchange(writable_streams_, {});
  for (const LinkStreamPtr& stream : writable) {
    if (stream->closed_ || !stream->handlers_.on_writable) continue;
    const auto on_writable = stream->handlers_.on_writable;
    on_writable();
  }
}

void LinkSession::ScheduleHeartbeat() {
  timer_.expires_after(options_.timings.heartbeat_interval);
  timer_.async_wait([weak = weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr && !self->closed_) self->OnHeartbeatTimer();
  });
}

void LinkSession::OnHeartbeatTimer() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_receive_time_ > options_.timings.silence_timeout) {
    return Close(
        absl::DeadlineExceededError("peer sent nothing within the timeout"));
  }
  if (!ready_ && now - start_time_ > options_.timings.handshake_timeout) {
    return Close(absl::DeadlineExceededError(
        "peer did not authenticate in time; check that it is a process of this "
        "system"));
  }
  if (http2_ != nullptr) {
    nghttp2_submit_ping(http2_, NGHTTP2_FLAG_NONE, nullptr);
    ScheduleFlush();
  }
  ScheduleHeartbeat();
}

void LinkSession::OnPeerStream(const LinkStreamPtr& stream) {
  const bool is_auth = stream->path_ == kAuthPath;
  if (!is_auth && !ready_) return FailAuth();
  if (is_auth && (ready_ || auth_stream_ != nullptr)) return FailAuth();
  if (is_auth) {
    AwaitClientProof(stream);
  } else if (handlers_.on_stream) {
    handlers_.on_stream(stream);
  }
  if (closed_ || stream->closed_ || stream->out_finished_) return;
  LinkHttp2::SubmitResponse(*this, stream->id_);
  ScheduleFlush();
}

void LinkSession::OnStreamClose(std::int32_t id, std::uint32_t error_code) {
  const LinkStreamPtr stream = Find(id);
  if (stream == nullptr) return;
  streams_.erase(id);
  LinkClose close;
  close.sent = stream->sent_;
  close.status =
      LinkHttp2::CloseStatus(options_.role, error_code, stream->peer_finished_,
                             stream->http_status_, stream->path_);
  stream->OnClosed(std::move(close));
}

LinkStreamPtr LinkSession::Find(std::int32_t id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : it->second;
}

}  // namespace yuccapick
