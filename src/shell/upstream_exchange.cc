#include "shell/upstream_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "yuccapick/engine_protocol.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxWholeAnswerBytes = 4 << 20;
/// An operation may run on after its caller's deadline, so that its outcome is
/// learnt.
constexpr std::chrono::milliseconds kOperationGrace{30'000};
constexpr std::chrono::milliseconds kShortestDeadline{1};
constexpr long kHttpOk = 200;
constexpr std::uint32_t kHttpNotFound = 404;

/// Header fields that belong to one connection or to this system.
constexpr std::array<std::string_view, 14> kNotPassedOn{"connection",
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

bool IsPassedOn(const Header& header) {
  return std::find(kNotPassedOn.begin(), kNotPassedOn.end(), header.name) ==
         kNotPassedOn.end();
}

std::vector<Header> PassedOn(const std::vector<Header>& headers) {
  std::vector<Header> kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               IsPassedOn);
  return kept;
}

std::string MessageOf(const absl::Status& status) {
  const absl::string_view message = status.message();
  return {message.data(), message.size()};
}

/// Refusals that concern the request itself, so that every upstream would give
/// them. All others are failures of this upstream.
bool ConcernsRequest(std::uint32_t status) {
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
  request.headers = PassedOn(attempt.headers);
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
  request->timeouts.total = std::max(attempt.deadline, kShortestDeadline);
  if (!attempt.key.empty()) request->timeouts.total += kOperationGrace;
  return request;
}

UpstreamExchange::UpstreamExchange(const AttemptRequest& attempt,
                                   Outputs outputs)
    : attempt_(attempt.attempt),
      answer_id_(attempt.resume_attempt.empty() ? attempt.attempt
                                                : attempt.resume_attempt),
      kind_(attempt.kind),
      streamed_(attempt.streamed),
      outputs_(std::move(outputs)),
      parser_(kMaxEventBytes,
              [this](std::string_view data) { OnStreamEvent(data); }) {
  const bool goes_on =
      !attempt.resume_attempt.empty() || !attempt.continuation.empty();
  if (goes_on) next_position_ = attempt.resume_from;
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
  if (is_over_) return;
  status_ = static_cast<std::uint32_t>(status);
  headers_ = PassedOn(headers);
  if (kind_ == RequestKind::kPlain) {
    form_ = Form::kPlain;
    return EmitHead(headers_);
  }
  if (status != kHttpOk) {
    form_ = Form::kRefusal;
  } else if (streamed_) {
    form_ = Form::kStream;
    EmitHead(headers_);
  } else {
    form_ = Form::kWhole;
  }
}

void UpstreamExchange::OnData(std::string_view data) {
  if (is_over_) return;
  if (form_ == Form::kPlain) return EmitChunk(data, {});
  if (form_ != Form::kStream) return Buffer(data);
  const absl::Status status = parser_.Feed(data);
  if (!status.ok()) Fail(true, MessageOf(status));
}

void UpstreamExchange::Buffer(std::string_view data) {
  if (body_.size() + data.size() > kMaxWholeAnswerBytes) {
    return Fail(true, "the answer is too long; ask for a streamed one");
  }
  body_.append(data);
}

void UpstreamExchange::OnStreamEvent(std::string_view data) {
  if (is_over_) return;
  if (end_mark_) return Fail(true, "the stream went on after its end mark");
  if (data == kStreamEndMark) {
    end_mark_ = true;
    return;
  }
  absl::StatusOr<EngineAnswer> event = ParseEngineAnswer(data);
  if (!event.ok()) return Fail(true, MessageOf(event.status()));
  if (!IsOurs(event->id)) {
    return Fail(true, "the answer carries another request's id");
  }
  if (event->usage) usage_ = event->usage;
  next_position_ = event->position.value_or(next_position_);
  EmitChunk(data, std::move(event->text));
}

bool UpstreamExchange::IsOurs(const std::string& id) const {
  return id == answer_id_.value;
}

void UpstreamExchange::OnDone(const HttpResult& result) {
  if (is_over_) return;
  if (!result.status.ok()) {
    return Fail(result.sent, MessageOf(result.status));
  }
  switch (form_) {
    case Form::kPlain:
      return EmitEnd();
    case Form::kStream:
      if (end_mark_) return EmitEnd();
      return Fail(true, "the stream ended without its end mark");
    case Form::kWhole:
      return EndWhole();
    case Form::kRefusal:
      return EndRefusal();
  }
}

void UpstreamExchange::EndWhole() {
  absl::StatusOr<EngineAnswer> answer = ParseEngineAnswer(body_);
  if (!answer.ok()) return Fail(true, MessageOf(answer.status()));
  if (!IsOurs(answer->id)) {
    return Fail(true, "the answer carries another request's id");
  }
  usage_ = answer->usage;
  EmitHead(headers_);
  EmitChunk(body_, std::move(answer->text));
  EmitEnd();
}

void UpstreamExchange::EndRefusal() {
  const bool resumes = answer_id_ != attempt_;
  if (resumes && status_ == kHttpNotFound) {
    is_over_ = true;
    const Outputs outputs = std::exchange(outputs_, {});
    return outputs.not_held();
  }
  if (!ConcernsRequest(status_)) {
    return Fail(true, fmt::format("answered with status {}", status_));
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
  Over();
}

void UpstreamExchange::Fail(bool sent, std::string reason) {
  if (is_over_) return;
  outputs_.emit(UpstreamFailed{attempt_, sent, std::move(reason)});
  Over();
}

void UpstreamExchange::Over() {
  is_over_ = true;
  const Outputs outputs = std::exchange(outputs_, {});
  outputs.over();
}

}  // namespace yuccapick
