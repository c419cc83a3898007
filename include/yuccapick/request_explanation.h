#ifndef YUCCAPICK_REQUEST_EXPLANATION_H_
#define YUCCAPICK_REQUEST_EXPLANATION_H_

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
  std::string source;  ///< Tells processes apart.

  /// @return the field's value, or empty
  std::string_view Field(std::string_view name) const;
};

/// Before `time=` a collector may put the process's name, which is part of the
/// line's source.
/// @param file that the line was read from
/// @return nothing if the line is no log line of ours
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view file = {});

/// One request's lines in order of time, with what changed around its
/// attempts.
struct RequestExplanation {
  std::vector<LogLine> lines;
  std::string summary;  ///< One sentence; names the cause if it is known.
};

/// @param lines of all processes, in any order
/// @param id attempt id of the request
RequestExplanation ExplainRequest(const std::vector<LogLine>& lines,
                                  std::string_view id);

}  // namespace yuccapick

#endif  // YUCCAPICK_REQUEST_EXPLANATION_H_
