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

/// Passes the data of each event to a callback. Fields other than `data` are
/// ignored.
class SseParser {
 public:
  using OnData = std::function<void(std::string_view data)>;

  /// @param max_event_bytes limit on the data of one event
  /// @param on_data called by `Feed` for each complete event
  SseParser(std::size_t max_event_bytes, OnData on_data);

  /// Takes the next bytes of the stream, split anywhere.
  /// @return an error if an event is too long; so do all later calls
  absl::Status Feed(std::string_view bytes);

  /// True if no event is incomplete.
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
