#ifndef YUCCAPICK_STANDIN_ANSWER_TEXT_H_
#define YUCCAPICK_STANDIN_ANSWER_TEXT_H_

/// @file
/// Deterministic answer text of the stand-in engines. The load generator uses
/// it to detect truncated and mixed-up answers.

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace yuccapick::standin {

/// Bytes per token, in prompts and answers.
inline constexpr std::size_t kTokenBytes = 4;

inline std::size_t TokenCount(std::string_view text) {
  return (text.size() + kTokenBytes - 1) / kTokenBytes;
}

/// Returns the text of a message or prompt content.
inline std::string ContentText(const nlohmann::json& content) {
  if (content.is_string()) return content.get<std::string>();
  std::string text;
  if (!content.is_array()) return text;
  for (const nlohmann::json& part : content) {
    if (part.is_string()) text += part.get<std::string>();
    if (part.is_object()) text += part.value("text", "");
  }
  return text;
}

/// Returns the prompt of an OpenAI-compatible request as one string.
inline std::string PromptText(const nlohmann::json& body) {
  if (body.contains("prompt")) return ContentText(body["prompt"]);
  std::string text;
  if (!body.contains("messages") || !body["messages"].is_array()) return text;
  for (const nlohmann::json& message : body["messages"]) {
    if (!message.is_object()) continue;
    text += message.value("role", "user");
    text += ":";
    text += ContentText(message.value("content", nlohmann::json()));
    text += "\n";
  }
  return text;
}

/// Returns the seed of the answer to `prompt`.
inline std::uint64_t AnswerSeed(std::string_view model,
                                std::string_view prompt) {
  const std::uint64_t model_hash = XXH3_64bits(model.data(), model.size());
  return XXH3_64bits_withSeed(prompt.data(), prompt.size(), model_hash);
}

/// Returns the token at `position` of an answer: a space and three letters.
inline std::string AnswerToken(std::uint64_t seed, std::uint64_t position) {
  constexpr std::uint64_t kLetters = 26;
  std::uint64_t n = XXH3_64bits_withSeed(&position, sizeof(position), seed);
  std::string token = " ";
  while (token.size() < kTokenBytes) {
    token += static_cast<char>('a' + n % kLetters);
    n /= kLetters;
  }
  return token;
}

/// Returns the first `tokens` tokens of an answer.
inline std::string AnswerText(std::uint64_t seed, std::uint64_t tokens) {
  std::string text;
  text.reserve(tokens * kTokenBytes);
  for (std::uint64_t i = 0; i < tokens; ++i) text += AnswerToken(seed, i);
  return text;
}

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_ANSWER_TEXT_H_
