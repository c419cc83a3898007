#ifndef YUCCAPICK_UTIL_DETAIL_STREAM_CHECK_H_
#define YUCCAPICK_UTIL_DETAIL_STREAM_CHECK_H_

/// @file
/// Compares a streamed or unstreamed chat answer with the expected text.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace yuccapick::load {

enum class CheckResult { kComplete, kIncomplete, kWrong };

/// Parses and checks server-sent events as they arrive.
class StreamCheck {
 public:
  /// @param on_token called for each event with text
  StreamCheck(std::string expected, std::function<void()> on_token)
      : expected_(std::move(expected)), on_token_(std::move(on_token)) {}

  /// Adds the next bytes of the body.
  void Add(std::string_view data);

  /// Returns the result after the end of the body.
  CheckResult Finish() const;

  std::uint64_t tokens() const { return tokens_; }
  std::uint64_t prompt_tokens() const { return prompt_tokens_; }
  std::uint64_t cached_tokens() const { return cached_tokens_; }
  /// Returns the content of an error event; empty if there was none.
  const std::string& error() const { return error_; }

 private:
  void ParseLine(std::string_view line);
  void ParseEvent(std::string_view payload);

  std::string expected_;
  std::function<void()> on_token_;
  std::string buf_;
  std::string text_;
  std::string error_;
  std::uint64_t tokens_ = 0;
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t cached_tokens_ = 0;
  bool finish_reason_ = false;
  bool done_ = false;
  bool malformed_ = false;
};

/// Checks the body of an unstreamed answer.
CheckResult CheckWhole(const std::string& body, const std::string& expected);

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_STREAM_CHECK_H_
