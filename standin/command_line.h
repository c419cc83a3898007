#ifndef YUCCAPICK_STANDIN_COMMAND_LINE_H_
#define YUCCAPICK_STANDIN_COMMAND_LINE_H_

/// @file
/// Reads the command lines of the stand-in and of the load tool.

#include <fmt/format.h>
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace yuccapick {

constexpr int kExitUsage = 2;

/// What a program says of its options.
struct CommandLine {
  std::string_view program;
  std::string_view usage;
  std::vector<option> options;  ///< Ends with an entry of zeros.
  int help_code = 0;            ///< Of the option that prints the usage.
};

/// @return false if the text is not a number, or is negative
inline bool ParseNumber(const std::string& text, double& value) {
  char* end = nullptr;
  value = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0' && value >= 0;
}

/// Reads all options.
/// @param apply called with the code and the argument of each; returns false if
///   the argument is invalid
/// @param exit_code set if the program must end
/// @return false if the program must end
template <typename Apply>
bool ReadOptions(const CommandLine& line, int argc, char** argv, Apply apply,
                 int& exit_code) {
  exit_code = kExitUsage;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", line.options.data(), nullptr)) !=
         -1) {
    if (code == line.help_code) {
      std::fwrite(line.usage.data(), 1, line.usage.size(), stdout);
      exit_code = 0;
      return false;
    }
    if (code == '?') return false;
    const std::string value = optarg == nullptr ? "" : optarg;
    if (apply(code, value)) continue;
    fmt::print(stderr, "{}: invalid option value '{}'; see --help\n",
               line.program, value);
    return false;
  }
  return true;
}

}  // namespace yuccapick

#endif  // YUCCAPICK_STANDIN_COMMAND_LINE_H_
