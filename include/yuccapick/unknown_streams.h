#ifndef YUCCAPICK_UNKNOWN_STREAMS_H_
#define YUCCAPICK_UNKNOWN_STREAMS_H_

/// @file
/// Tells streams whose origin isn't known yet from those whose origin is lost.

#include <chrono>
#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"
#include "yuccapick/stream_origins.h"

namespace yuccapick {

/// Remembers since when callers ask for streams that nobody has told of.
class UnknownStreams {
 public:
  struct Options {
    /// An origin is saved within this time after the stream's first event.
    std::chrono::milliseconds saving_time{1'000};
    /// Streams are forgotten after this time to twice this time.
    std::chrono::milliseconds lifetime{30'000};
    /// Further streams count as not known yet.
    std::size_t max_streams = 65'536;
  };

  UnknownStreams() = default;
  explicit UnknownStreams(Options options) : options_(options) {}

  /// A caller asked for a stream that no gateway has told of.
  void OnAsked(StreamId stream, TimePoint now);
  /// @param read_sent_at when the last read of all saved origins was sent,
  ///   which didn't find the stream
  /// @return true if no later read can find it
  bool IsLost(StreamId stream, TimePoint read_sent_at) const;

 private:
  using Streams = absl::flat_hash_map<std::uint64_t, TimePoint>;

  Options options_;
  TimePoint current_since_;
  Streams current_;  ///< When each stream was asked for first.
  Streams previous_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UNKNOWN_STREAMS_H_
