#include "yuccapick/sse_parser.h"

#include <fmt/format.h>

#include <utility>

namespace yuccapick {

SseParser::SseParser(std::size_t max_event_bytes, OnData on_data)
    : max_event_bytes_(max_event_bytes), on_data_(std::move(on_data)) {}

absl::Status SseParser::Feed(std::string_view bytes) {
  while (!bytes.empty() && !failed_) {
    if (std::exchange(after_carriage_return_, false) && bytes[0] == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = bytes.find_first_of("\r\n");
    line_.append(bytes.substr(0, end));
    if (line_.size() + data_.size() > max_event_bytes_) break;
    if (end == std::string_view::npos) return absl::OkStatus();
    after_carriage_return_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    if (absl::Status status = EndLine(); !status.ok()) return status;
  }
  if (!failed_ && bytes.empty()) return absl::OkStatus();
  failed_ = true;
  return absl::ResourceExhaustedError(
      fmt::format("server-sent event is longer than {} bytes; make the "
                  "upstream send shorter ones",
                  max_event_bytes_));
}

absl::Status SseParser::EndLine() {
  const std::string line = std::exchange(line_, {});
  if (line.empty()) {
    const std::string data = std::exchange(data_, {});
    if (std::exchange(has_data_, false)) on_data_(data);
    return absl::OkStatus();
  }
  const std::string_view text = line;
  const std::size_t colon = text.find(':');
  if (text.substr(0, colon) != "data") return absl::OkStatus();
  std::string_view value;
  if (colon != std::string_view::npos) value = text.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (has_data_) data_.push_back('\n');
  data_.append(value);
  has_data_ = true;
  return absl::OkStatus();
}

}  // namespace yuccapick
