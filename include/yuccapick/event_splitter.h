#ifndef YUCCAPICK_EVENT_SPLITTER_H_
#define YUCCAPICK_EVENT_SPLITTER_H_

/// @file
/// Splits a server-sent event stream at event ends; the bytes stay unchanged.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace yuccapick {

/// Passes on complete events only, so that a stream that breaks in the middle
/// of an event can be resumed at another upstream. Drops events whose id is not
/// higher than the last one passed on.
class EventSplitter {
 public:
  /// @param max_event_bytes limit on the bytes of an incomplete event
  explicit EventSplitter(std::size_t max_event_bytes)
      : max_event_bytes_(max_event_bytes) {}

  /// Takes the next bytes of the stream, split anywhere.
  /// @return the bytes of the events that are complete now; an error if an
  ///   event is too long
  absl::StatusOr<std::string> Feed(std::string_view bytes);

  /// Discards the bytes of an event that will not be completed.
  void DiscardPartialEvent() { partial_ = std::string(); }

  /// True if no event is incomplete.
  bool AtEventBoundary() const { return partial_.empty(); }
  /// Memory that the bytes of an incomplete event take.
  std::size_t buffered_bytes() const { return partial_.capacity(); }
  /// Id of the last event that was passed on.
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  /// Sets the id up to which events count as passed on.
  void set_last_id(std::optional<std::uint64_t> id) { last_id_ = id; }
  /// Number of events passed on.
  std::uint64_t events() const { return events_; }

 private:
  void AcceptEvent(std::string_view event, std::string& out);

  std::size_t max_event_bytes_;
  std::string partial_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_EVENT_SPLITTER_H_
