#ifndef YUCCAPICK_SHELL_LINK_STREAM_H_
#define YUCCAPICK_SHELL_LINK_STREAM_H_

/// @file
/// One stream of a link: frames both ways under flow control.

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
  absl::Status status;       ///< Ok if the peer ended the stream in order.
  bool sent = true;          ///< False only if no byte of it can have left.
  bool link_broken = false;  ///< The connection ended, not the stream alone.
};

struct LinkStreamHandlers {
  /// Takes a frame; false keeps it and stops receiving until
  /// `SetReceiving(true)`.
  std::function<bool(LinkMessageType, std::string_view payload)> on_frame;
  /// Unsent bytes fell below the low mark after `Send` went above the high one.
  std::function<void()> on_writable;
  /// Runs once, after the last frame; not after `Reset`.
  std::function<void(const LinkClose&)> on_close;
};

/// Marks of a sender that waits for a slow reader.
constexpr std::size_t kHighMarkBytes = 256 << 10;
constexpr std::size_t kLowMarkBytes = 64 << 10;

/// A stream. The session and its users share it; all calls are made on the
/// loop of the session.
class LinkStream : public std::enable_shared_from_this<LinkStream> {
 public:
  LinkStream(std::weak_ptr<LinkSession> session, std::string path,
             std::string peer);

  /// Path of the request that opened the stream.
  const std::string& path() const { return path_; }
  /// Name that the peer gave itself.
  const std::string& peer() const { return peer_; }
  std::size_t unsent_bytes() const { return out_.size() - out_begin_; }
  bool congested() const { return congested_; }
  bool closed() const { return closed_; }

  void SetHandlers(LinkStreamHandlers handlers);

  template <LinkMessage T>
  void Send(const T& message) {
    SendFrame(TypeOf<T>(), Encode(message));
  }
  void SendFrame(LinkMessageType type, std::string_view payload);

  /// Ends this direction after what was sent.
  void Finish();
  /// Ends both directions at once, without a callback.
  void Reset();
  /// Stops or resumes taking frames; the peer is slowed by flow control.
  void SetReceiving(bool receiving);

 private:
  friend class LinkSession;
  friend class LinkHttp2;

  void Receive(std::string_view bytes);
  void Deliver();
  void DeliverFrames();
  void ReturnWindow();
  void End(LinkClose close);
  void Forget();
  std::size_t TakeOutput(std::uint8_t* buf, std::size_t n);

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
  std::size_t held_window_ = 0;  ///< Received bytes not yet given back.
  bool receiving_ = true;
  bool delivering_ = false;

  bool sent_ = false;           ///< Its HEADERS left, at least in part.
  bool peer_finished_ = false;  ///< END_STREAM arrived.
  std::uint32_t http_status_ = 0;
  bool closed_ = false;
  bool close_delivered_ = false;
  LinkClose close_;
};

using LinkStreamPtr = std::shared_ptr<LinkStream>;

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_STREAM_H_
