#ifndef YUCCAPICK_REQUEST_EXPLANATION_H_
#define YUCCAPICK_REQUEST_EXPLANATION_H_

/// @file
/// Reconstructs from log lines how a request ended, and why.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccapick {

/// A line of `key=value` fields; values with blanks are quoted.
struct LogLine {
  std::int64_t time_ms = 0;  ///< Unix time; 0 if the line has none.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string text;
  std::string source;  ///< Identifies the process.

  /// @return the field's value, or an empty string
  std::string_view Field(std::string_view name) const;
};

/// Parses one line. A word before `time=`, such as a process name added by a
/// log collector, becomes part of the line's source.
/// @param file name of the file that contains the line
/// @return nothing if the line is not in this program's log format
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view file = {});

/// Log lines of one request, of the same caller's other attempts at its stream,
/// and of related upstream and process events, sorted by time.
struct RequestExplanation {
  std::vector<LogLine> lines;
  /// The outcome and its cause, if known, and the software versions that a
  /// stream was sent to, if there is more than one.
  std::string summary;
};

/// @param lines of all processes, in any order
/// @param id attempt id of the request
RequestExplanation ExplainRequest(const std::vector<LogLine>& lines,
                                  std::string_view id);

}  // namespace yuccapick

#endif  // YUCCAPICK_REQUEST_EXPLANATION_H_
