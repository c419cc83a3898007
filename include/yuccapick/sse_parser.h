#ifndef YUCCAPICK_SSE_PARSER_H_
#define YUCCAPICK_SSE_PARSER_H_

/// @file
/// Reads server-sent events from a byte stream.

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace yuccapick {

/// Takes bytes as they come and passes on the data of each event. Fields other
/// than `data` are ignored.
class SseParser {
 public:
  using OnData = std::function<void(std::string_view data)>;

  /// @param max_event_bytes longest event that is accepted
  SseParser(std::size_t max_event_bytes, OnData on_data);

  /// Reads on. After an error nothing more is taken.
  absl::Status Feed(std::string_view bytes);

  /// True if the stream stands between two events.
  bool AtEventBoundary() const { return line_.empty() && !has_data_; }

 private:
  absl::Status EndLine();

  std::size_t max_event_bytes_;
  OnData on_data_;
  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  bool failed_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SSE_PARSER_H_
