#ifndef YUCCAPICK_LOG_STORY_H_
#define YUCCAPICK_LOG_STORY_H_

/// @file
/// Finds in log lines what became of one request, and why.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccapick {

/// A `key=value` line; values with blanks stand in quotes.
struct LogLine {
  std::int64_t time_ms = 0;  ///< Unix time; 0 if the line has none.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string text;

  /// @return the field's value, or empty
  std::string_view Field(std::string_view name) const;
};

/// Anything before `time=` is skipped, so lines of a collector can be read.
/// @return nothing if the line is no log line of ours
std::optional<LogLine> ParseLogLine(std::string_view text);

/// One request's lines in order of time, with what changed around its
/// attempts.
struct RequestStory {
  std::vector<LogLine> lines;
  std::string verdict;  ///< One sentence; names the cause if it is known.
};

/// @param lines of all processes, in any order
/// @param id attempt id of the request
RequestStory ExplainRequest(const std::vector<LogLine>& lines,
                            std::string_view id);

}  // namespace yuccapick

#endif  // YUCCAPICK_LOG_STORY_H_
