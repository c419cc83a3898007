#include "test/gateway/fake_caller_stream.h"

#include <algorithm>
#include <utility>

namespace yuccapick {

void FakeCallerStream::Deliver(std::string_view bytes) {
  input_.append(bytes);
  ScheduleRead();
}

void FakeCallerStream::Leave() {
  left_ = true;
  ScheduleRead();
}

void FakeCallerStream::TakeAll() {
  room_ = std::numeric_limits<std::size_t>::max();
  const OnWritable done = std::exchange(on_writable_, nullptr);
  if (done) done({});
}

void FakeCallerStream::ReadSome(asio::mutable_buffer buf, OnRead done) {
  buf_ = buf;
  on_read_ = std::move(done);
  ScheduleRead();
}

void FakeCallerStream::ScheduleRead() {
  asio::post(loop_, [this] { EndRead(); });
}

void FakeCallerStream::EndRead() {
  if (!on_read_ || (input_.empty() && !left_ && !closed_)) return;
  const OnRead done = std::exchange(on_read_, nullptr);
  if (closed_) return done(asio::error::operation_aborted, 0);
  if (input_.empty()) return done(asio::error::connection_reset, 0);
  const std::size_t n = std::min(input_.size(), buf_.size());
  std::copy_n(input_.data(), n, static_cast<char*>(buf_.data()));
  input_.erase(0, n);
  done({}, n);
}

std::size_t FakeCallerStream::WriteSome(std::string_view bytes,
                                        asio::error_code& ec) {
  if (closed_ || (writes_left_ && (*writes_left_)-- <= 0)) {
    ec = asio::error::connection_reset;
    return 0;
  }
  const std::size_t n = std::min(room_, bytes.size());
  room_ -= n;
  output_.append(bytes.substr(0, n));
  if (n < bytes.size()) ec = asio::error::would_block;
  return n;
}

void FakeCallerStream::Close() {
  closed_ = true;
  on_writable_ = nullptr;
  ScheduleRead();
}

std::shared_ptr<PendingRequest> HoldingHandler::OnRequest(
    IngressRequest request, std::shared_ptr<IngressSession> session) {
  auto pending = std::make_shared<HeldRequest>();
  pending->request = std::move(request);
  pending->session = session;
  held.push_back(pending);
  if (streams_at_once) {
    session->BeginStream(200, {});
    session->StreamBody("part");
  }
  return pending;
}

std::size_t SessionOnFakeStream::answers() const {
  static constexpr std::string_view kStatusLine = "HTTP/1.1 ";
  static constexpr std::string_view kInterim = "HTTP/1.1 1";
  const std::string& output = stream->output();
  std::size_t n = 0;
  for (std::size_t at = output.find(kStatusLine); at != std::string::npos;
       at = output.find(kStatusLine, at + 1)) {
    if (output.compare(at, kInterim.size(), kInterim) != 0) ++n;
  }
  return n;
}

}  // namespace yuccapick
