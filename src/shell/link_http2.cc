#include "shell/link_http2.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <memory>
#include <string_view>

#include "shell/link_session.h"

namespace yuccapick {
namespace {

constexpr std::uint32_t kMaxConcurrentStreams = 1 << 16;
constexpr std::int32_t kStreamWindowBytes = 256 << 10;
constexpr std::int32_t kConnectionWindowBytes = 16 << 20;
constexpr std::uint32_t kHttpOk = 200;
constexpr std::uint32_t kHttpNotFound = 404;

nghttp2_nv MakeHeaderField(std::string_view name, std::string_view value) {
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

std::string_view View(const std::uint8_t* data, std::size_t n) {
  return {reinterpret_cast<const char*>(data), n};
}

LinkSession& Session(void* self) { return *static_cast<LinkSession*>(self); }

}  // namespace

nghttp2_session* LinkHttp2::MakeSession(LinkSession& session) {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) return nullptr;
  SetCallbacks(callbacks);
  nghttp2_option* option = nullptr;
  if (nghttp2_option_new(&option) != 0) {
    nghttp2_session_callbacks_del(callbacks);
    return nullptr;
  }
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, kMaxConcurrentStreams);
  nghttp2_session* http2 = nullptr;
  if (session.options_.role == LinkRole::kClient) {
    nghttp2_session_client_new2(&http2, callbacks, &session, option);
  } else {
    nghttp2_session_server_new2(&http2, callbacks, &session, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  if (http2 != nullptr) SubmitSettings(http2);
  return http2;
}

void LinkHttp2::SetCallbacks(nghttp2_session_callbacks* callbacks) {
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       &OnFrameReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &OnDataChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  nghttp2_session_callbacks_set_before_frame_send_callback(callbacks,
                                                           &OnBeforeFrameSend);
}

void LinkHttp2::SubmitSettings(nghttp2_session* http2) {
  const std::array<nghttp2_settings_entry, 3> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(http2, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(http2, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

std::int32_t LinkHttp2::SubmitRequest(LinkSession& session,
                                      const std::string& path) {
  const std::array<nghttp2_nv, 4> fields{
      {MakeHeaderField(":method", "POST"), MakeHeaderField(":scheme", "http"),
       MakeHeaderField(":path", path),
       MakeHeaderField(":authority", "yuccapick")}};
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadOutput;
  return nghttp2_submit_request(session.http2_, nullptr, fields.data(),
                                fields.size(), &provider, nullptr);
}

void LinkHttp2::SubmitResponse(LinkSession& session, std::int32_t id) {
  const std::array<nghttp2_nv, 1> fields{{MakeHeaderField(":status", "200")}};
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadOutput;
  nghttp2_submit_response(session.http2_, id, fields.data(), fields.size(),
                          &provider);
}

void LinkHttp2::SubmitErrorResponse(LinkSession& session, std::int32_t id,
                                    int http_status) {
  const std::string status = std::to_string(http_status);
  const std::array<nghttp2_nv, 1> fields{{MakeHeaderField(":status", status)}};
  nghttp2_submit_response(session.http2_, id, fields.data(), fields.size(),
                          nullptr);
}

absl::Status LinkHttp2::CloseStatus(LinkRole role, std::uint32_t error_code,
                                    bool peer_finished,
                                    std::uint32_t http_status,
                                    const std::string& path) {
  if (error_code != NGHTTP2_NO_ERROR || !peer_finished) {
    return absl::UnavailableError(
        fmt::format("{}: stream was reset by the peer ({})", path,
                    nghttp2_http2_strerror(error_code)));
  }
  if (role == LinkRole::kServer || http_status == kHttpOk) {
    return absl::OkStatus();
  }
  const std::string message = fmt::format(
      "{}: rejected by the peer with {}; run the same release on both ends",
      path, http_status);
  if (http_status == kHttpNotFound) return absl::NotFoundError(message);
  return absl::FailedPreconditionError(message);
}

int LinkHttp2::OnBeginHeaders(nghttp2_session* /*http2*/,
                              const nghttp2_frame* frame, void* self) {
  LinkSession& session = Session(self);
  if (session.closed_) return NGHTTP2_ERR_CALLBACK_FAILURE;
  if (session.options_.role != LinkRole::kServer ||
      frame->headers.cat != NGHTTP2_HCAT_REQUEST) {
    return 0;
  }
  const std::int32_t id = frame->hd.stream_id;
  auto stream = std::make_shared<LinkStream>(session.weak_from_this(), "",
                                             session.peer_name_);
  stream->id_ = id;
  stream->sent_ = true;
  session.streams_[id] = std::move(stream);
  return 0;
}

int LinkHttp2::OnHeader(nghttp2_session* /*http2*/, const nghttp2_frame* frame,
                        const std::uint8_t* name, std::size_t name_size,
                        const std::uint8_t* value, std::size_t value_size,
                        std::uint8_t /*flags*/, void* self) {
  LinkSession& session = Session(self);
  const LinkStreamPtr stream = session.Find(frame->hd.stream_id);
  if (stream == nullptr) return 0;
  const std::string_view text = View(value, value_size);
  if (View(name, name_size) == ":path") {
    stream->path_ = std::string(text);
  } else if (View(name, name_size) == ":status") {
    std::from_chars(text.data(), text.data() + text.size(),
                    stream->http_status_);
  }
  return 0;
}

int LinkHttp2::OnFrameReceived(nghttp2_session* /*http2*/,
                               const nghttp2_frame* frame, void* self) {
  LinkSession& session = Session(self);
  if (session.closed_) return NGHTTP2_ERR_CALLBACK_FAILURE;
  const bool is_headers = frame->hd.type == NGHTTP2_HEADERS;
  if (!is_headers && frame->hd.type != NGHTTP2_DATA) return 0;
  const LinkStreamPtr stream = session.Find(frame->hd.stream_id);
  if (stream == nullptr) return 0;
  if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    stream->peer_finished_ = true;
  }
  if (is_headers && session.options_.role == LinkRole::kServer &&
      frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    session.OnPeerStream(stream);
  }
  return session.closed_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int LinkHttp2::OnDataChunk(nghttp2_session* http2, std::uint8_t /*flags*/,
                           std::int32_t id, const std::uint8_t* data,
                           std::size_t n, void* self) {
  LinkSession& session = Session(self);
  if (session.closed_) return NGHTTP2_ERR_CALLBACK_FAILURE;
  // Returns the bytes to the connection window at once, so that a slow reader
  // of one stream blocks only the window of that stream.
  nghttp2_session_consume_connection(http2, n);
  if (const LinkStreamPtr stream = session.Find(id)) {
    stream->Receive(View(data, n));
  }
  return session.closed_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int LinkHttp2::OnStreamClose(nghttp2_session* /*http2*/, std::int32_t id,
                             std::uint32_t error_code, void* self) {
  LinkSession& session = Session(self);
  if (!session.closed_) session.OnStreamClose(id, error_code);
  return 0;
}

int LinkHttp2::OnBeforeFrameSend(nghttp2_session* /*http2*/,
                                 const nghttp2_frame* frame, void* self) {
  if (frame->hd.type != NGHTTP2_HEADERS) return 0;
  const LinkStreamPtr stream = Session(self).Find(frame->hd.stream_id);
  if (stream != nullptr) stream->sent_ = true;
  return 0;
}

ssize_t LinkHttp2::ReadOutput(nghttp2_session* /*http2*/, std::int32_t id,
                              std::uint8_t* buf, std::size_t n,
                              std::uint32_t* flags,
                              nghttp2_data_source* /*source*/, void* self) {
  LinkSession& session = Session(self);
  const LinkStreamPtr stream = session.Find(id);
  if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t taken = stream->DequeueOutput(buf, n);
  if (stream->congested_ && stream->unsent_bytes() < kLowWatermarkBytes) {
    stream->congested_ = false;
    session.writable_streams_.push_back(stream);
  }
  if (stream->unsent_bytes() > 0) return static_cast<ssize_t>(taken);
  if (stream->out_finished_) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  } else if (taken == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(taken);
}

}  // namespace yuccapick
