#ifndef YUCCAPICK_GATEWAY_HTTP_READER_H_
#define YUCCAPICK_GATEWAY_HTTP_READER_H_

/// @file
/// Incremental parser for HTTP/1.1 messages.

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace yuccapick {

struct HttpField {
  std::string name;
  std::string value;
};

/// Head of a request or response.
struct HttpHead {
  std::string method;  ///< Requests only.
  std::string target;  ///< Requests only.
  int status = 0;      ///< Responses only.
  std::vector<HttpField> fields;
  int minor_version = 1;   ///< 0 for HTTP/1.0, 1 for HTTP/1.1.
  bool keep_alive = true;  ///< The sender keeps the connection open.
  bool has_body = false;   ///< A length or chunked coding is given.
  std::optional<std::uint64_t> content_length;

  /// @return the value of the first field of that name, ignoring case, or null
  const std::string* Find(std::string_view name) const;
  /// @return number of fields of that name
  std::size_t Count(std::string_view name) const;
};

/// Compares ASCII text, such as field names, ignoring case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// What `HttpReader::Feed` found in the bytes that it was given, in this order.
struct HttpParts {
  std::optional<HttpHead> head;        ///< Set if the head ended in them.
  std::vector<std::string_view> body;  ///< Views of the bytes; may be empty.
  std::size_t consumed = 0;            ///< Number of bytes parsed.
};

/// Parses one message at a time; call `Reset` before the next one. It returns
/// the parts of a message instead of reporting them by callbacks: whoever acts
/// on a part may free the bytes or end the connection that they came from, and
/// must not do so while they are being parsed.
class HttpReader {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  /// @param max_head_bytes longest head that is accepted
  HttpReader(Kind kind, std::size_t max_head_bytes);

  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Parses bytes up to the end of the message.
  /// @param parts receives what was found, also before an error
  /// @return ResourceExhausted for a head over the limit, InvalidArgument for
  ///   a malformed message
  absl::Status Feed(std::string_view bytes, HttpParts& parts);
  /// Handles the end of the input, which ends a message without a length.
  /// @return InvalidArgument if the message is incomplete
  absl::Status FeedEof();
  /// Prepares for another message.
  /// @param expect_no_body the response answers a HEAD request
  void Reset(bool expect_no_body = false);

  /// True if no byte of the current message was parsed.
  bool at_start() const { return !started_; }
  bool complete() const { return complete_; }
  /// True if the head of the current message was parsed.
  bool head_done() const { return head_done_; }
  /// Bytes of the current message's head that were parsed.
  std::size_t head_bytes() const { return head_bytes_; }
  /// Memory that the head takes until it is complete.
  std::size_t head_memory() const {
    return head_bytes_ + head_.fields.capacity() * sizeof(HttpField);
  }
  void set_max_head_bytes(std::size_t bytes) { max_head_bytes_ = bytes; }

 private:
  static const http_parser_settings& Callbacks();
  static int OnField(http_parser* parser, const char* at, std::size_t n);
  static int OnValue(http_parser* parser, const char* at, std::size_t n);
  static int OnTarget(http_parser* parser, const char* at, std::size_t n);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t n);
  static int OnMessageComplete(http_parser* parser);

  bool CountHeadBytes(std::size_t n);
  bool HasTooManyFields() const;
  int FinishHead();
  absl::Status ParseError() const;

  Kind kind_;
  std::size_t max_head_bytes_;
  http_parser parser_;
  HttpParts* parts_ = nullptr;  ///< Of the call of `Feed` in progress.
  HttpHead head_;
  std::size_t head_bytes_ = 0;
  bool in_value_ = false;
  bool head_done_ = false;
  bool head_too_long_ = false;
  bool invalid_ = false;
  bool status_out_of_range_ = false;
  bool expect_no_body_ = false;
  bool started_ = false;
  bool complete_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_HTTP_READER_H_
