#include "util/detail/load_prompts.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standin/answer_text.h"

namespace yuccapick::load {
namespace {

std::vector<double> Weights(const std::vector<Team>& teams) {
  std::vector<double> weights;
  for (const Team& team : teams) weights.push_back(team.weight);
  return weights;
}

}  // namespace

PromptSource::PromptSource(const Options& options)
    : options_(options), random_(options.seed) {
  const std::vector<double> weights = Weights(options.teams);
  team_ =
      std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  for (const Team& team : options.teams) {
    TeamTexts texts{team.name, RandomWords(options.prompt.guide_bytes), {}};
    for (std::size_t i = 0; i < options.prompt.documents; ++i) {
      texts.documents.push_back(RandomWords(options.prompt.document_bytes));
    }
    teams_.push_back(std::move(texts));
  }
}

std::size_t PromptSource::NextTeamIndex() { return team_(random_); }

const std::string& PromptSource::NextTeam() {
  return teams_[NextTeamIndex()].name;
}

ChatPrompt PromptSource::NextChat(bool streamed) {
  const TeamTexts& team = teams_[NextTeamIndex()];
  // Squaring the random number makes the first documents more popular.
  const double u = std::uniform_real_distribution<double>(0, 1)(random_);
  const auto n = static_cast<double>(team.documents.size());
  const auto index =
      std::min(static_cast<std::size_t>(u * u * n), team.documents.size() - 1);
  const nlohmann::json guide = {{"type", "text"}, {"text", team.guide}};
  const nlohmann::json document = {{"type", "text"},
                                   {"text", team.documents[index]}};
  const nlohmann::json system = {
      {"role", "system"},
      {"content", nlohmann::json::array({guide, document})}};
  const nlohmann::json question = {
      {"role", "user"},
      {"content", RandomWords(options_.prompt.question_bytes)}};
  const nlohmann::json body = {
      {"model", options_.model},
      {"messages", nlohmann::json::array({system, question})},
      {"max_tokens", options_.max_tokens},
      {"stream", streamed}};
  const std::uint64_t seed =
      standin::AnswerSeed(options_.model, standin::PromptText(body));
  return {team.name, body.dump(),
          standin::AnswerText(seed, options_.max_tokens)};
}

std::string PromptSource::RandomWords(std::size_t bytes) {
  constexpr std::uint64_t kLetters = 26;
  constexpr std::size_t kWordBytes = 7;
  std::string text;
  text.reserve(bytes + kWordBytes);
  while (text.size() < bytes) {
    std::uint64_t n = random_();
    for (std::size_t i = 0; i + 1 < kWordBytes; ++i, n /= kLetters) {
      text += static_cast<char>('a' + n % kLetters);
    }
    text += ' ';
  }
  text.resize(bytes);
  return text;
}

}  // namespace yuccapick::load
