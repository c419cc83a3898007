#ifndef YUCCAPICK_UTIL_DETAIL_STREAM_CHECK_H_
#define YUCCAPICK_UTIL_DETAIL_STREAM_CHECK_H_

/// @file
/// Checks a streamed or whole chat answer against the expected text.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace yuccapick::load {

enum class Verdict { kComplete, kIncomplete, kWrong };

/// Reads server-sent events as they arrive.
class StreamCheck {
 public:
  /// @param on_token runs for each event that carries text
  StreamCheck(std::string expected, std::function<void()> on_token)
      : expected_(std::move(expected)), on_token_(std::move(on_token)) {}

  /// Takes the next bytes of the body.
  void Add(std::string_view data);

  /// Returns the verdict on a body that has ended.
  Verdict Finish() const;

  std::uint64_t tokens() const { return tokens_; }
  std::uint64_t prompt_tokens() const { return prompt_tokens_; }
  std::uint64_t cached_tokens() const { return cached_tokens_; }
  /// Text of an error event; empty if there was none.
  const std::string& error() const { return error_; }

 private:
  void TakeLine(std::string_view line);
  void TakeEvent(std::string_view payload);

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

/// Returns the verdict on a whole answer's body.
Verdict CheckWhole(const std::string& body, const std::string& expected);

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_STREAM_CHECK_H_
