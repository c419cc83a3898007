#ifndef YUCCAPICK_EVENT_SPLITTER_H_
#define YUCCAPICK_EVENT_SPLITTER_H_

/// @file
/// Cuts an event stream at the ends of its events without changing its bytes.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace yuccapick {

/// Passes on whole events only, so that a stream that breaks off in the middle
/// of an event can go on elsewhere. Events whose id was passed on before are
/// dropped.
class EventSplitter {
 public:
  /// @param max_event_bytes longest event that is accepted
  explicit EventSplitter(std::size_t max_event_bytes)
      : max_event_bytes_(max_event_bytes) {}

  /// Takes bytes as they come.
  /// @return the bytes of the events that are complete now; an error if an
  ///   event is too long
  absl::StatusOr<std::string> Feed(std::string_view bytes);

  /// Forgets the beginning of an event that will not be completed.
  void DiscardPartialEvent() { partial_.clear(); }

  /// True if the stream stands between two events.
  bool AtEventBoundary() const { return partial_.empty(); }
  /// Id of the last event that was passed on.
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  /// Sets the id after which the stream begins.
  void set_last_id(std::optional<std::uint64_t> id) { last_id_ = id; }
  /// Events passed on so far.
  std::uint64_t events() const { return events_; }

 private:
  void TakeEvent(std::string_view event, std::string& out);

  std::size_t max_event_bytes_;
  std::string partial_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_EVENT_SPLITTER_H_
