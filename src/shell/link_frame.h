#ifndef YUCCAPICK_SHELL_LINK_FRAME_H_
#define YUCCAPICK_SHELL_LINK_FRAME_H_

/// @file
/// Framing of a link stream: a 4-byte big-endian length, a 1-byte type and a
/// payload. The length covers type and payload.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace yuccapick {

/// Frame types. The values are part of the wire protocol.
enum class LinkMessageType : std::uint8_t {
  kAuth = 1,
  kAttemptRequest = 2,
  kAnswerHead = 3,
  kAnswerChunk = 4,
  kAnswerEnd = 5,
  kAttemptFailed = 6,
  kWatchRequest = 7,
  kAgentReport = 8,
  kEngineOrder = 9,
  kOrderResult = 10,
  kCall = 11,
  kCallResult = 12,
};

/// Maximum size of the type and payload of one frame.
constexpr std::size_t kMaxFrameBytes = 8 << 20;
constexpr std::size_t kFrameHeaderBytes = 5;

void AppendFrame(LinkMessageType type, std::string_view payload,
                 std::string& out);

/// Reassembles frames from the bytes of a stream.
class FrameReader {
 public:
  struct Frame {
    LinkMessageType type;
    std::string_view payload;  ///< Valid until the next `Append` or `Pop`.
  };

  explicit FrameReader(std::size_t max_frame_bytes = kMaxFrameBytes)
      : max_frame_bytes_(max_frame_bytes) {}

  void Append(std::string_view bytes);
  /// Removes the frame that `Peek` returned.
  void Pop();

  /// Returns the first complete frame, nothing if it has not arrived yet, or
  /// `kResourceExhausted` if its length is invalid; the stream is unusable
  /// then.
  absl::StatusOr<std::optional<Frame>> Peek() const;
  std::size_t buffered_bytes() const { return buf_.size() - begin_; }

 private:
  std::uint32_t FirstFrameLength() const;

  std::size_t max_frame_bytes_;
  std::string buf_;
  std::size_t begin_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_FRAME_H_
