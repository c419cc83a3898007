#ifndef YUCCAPICK_SHELL_LINK_HTTP2_H_
#define YUCCAPICK_SHELL_LINK_HTTP2_H_

/// @file
/// Adapter between a link session and nghttp2.

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "shell/link_auth.h"

namespace yuccapick {

class LinkSession;

class LinkHttp2 {
 public:
  /// Creates an nghttp2 session whose callbacks act on `session`. Returns null
  /// if there is no memory.
  static nghttp2_session* MakeSession(LinkSession& session);
  /// Returns the new stream's id, or a negative nghttp2 error code.
  static std::int32_t SubmitRequest(LinkSession& session,
                                    const std::string& path);
  static void SubmitResponse(LinkSession& session, std::int32_t id);
  static void SubmitErrorResponse(LinkSession& session, std::int32_t id,
                                  int http_status);
  /// Returns how a closed stream ended, as the status for its `on_close`.
  static absl::Status CloseStatus(LinkRole role, std::uint32_t error_code,
                                  bool peer_finished, std::uint32_t http_status,
                                  const std::string& path);

 private:
  static void SetCallbacks(nghttp2_session_callbacks* callbacks);
  static void SubmitSettings(nghttp2_session* http2);

  static int OnBeginHeaders(nghttp2_session* http2, const nghttp2_frame* frame,
                            void* self);
  static int OnHeader(nghttp2_session* http2, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t flags, void* self);
  static int OnFrameReceived(nghttp2_session* http2, const nghttp2_frame* frame,
                             void* self);
  static int OnDataChunk(nghttp2_session* http2, std::uint8_t flags,
                         std::int32_t id, const std::uint8_t* data,
                         std::size_t n, void* self);
  static int OnStreamClose(nghttp2_session* http2, std::int32_t id,
                           std::uint32_t error_code, void* self);
  static int OnBeforeFrameSend(nghttp2_session* http2,
                               const nghttp2_frame* frame, void* self);
  static ssize_t ReadOutput(nghttp2_session* http2, std::int32_t id,
                            std::uint8_t* buf, std::size_t n,
                            std::uint32_t* flags, nghttp2_data_source* source,
                            void* self);
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_HTTP2_H_
