#include "shell/link_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "shell/link_http2.h"

namespace yuccapick {
namespace {

constexpr std::size_t kWriteBytes = 256 << 10;

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
  started_ = std::chrono::steady_clock::now();
  last_received_ = started_;
  ScheduleHeartbeat();
  transport_->Handshake(
      options_.end, [self = shared_from_this()](asio::error_code ec) {
        if (self->closed_) return;
        if (!ec) return self->Begin();
        self->Close(absl::UnavailableError(fmt::format(
            "link handshake failed ({}); check the TLS settings of both ends",
            ec.message())));
      });
}

void LinkSession::Begin() {
  http2_ = LinkHttp2::MakeSession(*this);
  if (http2_ == nullptr) {
    return Close(
        absl::ResourceExhaustedError("no HTTP/2 session; free memory"));
  }
  if (options_.end == LinkRole::kClient) BeginProof();
  ReadMore();
  ScheduleFlush();
}

LinkStreamPtr LinkSession::Open(const std::string& path,
                                LinkStreamHandlers handlers) {
  if (!ready()) return nullptr;
  LinkStreamPtr stream = OpenStream(path);
  if (stream == nullptr) {
    Close(absl::ResourceExhaustedError("link used up its stream numbers"));
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

void LinkSession::Refuse(const LinkStreamPtr& stream, int http_status) {
  if (closed_ || stream->closed_) return;
  stream->out_finished_ = true;
  LinkHttp2::SubmitRefusal(*this, stream->id_, http_status);
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
    stream->End({absl::UnavailableError(reason), stream->sent_, true});
  }
  proof_stream_.reset();
  drained_.clear();
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
  const bool idle = !writing_ && !flush_scheduled_ && out_.empty();
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

void LinkSession::ReturnWindow(std::int32_t id, std::size_t n) {
  if (closed_) return;
  nghttp2_session_consume_stream(http2_, id, n);
  ScheduleFlush();
}

void LinkSession::ReadMore() {
  transport_->Read(asio::buffer(in_), [self = shared_from_this()](
                                          asio::error_code ec, std::size_t n) {
    if (self->closed_) return;
    if (ec) {
      return self->Close(
          absl::UnavailableError(fmt::format("link broke: {}", ec.message())));
    }
    self->last_received_ = std::chrono::steady_clock::now();
    const ssize_t taken =
        nghttp2_session_mem_recv(self->http2_, self->in_.data(), n);
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
  while (out_.size() < kWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(http2_, &data);
    if (n < 0) return Close(absl::InternalError("HTTP/2 session failed"));
    if (n == 0) break;
    out_.append(reinterpret_cast<const char*>(data), n);
  }
  NotifyDrained();
  if (closed_) return;
  if (out_.empty()) {
    if (nghttp2_session_want_read(http2_) == 0 &&
        nghttp2_session_want_write(http2_) == 0) {
      Close(absl::UnavailableError("link ended"));
    }
    return;
  }
  writing_ = true;
  transport_->Write(asio::buffer(out_), [self = shared_from_this()](
                                            asio::error_code ec, std::size_t) {
    self->writing_ = false;
    self->out_.clear();
    if (self->closed_) return;
    if (!ec) return self->Flush();
    self->Close(
        absl::UnavailableError(fmt::format("link broke: {}", ec.message())));
  });
}

void LinkSession::NotifyDrained() {
  const auto drained = std::exchange(drained_, {});
  for (const LinkStreamPtr& stream : drained) {
    if (stream->closed_ || !stream->handlers_.on_writable) continue;
    const auto on_writable = stream->handlers_.on_writable;
    on_writable();
  }
}

void LinkSession::ScheduleHeartbeat() {
  timer_.expires_after(options_.timings.heartbeat);
  timer_.async_wait([weak = weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr && !self->closed_) self->Heartbeat();
  });
}

void LinkSession::Heartbeat() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_received_ > options_.timings.dead_after) {
    return Close(absl::DeadlineExceededError("peer is silent on the link"));
  }
  if (!ready_ && now - started_ > options_.timings.handshake) {
    return Close(absl::DeadlineExceededError(
        "peer did not prove the secret in time; check that it is a process of "
        "this system"));
  }
  if (http2_ != nullptr) {
    nghttp2_submit_ping(http2_, NGHTTP2_FLAG_NONE, nullptr);
    ScheduleFlush();
  }
  ScheduleHeartbeat();
}

void LinkSession::PeerOpened(const LinkStreamPtr& stream) {
  const bool is_proof = stream->path_ == kProofPath;
  if (!is_proof && !ready_) return FailProof();
  if (is_proof && (ready_ || proof_stream_ != nullptr)) return FailProof();
  if (is_proof) {
    ExpectClientProof(stream);
  } else if (handlers_.on_stream) {
    handlers_.on_stream(stream);
  }
  if (closed_ || stream->closed_ || stream->out_finished_) return;
  LinkHttp2::SubmitAnswer(*this, stream->id_);
  ScheduleFlush();
}

void LinkSession::StreamClosed(std::int32_t id, std::uint32_t error_code) {
  const LinkStreamPtr stream = Find(id);
  if (stream == nullptr) return;
  streams_.erase(id);
  LinkClose close;
  close.sent = stream->sent_;
  close.status =
      LinkHttp2::CloseStatus(options_.end, error_code, stream->peer_finished_,
                             stream->http_status_, stream->path_);
  stream->End(std::move(close));
}

LinkStreamPtr LinkSession::Find(std::int32_t id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : it->second;
}

}  // namespace yuccapick
