#ifndef YUCCAPICK_SHELL_LINK_HTTP2_H_
#define YUCCAPICK_SHELL_LINK_HTTP2_H_

/// @file
/// What a link session asks of nghttp2, and nghttp2's callbacks into it.

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "shell/link_auth.h"

namespace yuccapick {

class LinkSession;

class LinkHttp2 {
 public:
  /// Returns a session that calls back into `session`, or null.
  static nghttp2_session* MakeSession(LinkSession& session);
  /// Returns the new stream's id, or a negative number.
  static std::int32_t SubmitRequest(LinkSession& session,
                                    const std::string& path);
  static void SubmitAnswer(LinkSession& session, std::int32_t id);
  static void SubmitRefusal(LinkSession& session, std::int32_t id,
                            int http_status);
  static absl::Status CloseStatus(LinkRole end, std::uint32_t error_code,
                                  bool peer_finished, std::uint32_t http_status,
                                  const std::string& path);

 private:
  static void SetCallbacks(nghttp2_session_callbacks* callbacks);
  static void SubmitSettings(nghttp2_session* http2);

  static int HeadersBegin(nghttp2_session* http2, const nghttp2_frame* frame,
                          void* self);
  static int HeaderArrived(nghttp2_session* http2, const nghttp2_frame* frame,
                           const std::uint8_t* name, std::size_t name_size,
                           const std::uint8_t* value, std::size_t value_size,
                           std::uint8_t flags, void* self);
  static int FrameArrived(nghttp2_session* http2, const nghttp2_frame* frame,
                          void* self);
  static int DataArrived(nghttp2_session* http2, std::uint8_t flags,
                         std::int32_t id, const std::uint8_t* data,
                         std::size_t n, void* self);
  static int StreamClosed(nghttp2_session* http2, std::int32_t id,
                          std::uint32_t error_code, void* self);
  static int FrameLeaves(nghttp2_session* http2, const nghttp2_frame* frame,
                         void* self);
  static ssize_t ReadOutput(nghttp2_session* http2, std::int32_t id,
                            std::uint8_t* buf, std::size_t n,
                            std::uint32_t* flags, nghttp2_data_source* source,
                            void* self);
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_HTTP2_H_
