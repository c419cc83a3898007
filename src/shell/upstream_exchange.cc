#include "shell/upstream_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "yuccapick/engine_protocol.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxBufferedResponseBytes = 4 << 20;
/// Added to the deadline of an operation with an idempotency key, so that its
/// outcome is learnt even after the caller's deadline.
constexpr std::chrono::milliseconds kOperationExtraTimeout{30'000};
constexpr std::chrono::milliseconds kMinDeadline{1};
constexpr long kHttpOk = 200;
constexpr std::uint32_t kHttpNotFound = 404;

/// Header fields that are hop-by-hop or set by this system; not forwarded.
constexpr std::array<std::string_view, 14> kUnforwardedHeaders{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "authorization",
    "idempotency-key",
    "x-request-id",
    "proxy-authorization"};

bool IsForwarded(const Header& header) {
  return std::find(kUnforwardedHeaders.begin(), kUnforwardedHeaders.end(),
                   header.name) == kUnforwardedHeaders.end();
}

std::vector<Header> ForwardedHeaders(const std::vector<Header>& headers) {
  std::vector<Header> kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               IsForwarded);
  return kept;
}

std::string MessageOf(const absl::Status& status) {
  const absl::string_view message = status.message();
  return {message.data(), message.size()};
}

/// Error statuses that are caused by the request itself, so that every upstream
/// would return them. All others are failures of this upstream.
bool IsRequestError(std::uint32_t status) {
  return status == 400 || status == 413 || status == 422;
}

absl::StatusOr<HttpRequest> PlainRequest(const AttemptRequest& attempt,
                                         const std::string& base_url) {
  if (!attempt.target.starts_with('/')) {
    return absl::InvalidArgumentError("path does not begin with '/'");
  }
  HttpRequest request;
  request.method = attempt.method;
  request.url = base_url + attempt.target;
  request.headers = ForwardedHeaders(attempt.headers);
  request.body = attempt.body;
  request.repeatable = attempt.key.empty();
  if (!attempt.key.empty()) {
    request.headers.push_back({"idempotency-key", attempt.key.value});
  }
  return request;
}

HttpRequest ResumeRequest(const AttemptRequest& attempt,
                          const std::string& base_url) {
  HttpRequest request;
  request.method = "POST";
  request.url = fmt::format("{}/v1/streams/{}/resume?from={}", base_url,
                            attempt.resume_attempt.value, attempt.resume_from);
  request.repeatable = true;
  return request;
}

absl::StatusOr<HttpRequest> ModelRequest(const AttemptRequest& attempt,
                                         const std::string& base_url) {
  if (!attempt.resume_attempt.empty()) return ResumeRequest(attempt, base_url);
  absl::StatusOr<std::string> body = EngineRequestBody(attempt);
  if (!body.ok()) return body.status();
  HttpRequest request;
  request.method = "POST";
  const bool chat = attempt.kind == RequestKind::kChatCompletion;
  request.url = base_url + (chat ? "/v1/chat/completions" : "/v1/completions");
  request.headers.push_back({"content-type", "application/json"});
  request.body = *std::move(body);
  request.repeatable = true;
  return request;
}

}  // namespace

absl::StatusOr<HttpRequest> MakeUpstreamRequest(const AttemptRequest& attempt,
                                                const std::string& base_url) {
  absl::StatusOr<HttpRequest> request = attempt.kind == RequestKind::kPlain
                                            ? PlainRequest(attempt, base_url)
                                            : ModelRequest(attempt, base_url);
  if (!request.ok()) return request;
  request->headers.push_back({"x-request-id", attempt.attempt.value});
  request->timeouts.total = std::max(attempt.deadline, kMinDeadline);
  // A late copy of an earlier answer may come on a connection that was used
  // before, and few answers tell which request they belong to.
  request->max_idle = std::chrono::seconds(0);
  if (!attempt.key.empty()) request->timeouts.total += kOperationExtraTimeout;
  return request;
}

UpstreamExchange::UpstreamExchange(const AttemptRequest& attempt,
                                   Outputs outputs)
    : attempt_(attempt.attempt),
      expected_id_(attempt.resume_attempt.empty() ? attempt.attempt
                                                  : attempt.resume_attempt),
      kind_(attempt.kind),
      streamed_(attempt.streamed),
      outputs_(std::move(outputs)),
      parser_(kMaxEventBytes,
              [this](std::string_view data) { OnStreamEvent(data); }) {
  const bool continues =
      !attempt.resume_attempt.empty() || !attempt.continuation.empty();
  if (continues) next_position_ = attempt.resume_from;
}

HttpCallbacks UpstreamExchange::Callbacks() {
  HttpCallbacks callbacks;
  const auto self = shared_from_this();
  callbacks.on_head = [self](long status, const std::vector<Header>& headers) {
    self->OnHead(status, headers);
  };
  callbacks.on_data = [self](std::string_view data) { self->OnData(data); };
  callbacks.on_done = [self](const HttpResult& r) { self->OnDone(r); };
  return callbacks;
}

void UpstreamExchange::OnHead(long status, const std::vector<Header>& headers) {
  if (finished_) return;
  status_ = static_cast<std::uint32_t>(status);
  headers_ = ForwardedHeaders(headers);
  if (kind_ == RequestKind::kPlain) {
    body_mode_ = BodyMode::kPlain;
    return EmitHead(headers_);
  }
  if (status != kHttpOk) {
    body_mode_ = BodyMode::kError;
  } else if (streamed_) {
    body_mode_ = BodyMode::kStream;
    EmitHead(headers_);
  } else {
    body_mode_ = BodyMode::kBuffered;
  }
}

void UpstreamExchange::OnData(std::string_view data) {
  if (finished_) return;
  if (body_mode_ == BodyMode::kPlain) return EmitChunk(data, {});
  if (body_mode_ != BodyMode::kStream) return Buffer(data);
  const absl::Status status = parser_.Feed(data);
  if (!status.ok()) Fail(true, MessageOf(status));
}

void UpstreamExchange::Buffer(std::string_view data) {
  if (body_.size() + data.size() > kMaxBufferedResponseBytes) {
    return Fail(true, "the response is too long; request a streamed one");
  }
  body_.append(data);
}

void UpstreamExchange::OnStreamEvent(std::string_view data) {
  if (finished_) return;
  if (end_marker_seen_) return Fail(true, "stream data after its end marker");
  if (data == kStreamEndMark) {
    end_marker_seen_ = true;
    return;
  }
  absl::StatusOr<EngineAnswer> event = ParseEngineAnswer(data);
  if (!event.ok()) return Fail(true, MessageOf(event.status()));
  if (!HasExpectedId(event->id)) {
    return Fail(true, "the response carries another request's id");
  }
  if (event->usage) usage_ = event->usage;
  next_position_ = event->position.value_or(next_position_);
  EmitChunk(data, std::move(event->text));
}

bool UpstreamExchange::HasExpectedId(const std::string& id) const {
  return id == expected_id_.value;
}

void UpstreamExchange::OnDone(const HttpResult& result) {
  if (finished_) return;
  if (!result.status.ok()) {
    return Fail(result.sent, MessageOf(result.status));
  }
  switch (body_mode_) {
    case BodyMode::kPlain:
      return EmitEnd();
    case BodyMode::kStream:
      if (end_marker_seen_) return EmitEnd();
      return Fail(true, "the stream ended without its end marker");
    case BodyMode::kBuffered:
      return FinishBuffered();
    case BodyMode::kError:
      return FinishError();
  }
}

void UpstreamExchange::FinishBuffered() {
  absl::StatusOr<EngineAnswer> answer = ParseEngineAnswer(body_);
  if (!answer.ok()) return Fail(true, MessageOf(answer.status()));
  if (!HasExpectedId(answer->id)) {
    return Fail(true, "the response carries another request's id");
  }
  usage_ = answer->usage;
  EmitHead(headers_);
  EmitChunk(body_, std::move(answer->text));
  EmitEnd();
}

void UpstreamExchange::FinishError() {
  const bool resumes = expected_id_ != attempt_;
  if (resumes && status_ == kHttpNotFound) {
    finished_ = true;
    const Outputs outputs = std::exchange(outputs_, {});
    return outputs.on_resume_unavailable();
  }
  if (!IsRequestError(status_)) {
    return Fail(true, fmt::format("responded with status {}", status_));
  }
  EmitHead(headers_);
  EmitChunk(body_, {});
  EmitEnd();
}

void UpstreamExchange::EmitHead(std::vector<Header> headers) {
  outputs_.emit(UpstreamHead{{attempt_, status_, std::move(headers)}});
}

void UpstreamExchange::EmitChunk(std::string_view data, std::string text) {
  outputs_.emit(UpstreamChunk{
      {attempt_, next_position_++, std::string(data), std::move(text)}});
}

void UpstreamExchange::EmitEnd() {
  outputs_.emit(
      UpstreamEnd{{attempt_, next_position_, usage_.value_or(Usage{})}});
  Finish();
}

void UpstreamExchange::Fail(bool sent, std::string reason) {
  if (finished_) return;
  outputs_.emit(UpstreamFailed{attempt_, sent, std::move(reason)});
  Finish();
}

void UpstreamExchange::Finish() {
  finished_ = true;
  const Outputs outputs = std::exchange(outputs_, {});
  outputs.on_finished();
}

}  // namespace yuccapick
