#include "gateway/http_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

#include "gateway/http_status.h"

namespace yuccapick {
namespace {

/// Return values of the parser's callbacks.
constexpr int kContinue = 0;
constexpr int kSkipBody = 1;
constexpr int kStop = -1;

/// Fields take more memory than their bytes. Requests are limited by the memory
/// that callers may take, answers by this.
constexpr std::size_t kMaxAnswerFields = 500;

constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();

bool IsTokenChar(char c) {
  static constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kSymbols.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

std::string_view TrimBlanks(std::string_view text) {
  static constexpr std::string_view kBlank = " \t";
  const std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

/// Supported are no transfer coding, or a single "chunked" without a length.
bool HasSupportedCoding(const HttpHead& head) {
  const std::string* coding = head.Find("transfer-encoding");
  if (coding == nullptr) return true;
  return head.Count("transfer-encoding") == 1 &&
         EqualsIgnoreCase(*coding, "chunked") &&
         head.Count("content-length") == 0;
}

HttpReader& ReaderOf(http_parser* parser) {
  return *static_cast<HttpReader*>(parser->data);
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpField& field : fields) {
    if (EqualsIgnoreCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

std::size_t HttpHead::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(),
      [name](const HttpField& f) { return EqualsIgnoreCase(f.name, name); }));
}

HttpReader::HttpReader(Kind kind, std::size_t max_head_bytes)
    : kind_(kind), max_head_bytes_(max_head_bytes) {
  Reset();
}

void HttpReader::Reset(bool expect_no_body) {
  http_parser_init(&parser_,
                   kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  head_ = HttpHead();
  head_bytes_ = 0;
  in_value_ = false;
  head_done_ = false;
  head_too_long_ = false;
  invalid_ = false;
  status_out_of_range_ = false;
  expect_no_body_ = expect_no_body;
  started_ = false;
  complete_ = false;
}

const http_parser_settings& HttpReader::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = &HttpReader::OnTarget;
    callbacks.on_header_field = &HttpReader::OnField;
    callbacks.on_header_value = &HttpReader::OnValue;
    callbacks.on_headers_complete = &HttpReader::OnHeadersComplete;
    callbacks.on_body = &HttpReader::OnBody;
    callbacks.on_message_complete = &HttpReader::OnMessageComplete;
    return callbacks;
  }();
  return settings;
}

absl::Status HttpReader::Feed(std::string_view bytes, HttpParts& parts) {
  parts = HttpParts();
  if (bytes.empty() || complete_) return absl::OkStatus();
  started_ = true;
  parts_ = &parts;
  parts.consumed =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  parts_ = nullptr;
  if (!head_done_ && !CountHeadBytes(0)) head_too_long_ = true;
  const auto error = static_cast<http_errno>(parser_.http_errno);
  if (error == HPE_OK || error == HPE_PAUSED) return absl::OkStatus();
  return ParseError();
}

absl::Status HttpReader::FeedEof() {
  if (complete_) return absl::OkStatus();
  if (!head_done_) return absl::InvalidArgumentError("closed before the head");
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  if (complete_) return absl::OkStatus();
  return absl::InvalidArgumentError("closed before the message's end");
}

absl::Status HttpReader::ParseError() const {
  if (head_too_long_ || parser_.http_errno == HPE_HEADER_OVERFLOW) {
    return absl::ResourceExhaustedError("head longer than the limit");
  }
  if (invalid_) return absl::InvalidArgumentError("malformed header field");
  if (status_out_of_range_) {
    return absl::InvalidArgumentError(fmt::format(
        "status {} is not within {} to {}",
        static_cast<int>(parser_.status_code), kHttpMinStatus, kHttpMaxStatus));
  }
  return absl::InvalidArgumentError(
      http_errno_description(static_cast<http_errno>(parser_.http_errno)));
}

bool HttpReader::CountHeadBytes(std::size_t n) {
  head_bytes_ += n;
  return head_bytes_ <= max_head_bytes_;
}

bool HttpReader::HasTooManyFields() const {
  return kind_ == Kind::kResponse && head_.fields.size() > kMaxAnswerFields;
}

int HttpReader::OnTarget(http_parser* parser, const char* at, std::size_t n) {
  HttpReader& reader = ReaderOf(parser);
  reader.head_.target.append(at, n);
  reader.head_too_long_ = !reader.CountHeadBytes(n);
  return reader.head_too_long_ ? kStop : kContinue;
}

int HttpReader::OnField(http_parser* parser, const char* at, std::size_t n) {
  HttpReader& reader = ReaderOf(parser);
  if (reader.head_done_) return kContinue;  // Trailers are dropped.
  auto& fields = reader.head_.fields;
  if (reader.in_value_ || fields.empty()) fields.emplace_back();
  reader.in_value_ = false;
  fields.back().name.append(at, n);
  reader.head_too_long_ =
      !reader.CountHeadBytes(n) || reader.HasTooManyFields();
  return reader.head_too_long_ ? kStop : kContinue;
}

int HttpReader::OnValue(http_parser* parser, const char* at, std::size_t n) {
  HttpReader& reader = ReaderOf(parser);
  if (reader.head_done_) return kContinue;
  reader.in_value_ = true;
  reader.head_.fields.back().value.append(at, n);
  reader.head_too_long_ = !reader.CountHeadBytes(n);
  return reader.head_too_long_ ? kStop : kContinue;
}

int HttpReader::FinishHead() {
  head_done_ = true;
  for (HttpField& field : head_.fields) {
    if (!IsToken(field.name)) invalid_ = true;
    field.value = std::string(TrimBlanks(field.value));
  }
  if (!HasSupportedCoding(head_) || parser_.http_major != 1) invalid_ = true;
  if (invalid_) return kStop;
  if (kind_ == Kind::kRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    head_.status = static_cast<int>(parser_.status_code);
    status_out_of_range_ = !IsHttpStatus(head_.status);
    if (status_out_of_range_) return kStop;
  }
  head_.minor_version = parser_.http_minor;
  head_.keep_alive = http_should_keep_alive(&parser_) != 0;
  const bool chunked = (parser_.flags & F_CHUNKED) != 0;
  if (parser_.content_length != kNoLength && !chunked) {
    head_.content_length = parser_.content_length;
  }
  head_.has_body = chunked || head_.content_length.has_value();
  // Upgrades are not supported: the message is parsed as an ordinary one.
  parser_.upgrade = 0;
  parts_->head = std::move(head_);
  return expect_no_body_ ? kSkipBody : kContinue;
}

int HttpReader::OnHeadersComplete(http_parser* parser) {
  return ReaderOf(parser).FinishHead();
}

int HttpReader::OnBody(http_parser* parser, const char* at, std::size_t n) {
  ReaderOf(parser).parts_->body.emplace_back(at, n);
  return kContinue;
}

int HttpReader::OnMessageComplete(http_parser* parser) {
  HttpReader& reader = ReaderOf(parser);
  reader.complete_ = true;
  http_parser_pause(parser, 1);
  return kContinue;
}

}  // namespace yuccapick
