#include "util/detail/stream_check.h"

#include <nlohmann/json.hpp>

namespace yuccapick::load {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kData = "data:";
constexpr std::string_view kDone = "[DONE]";

}  // namespace

void StreamCheck::Add(std::string_view data) {
  buf_.append(data);
  const std::string_view lines = buf_;
  std::size_t start = 0;
  for (std::size_t end = buf_.find('\n'); end != std::string::npos;
       end = buf_.find('\n', start)) {
    ParseLine(lines.substr(start, end - start));
    start = end + 1;
  }
  buf_.erase(0, start);
}

void StreamCheck::ParseLine(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (!line.starts_with(kData)) return;
  line.remove_prefix(kData.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  if (done_) malformed_ = true;
  if (line == kDone) {
    done_ = true;
  } else {
    ParseEvent(line);
  }
}

void StreamCheck::ParseEvent(std::string_view payload) {
  const Json event = Json::parse(payload, nullptr, false);
  if (!event.is_object()) {
    malformed_ = true;
    return;
  }
  if (event.contains("error")) {
    error_ = event["error"].dump();
    return;
  }
  try {
    const Json& choice = event.at("choices").at(0);
    const std::string text = choice.contains("delta")
                                 ? choice["delta"].value("content", "")
                                 : choice.value("text", "");
    if (choice.contains("finish_reason") &&
        !choice["finish_reason"].is_null()) {
      finish_reason_ = true;
    }
    if (event.contains("usage") && event["usage"].is_object()) {
      const Json& usage = event["usage"];
      prompt_tokens_ = usage.value("prompt_tokens", std::uint64_t{0});
      cached_tokens_ = usage.value("prompt_tokens_details", Json::object())
                           .value("cached_tokens", std::uint64_t{0});
    }
    if (text.empty()) return;
    text_ += text;
    ++tokens_;
    on_token_();
  } catch (const Json::exception&) {
    malformed_ = true;
  }
}

CheckResult StreamCheck::Finish() const {
  if (malformed_ || !expected_.starts_with(text_)) return CheckResult::kWrong;
  if (!done_ || !finish_reason_) return CheckResult::kIncomplete;
  // A stream with a regular end but missing text was truncated, which is wrong
  // rather than incomplete.
  return text_ == expected_ ? CheckResult::kComplete : CheckResult::kWrong;
}

CheckResult CheckWhole(const std::string& body, const std::string& expected) {
  const Json answer = Json::parse(body, nullptr, false);
  try {
    const std::string text =
        answer.at("choices").at(0).at("message").at("content");
    return text == expected ? CheckResult::kComplete : CheckResult::kWrong;
  } catch (const Json::exception&) {
    return CheckResult::kIncomplete;
  }
}

}  // namespace yuccapick::load
