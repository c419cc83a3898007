#include "shell/link_frame.h"

#include <fmt/format.h>

namespace yuccapick {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr int kBitsPerByte = 8;
constexpr std::size_t kCompactionThresholdBytes = 64 << 10;
/// An empty buffer with a larger capacity is freed.
constexpr std::size_t kMaxIdleBufferBytes = 2 << 10;

}  // namespace

void AppendFrame(LinkMessageType type, std::string_view payload,
                 std::string& out) {
  const auto length = static_cast<std::uint32_t>(payload.size() + 1);
  for (int shift = 24; shift >= 0; shift -= kBitsPerByte) {
    out.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  out.push_back(static_cast<char>(type));
  out.append(payload);
}

void FrameReader::Append(std::string_view bytes) {
  if (begin_ == buf_.size()) {
    if (buf_.capacity() > kMaxIdleBufferBytes) {
      std::string().swap(buf_);
    } else {
      buf_.clear();
    }
    begin_ = 0;
  } else if (begin_ > kCompactionThresholdBytes) {
    buf_.erase(0, begin_);
    begin_ = 0;
  }
  buf_.append(bytes);
}

std::uint32_t FrameReader::FirstFrameLength() const {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length =
        (length << kBitsPerByte) | static_cast<unsigned char>(buf_[begin_ + i]);
  }
  return length;
}

absl::StatusOr<std::optional<FrameReader::Frame>> FrameReader::Peek() const {
  if (buffered_bytes() < kLengthBytes) return std::optional<Frame>();
  const std::uint32_t length = FirstFrameLength();
  if (length == 0 || length > max_frame_bytes_) {
    return absl::ResourceExhaustedError(fmt::format(
        "link frame of {} bytes is outside the range of 1 to {}; the peer does "
        "not speak this protocol, or max_body_bytes must be lowered",
        length, max_frame_bytes_));
  }
  if (buffered_bytes() < kLengthBytes + length) return std::optional<Frame>();
  Frame frame;
  frame.type = static_cast<LinkMessageType>(buf_[begin_ + kLengthBytes]);
  const std::string_view buffered = buf_;
  frame.payload = buffered.substr(begin_ + kFrameHeaderBytes, length - 1);
  return std::optional<Frame>(frame);
}

void FrameReader::Pop() { begin_ += kLengthBytes + FirstFrameLength(); }

}  // namespace yuccapick
