#include "shell/link_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "shell/link_session.h"

namespace yuccapick {
namespace {

/// An empty buffer with a larger capacity is freed.
constexpr std::size_t kMaxIdleBufferBytes = 2 << 10;

}  // namespace

LinkStream::LinkStream(std::weak_ptr<LinkSession> session, std::string path,
                       std::string peer)
    : session_(std::move(session)),
      path_(std::move(path)),
      peer_(std::move(peer)) {}

void LinkStream::SetHandlers(LinkStreamHandlers handlers) {
  handlers_ = std::move(handlers);
}

void LinkStream::SendFrame(LinkMessageType type, std::string_view payload) {
  if (closed_ || out_finished_) return;
  AppendFrame(type, payload, out_);
  congested_ |= unsent_bytes() > kHighWatermarkBytes;
  if (auto session = session_.lock()) session->ResumeStream(id_);
}

void LinkStream::Finish() {
  if (closed_ || out_finished_) return;
  out_finished_ = true;
  if (auto session = session_.lock()) session->ResumeStream(id_);
}

void LinkStream::Reset() {
  const auto self = shared_from_this();
  DropHandlers();
  if (closed_) return;
  closed_ = true;
  if (auto session = session_.lock()) session->ResetStream(id_);
}

void LinkStream::SetReceiving(bool receiving) {
  receiving_ = receiving;
  if (!receiving_) return;
  ConsumeReceived();
  Deliver();
}

void LinkStream::Receive(std::string_view bytes) {
  if (close_delivered_) return;
  reader_.Append(bytes);
  unconsumed_bytes_ += bytes.size();
  Deliver();
}

void LinkStream::Deliver() {
  if (delivering_) return;
  const auto self = shared_from_this();
  delivering_ = true;
  DeliverFrames();
  delivering_ = false;
  if (close_delivered_) handlers_ = {};
  if (receiving_) ConsumeReceived();
  if (closed_ && receiving_ && !close_delivered_) {
    close_delivered_ = true;
    const auto on_close = std::move(handlers_.on_close);
    handlers_ = {};
    if (on_close) on_close(close_);
  }
}

void LinkStream::DeliverFrames() {
  while (receiving_ && !close_delivered_) {
    const auto frame = reader_.Peek();
    if (!frame.ok()) {
      if (auto session = session_.lock()) session->Close(frame.status());
      return;
    }
    if (!frame->has_value()) return;
    const FrameReader::Frame& complete = **frame;
    if (handlers_.on_frame &&
        !handlers_.on_frame(complete.type, complete.payload)) {
      receiving_ = false;
      return;
    }
    reader_.Pop();
  }
}

void LinkStream::ConsumeReceived() {
  if (unconsumed_bytes_ == 0) return;
  const std::size_t n = std::exchange(unconsumed_bytes_, 0);
  if (closed_) return;
  if (auto session = session_.lock()) session->ConsumeReceived(id_, n);
}

void LinkStream::OnClosed(LinkClose close) {
  if (closed_) return;
  closed_ = true;
  close_ = std::move(close);
  Deliver();
}

void LinkStream::DropHandlers() {
  close_delivered_ = true;
  // `Deliver` may be running a handler, which must not be destroyed; it clears
  // the handlers afterwards.
  if (!delivering_) handlers_ = {};
}

std::size_t LinkStream::DequeueOutput(std::uint8_t* buf, std::size_t n) {
  const std::size_t taken = std::min(n, unsent_bytes());
  std::memcpy(buf, out_.data() + out_begin_, taken);
  out_begin_ += taken;
  if (out_begin_ == out_.size()) {
    if (out_.capacity() > kMaxIdleBufferBytes) {
      std::string().swap(out_);
    } else {
      out_.clear();
    }
    out_begin_ = 0;
  } else if (out_begin_ > kHighWatermarkBytes) {
    out_.erase(0, out_begin_);
    out_begin_ = 0;
  }
  return taken;
}

}  // namespace yuccapick
