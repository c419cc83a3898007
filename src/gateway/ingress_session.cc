#include "gateway/ingress_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "gateway/http_status.h"

namespace yuccapick {
namespace {

/// Limit on buffered input, such as pipelined requests.
constexpr std::size_t kMaxUnparsedBytes = 8'192;

/// The connection is aborted if a slow caller leaves more unsent bytes of an
/// answer that is still being received.
constexpr std::size_t kMaxUnsentBytes = 8'388'608;
/// Written bytes are dropped from the buffer in blocks of at least this size.
constexpr std::size_t kMinDroppedBytes = 65'536;

std::string_view ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

/// True if the caller waits for an interim answer before it sends its body.
/// Callers of HTTP/1.0 don't know interim answers.
bool ExpectsContinue(const HttpHead& head) {
  const std::string* expect = head.Find("expect");
  return expect != nullptr && head.minor_version > 0 &&
         EqualsIgnoreCase(*expect, "100-continue");
}

bool AllowsBody(int status) {
  return status != kHttpNoContent && status != kHttpNotModified;
}

}  // namespace

IngressSession::IngressSession(std::shared_ptr<CallerStream> stream,
                               IngressHandler& handler)
    : stream_(std::move(stream)),
      handler_(handler),
      reader_(HttpReader::Kind::kRequest, handler.limits().max_header_bytes),
      held_(handler.request_memory()),
      last_active_(std::chrono::steady_clock::now()) {}

void IngressSession::Start() {
  CountMemory();
  Read();
}

void IngressSession::Read() {
  if (reading_ || closed_) return;
  const std::size_t unused = unparsed_.size() + discarded_bytes_;
  if (!lingering_ && unused >= kMaxUnparsedBytes) return;
  reading_ = true;
  auto self = shared_from_this();
  stream_->ReadSome(asio::buffer(buf_),
                    [self](const asio::error_code& ec, std::size_t n) {
                      self->reading_ = false;
                      self->OnRead(ec, n);
                    });
}

void IngressSession::OnRead(const asio::error_code& ec, std::size_t n) {
  if (closed_) return;
  if (ec) {
    const auto pending = std::exchange(pending_request_, nullptr);
    Close();
    if (pending != nullptr) pending->OnCallerDisconnected();
    return;
  }
  if (input_ended_) {
    discarded_bytes_ += n;
    return Read();
  }
  last_active_ = std::chrono::steady_clock::now();
  unparsed_.append(buf_.data(), n);
  received_.OnBytes(n);
  ParseInput();
  CheckHeadMemory();
  CountMemory();
  Read();
}

void IngressSession::ParseInput() {
  while (!unparsed_.empty() && !in_request_ && !closed_ && !input_ended_ &&
         unsent_bytes() < kMinUnsentBytes) {
    if (reader_.at_start()) {
      message_started_at_ = last_active_;
      received_.Start(last_active_);
      reader_.set_max_head_bytes(handler_.limits().max_header_bytes);
    }
    HttpParts parts;
    const absl::Status status = reader_.Feed(unparsed_, parts);
    const bool expects_continue = parts.head && ExpectsContinue(*parts.head);
    if (parts.head) ReceiveHead(*std::move(parts.head));
    for (const std::string_view bytes : parts.body) ReceiveBody(bytes);
    if (absl::IsResourceExhausted(status)) {
      return Refuse(kHttpRequestHeaderFieldsTooLarge, "header too large");
    }
    if (!status.ok()) return Refuse(kHttpBadRequest, "malformed request");
    if (body_too_long_) {
      return Refuse(kHttpPayloadTooLarge, "body too large");
    }
    if (out_of_memory_) {
      return Refuse(kHttpUnavailable, "out of memory for requests",
                    {{"Retry-After", std::string(kMemoryRetryAfter)}});
    }
    unparsed_.erase(0, parts.consumed);
    // Whoever has sent the whole body doesn't wait for an interim answer.
    if (reader_.complete()) {
      Dispatch();
    } else if (expects_continue) {
      SendContinue();
    }
  }
}

void IngressSession::ReceiveHead(HttpHead head) {
  const std::size_t limit = handler_.limits().max_body_bytes;
  if (head.content_length && *head.content_length > limit) {
    body_too_long_ = true;
  }
  request_.memory = MemoryShare(handler_.request_memory());
  out_of_memory_ = !request_.memory.Resize(reader_.head_bytes());
  if (head.content_length && !body_too_long_ && !out_of_memory_) {
    ReserveBody(static_cast<std::size_t>(*head.content_length));
  }
  request_.head = std::move(head);
}

void IngressSession::SendContinue() {
  output_ += fmt::format("HTTP/1.1 {} {}\r\n\r\n", kHttpContinue,
                         ReasonPhrase(kHttpContinue));
  Flush();
}

void IngressSession::ReceiveBody(std::string_view bytes) {
  if (body_too_long_ || out_of_memory_) return;
  const std::size_t size = request_.body.size() + bytes.size();
  if (size > request_.body.capacity()) {
    const std::size_t limit = handler_.limits().max_body_bytes;
    body_too_long_ = size > limit;
    if (body_too_long_) return;
    ReserveBody(std::min(std::max(size, request_.body.capacity() * 2), limit));
    if (out_of_memory_) return;
  }
  request_.body.append(bytes);
  body_too_long_ = request_.body.size() > handler_.limits().max_body_bytes;
}

void IngressSession::ReserveBody(std::size_t bytes) {
  const std::size_t head = reader_.head_bytes();
  // While the body moves to a larger buffer, both are held.
  const std::size_t old = request_.body.empty() ? 0 : request_.body.capacity();
  out_of_memory_ = !request_.memory.Resize(head + bytes + old);
  if (out_of_memory_) return;
  request_.body.reserve(bytes);
  request_.memory.Set(head + bytes);
}

void IngressSession::Dispatch() {
  in_request_ = true;
  is_head_request_ = request_.head.method == "HEAD";
  caller_supports_chunked_ = request_.head.minor_version > 0;
  if (!request_.head.keep_alive) close_after_answer_ = true;
  request_.arrived_at = message_started_at_;
  IngressRequest request = std::exchange(request_, IngressRequest());
  std::shared_ptr<PendingRequest> pending =
      handler_.OnRequest(std::move(request), shared_from_this());
  if (in_request_) {
    pending_request_ = std::move(pending);
  } else if (closed_ && pending != nullptr) {
    // The connection failed while the request was handed over.
    pending->OnCallerDisconnected();
  }
}

void IngressSession::Refuse(int status, std::string_view reason,
                            const std::vector<HttpField>& fields) {
  const std::string body = handler_.OnBadRequest(status, reason);
  // Where the next request would begin isn't known.
  EndInput();
  close_after_answer_ = true;
  in_request_ = true;
  DropRequest();
  Respond(status, fields, body);
}

void IngressSession::DropRequest() {
  // Assigning an empty string would keep the buffer.
  std::string().swap(request_.body);
  request_ = IngressRequest();
}

void IngressSession::WriteHead(int status, const std::vector<HttpField>& fields,
                               std::string_view framing) {
  auto out = std::back_inserter(output_);
  fmt::format_to(out, "HTTP/1.1 {} {}\r\n", status, ReasonPhrase(status));
  for (const HttpField& field : fields) {
    fmt::format_to(out, "{}: {}\r\n", field.name, field.value);
  }
  if (close_after_answer_) {
    output_ += "Connection: close\r\n";
    EndInput();
  }
  output_ += framing;
  output_ += "\r\n";
}

void IngressSession::Respond(int status, const std::vector<HttpField>& fields,
                             std::string_view body) {
  if (closed_ || !in_request_) return;
  std::string framing;
  if (AllowsBody(status)) {
    framing = fmt::format("Content-Length: {}\r\n", body.size());
  }
  WriteHead(status, fields, framing);
  if (!is_head_request_ && AllowsBody(status)) output_ += body;
  FinishAnswer();
}

void IngressSession::BeginStream(int status,
                                 const std::vector<HttpField>& fields) {
  if (closed_ || !in_request_) return;
  streaming_ = true;
  chunked_ = caller_supports_chunked_;
  if (!chunked_) {
    close_after_answer_ = true;
    // Only a reset tells the caller that such an answer is incomplete, however
    // it is cut: its end in order is the end of the connection.
    stream_->SetResetOnClose(true);
  }
  WriteHead(status, fields, chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void IngressSession::StreamBody(std::string_view bytes) {
  if (closed_ || bytes.empty()) return;
  if (chunked_) {
    fmt::format_to(std::back_inserter(output_), "{:x}\r\n", bytes.size());
    output_ += bytes;
    output_ += "\r\n";
  } else {
    output_ += bytes;
  }
  Flush();
}

void IngressSession::EndStream() {
  if (closed_) return;
  if (chunked_) output_ += "0\r\n\r\n";
  FinishAnswer();
}

void IngressSession::FinishAnswer() {
  in_request_ = false;
  pending_request_ = nullptr;
  chunked_ = false;
  streaming_ = false;
  body_too_long_ = false;
  out_of_memory_ = false;
  last_active_ = std::chrono::steady_clock::now();
  reader_.Reset();
  if (close_after_answer_) EndInput();
  Flush();
  if (closed_) return;
  if (close_after_answer_) {
    if (output_.empty()) BeginLingeringClose();
    return;
  }
  CountMemory();
  ContinueAfterAnswer();
}

void IngressSession::ContinueAfterAnswer() {
  if (unparsed_.empty()) return;
  auto self = shared_from_this();
  asio::post(stream_->executor(), [self] {
    self->ParseInput();
    self->CountMemory();
    self->Read();
  });
}

void IngressSession::OnWritten(std::size_t bytes) {
  if (bytes == 0) return;
  last_active_ = std::chrono::steady_clock::now();
  sent_.OnBytes(bytes);
}

void IngressSession::Flush() {
  if (waiting_to_write_ || closed_) return;
  asio::error_code ec;
  if (!std::exchange(sending_, true)) {
    sent_.Start(std::chrono::steady_clock::now());
  }
  const std::string_view all = output_;
  const std::size_t n = stream_->WriteSome(all.substr(output_sent_), ec);
  output_sent_ += n;
  OnWritten(n);
  if (output_sent_ < output_.size()) {
    // A complete answer doesn't grow any more, whatever its size.
    const bool overflows = streaming_ && unsent_bytes() > kMaxUnsentBytes;
    if (ec != asio::error::would_block || overflows) return Abort();
    DropWritten();
    CountMemory();
    return WaitToWrite();
  }
  output_.clear();
  output_sent_ = 0;
  sending_ = false;
  CountMemory();
}

void IngressSession::DropWritten() {
  if (output_sent_ < kMinDroppedBytes) return;
  output_.erase(0, output_sent_);
  output_sent_ = 0;
}

void IngressSession::WaitToWrite() {
  waiting_to_write_ = true;
  auto self = shared_from_this();
  stream_->WaitWritable([self](const asio::error_code& ec) {
    self->waiting_to_write_ = false;
    if (self->closed_ || ec) return;
    self->Flush();
    if (self->closed_) return;
    if (self->output_.empty()) self->OnFlushed();
    const auto pending = self->pending_request_;
    if (pending != nullptr && !self->output_full()) pending->OnOutputRoom();
  });
}

void IngressSession::OnFlushed() {
  if (in_request_) return;
  if (close_after_answer_) return BeginLingeringClose();
  ContinueAfterAnswer();
}

void IngressSession::BeginLingeringClose() {
  if (lingering_ || closed_) return;
  lingering_ = true;
  last_active_ = std::chrono::steady_clock::now();
  message_started_at_ = last_active_;
  EndInput();
  stream_->SetResetOnClose(false);
  stream_->ShutdownSend();
  Read();
}

void IngressSession::EndInput() {
  input_ended_ = true;
  std::string().swap(unparsed_);
  reader_.Reset();
}

void IngressSession::Abort() {
  const auto pending = std::exchange(pending_request_, nullptr);
  Close();
  if (pending != nullptr) pending->OnCallerDisconnected();
}

void IngressSession::Close() {
  if (closed_) return;
  closed_ = true;
  in_request_ = false;
  std::string().swap(output_);
  output_sent_ = 0;
  DropRequest();
  EndInput();
  held_.Release();
  stream_->Close();
}

void IngressSession::Drain() {
  close_after_answer_ = true;
  if (!in_request_ && reader_.at_start() && output_.empty()) {
    BeginLingeringClose();
  }
}

bool IngressSession::EndRequest(const std::vector<HttpField>& refusal) {
  if (closed_ || lingering_) return false;
  close_after_answer_ = true;
  const auto pending = pending_request_;
  if (pending != nullptr) {
    pending->OnShutdown();
    return true;
  }
  if (!receiving()) return false;
  in_request_ = true;
  Respond(kHttpUnavailable, refusal, "stopping\n");
  return true;
}

}  // namespace yuccapick
