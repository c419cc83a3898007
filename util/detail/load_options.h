#ifndef YUCCAPICK_UTIL_DETAIL_LOAD_OPTIONS_H_
#define YUCCAPICK_UTIL_DETAIL_LOAD_OPTIONS_H_

/// @file
/// Command-line options of the load generator.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccapick::load {

/// A team and its share of the traffic. Its bearer token is `demo-` followed by
/// its name, as in the examples.
struct Team {
  std::string name;
  double weight = 1;
};

/// Sizes of prompts. Each starts with its team's guide and one document.
struct PromptShape {
  std::size_t guide_bytes = 8192;
  std::size_t documents = 16;  ///< Per team; popularity is skewed.
  std::size_t document_bytes = 4096;
  std::size_t question_bytes = 160;
};

struct Options {
  std::vector<std::string> targets;  ///< Base URLs, used round robin.
  /// Base URLs of stand-ins that list executed calls.
  std::vector<std::string> plain_services;
  std::vector<Team> teams;
  bool direct = false;  ///< The targets are engines.
  double streams_per_second = 0;
  double whole_per_second = 0;
  double bookings_per_second = 0;
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds timeout{30'000};
  std::uint64_t seed = 1;
  std::string model = "fen-3b";
  std::string chat_service;
  std::string plain_service = "bookings";
  std::string plain_path = "/appointments";
  std::uint64_t max_tokens = 24;
  PromptShape prompt;
  bool csv = false;
  std::string figure_prefix;
};

/// Parses the command line. Prints the help text or an error.
/// @param exit_code set if no options are returned
std::optional<Options> ParseOptions(int argc, char** argv, int& exit_code);

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_LOAD_OPTIONS_H_
