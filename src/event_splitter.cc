#include "yuccapick/event_splitter.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace yuccapick {
namespace {

/// A larger buffer is released when the event in it is complete.
constexpr std::size_t kMaxKeptBytes = 4'096;

/// Returns the number of bytes up to the end of the first event, which is an
/// empty line, or 0 if no event is complete.
/// @param from position from which line ends are searched
std::size_t FindEventEnd(std::string_view bytes, std::size_t from) {
  for (std::size_t i = bytes.find('\n', from); i != std::string_view::npos;
       i = bytes.find('\n', i + 1)) {
    if (i + 1 < bytes.size() && bytes[i + 1] == '\n') return i + 2;
    if (i + 2 < bytes.size() && bytes[i + 1] == '\r' && bytes[i + 2] == '\n') {
      return i + 3;
    }
  }
  return 0;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  static constexpr std::string_view kField = "id:";
  std::size_t start = 0;
  while (start < event.size()) {
    const std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    std::uint64_t id = 0;
    if (absl::SimpleAtoi(absl::string_view(line.data(), line.size()), &id)) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::AcceptEvent(std::string_view event, std::string& out) {
  const std::optional<std::uint64_t> id = ParseEventId(event);
  if (id && last_id_ && *id <= *last_id_) return;
  if (id) last_id_ = id;
  ++events_;
  out.append(event);
}

absl::StatusOr<std::string> EventSplitter::Feed(std::string_view bytes) {
  static constexpr std::size_t kMaxEventEndBytes = 3;
  const std::size_t scanned = partial_.size() < kMaxEventEndBytes
                                  ? 0
                                  : partial_.size() - kMaxEventEndBytes;
  partial_.append(bytes);
  std::string out;
  std::string_view rest = partial_;
  std::size_t end = FindEventEnd(rest, scanned);
  while (end > 0) {
    AcceptEvent(rest.substr(0, end), out);
    rest.remove_prefix(end);
    end = FindEventEnd(rest, 0);
  }
  partial_.erase(0, partial_.size() - rest.size());
  if (partial_.empty() && partial_.capacity() > kMaxKeptBytes) {
    DiscardPartialEvent();
  }
  if (partial_.size() > max_event_bytes_) {
    DiscardPartialEvent();
    return absl::ResourceExhaustedError(
        "server-sent event is longer than the limit");
  }
  return out;
}

}  // namespace yuccapick
