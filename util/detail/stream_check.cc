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
    TakeLine(lines.substr(start, end - start));
    start = end + 1;
  }
  buf_.erase(0, start);
}

void StreamCheck::TakeLine(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (!line.starts_with(kData)) return;
  line.remove_prefix(kData.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  if (done_) malformed_ = true;
  if (line == kDone) {
    done_ = true;
  } else {
    TakeEvent(line);
  }
}

void StreamCheck::TakeEvent(std::string_view payload) {
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

Verdict StreamCheck::Finish() const {
  if (malformed_ || !expected_.starts_with(text_)) return Verdict::kWrong;
  if (!done_ || !finish_reason_) return Verdict::kIncomplete;
  // A stream that ends like a whole one but is shorter was cut.
  return text_ == expected_ ? Verdict::kComplete : Verdict::kWrong;
}

Verdict CheckWhole(const std::string& body, const std::string& expected) {
  const Json answer = Json::parse(body, nullptr, false);
  try {
    const std::string text =
        answer.at("choices").at(0).at("message").at("content");
    return text == expected ? Verdict::kComplete : Verdict::kWrong;
  } catch (const Json::exception&) {
    return Verdict::kIncomplete;
  }
}

}  // namespace yuccapick::load
