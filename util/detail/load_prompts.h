#ifndef YUCCAPICK_UTIL_DETAIL_LOAD_PROMPTS_H_
#define YUCCAPICK_UTIL_DETAIL_LOAD_PROMPTS_H_

/// @file
/// Generates prompts with nested shared prefixes: a team's guide, then a
/// document.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "util/detail/load_options.h"

namespace yuccapick::load {

/// A chat request and the text of its complete answer.
struct ChatPrompt {
  std::string team;
  std::string body;
  std::string expected;
};

/// Generates requests from the seed of the options.
class PromptSource {
 public:
  explicit PromptSource(const Options& options);

  /// Draws a team with probability proportional to its weight.
  const std::string& NextTeam();
  ChatPrompt NextChat(bool streamed);

 private:
  struct TeamTexts {
    std::string name;
    std::string guide;
    std::vector<std::string> documents;
  };

  std::size_t NextTeamIndex();
  std::string RandomWords(std::size_t bytes);

  const Options& options_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> team_;
  std::vector<TeamTexts> teams_;
};

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_LOAD_PROMPTS_H_
