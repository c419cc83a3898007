#ifndef YUCCAPICK_SHELL_LINK_STREAM_H_
#define YUCCAPICK_SHELL_LINK_STREAM_H_

/// @file
/// One stream of a link: frames in both directions, with flow control.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "shell/link_codec.h"
#include "shell/link_frame.h"

namespace yuccapick {

class LinkSession;

/// How a stream ended.
struct LinkClose {
  absl::Status status;       ///< Ok if the peer finished the stream normally.
  bool sent = true;          ///< False only if nothing can have been sent.
  bool link_broken = false;  ///< The whole connection was lost.
};

struct LinkStreamHandlers {
  /// Handles a frame. Returning false keeps the frame buffered and stops
  /// receiving until `SetReceiving(true)`.
  std::function<bool(LinkMessageType, std::string_view payload)> on_frame;
  /// Unsent bytes fell below the low watermark after exceeding the high one.
  std::function<void()> on_writable;
  /// Runs once, after the last frame; never after `Reset`.
  std::function<void(const LinkClose&)> on_close;
};

/// Watermarks of unsent bytes. Above the high one the stream is `congested`
/// until the reader has caught up to the low one.
constexpr std::size_t kHighWatermarkBytes = 256 << 10;
constexpr std::size_t kLowWatermarkBytes = 64 << 10;

/// A stream, shared by its session and its users. All methods must be called on
/// the session's loop.
class LinkStream : public std::enable_shared_from_this<LinkStream> {
 public:
  LinkStream(std::weak_ptr<LinkSession> session, std::string path,
             std::string peer);

  /// Path of the request that opened the stream.
  const std::string& path() const { return path_; }
  /// Name that the peer sent when it authenticated.
  const std::string& peer() const { return peer_; }
  std::size_t unsent_bytes() const { return out_.size() - out_begin_; }
  bool congested() const { return congested_; }
  bool closed() const { return closed_; }

  void SetHandlers(LinkStreamHandlers handlers);

  template <LinkMessage T>
  void Send(const T& message) {
    SendFrame(MessageTypeOf<T>(), Encode(message));
  }
  void SendFrame(LinkMessageType type, std::string_view payload);

  /// Ends this direction after all pending output.
  void Finish();
  /// Resets the stream; no callback runs on this end.
  void Reset();
  /// Stops or resumes handling frames; flow control slows the peer down.
  void SetReceiving(bool receiving);

 private:
  friend class LinkSession;
  friend class LinkHttp2;

  void Receive(std::string_view bytes);
  void Deliver();
  void DeliverFrames();
  void ConsumeReceived();
  void OnClosed(LinkClose close);
  void DropHandlers();
  std::size_t DequeueOutput(std::uint8_t* buf, std::size_t n);

  std::weak_ptr<LinkSession> session_;
  std::string path_;
  std::string peer_;
  std::int32_t id_ = 0;
  LinkStreamHandlers handlers_;

  std::string out_;
  std::size_t out_begin_ = 0;
  bool out_finished_ = false;
  bool congested_ = false;

  FrameReader reader_;
  std::size_t unconsumed_bytes_ = 0;  ///< Received, window not yet updated.
  bool receiving_ = true;
  bool delivering_ = false;

  bool sent_ = false;           ///< HEADERS were sent, at least in part.
  bool peer_finished_ = false;  ///< END_STREAM arrived.
  std::uint32_t http_status_ = 0;
  bool closed_ = false;
  bool close_delivered_ = false;
  LinkClose close_;
};

using LinkStreamPtr = std::shared_ptr<LinkStream>;

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_STREAM_H_
