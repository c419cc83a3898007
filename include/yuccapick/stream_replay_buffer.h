#ifndef YUCCAPICK_STREAM_REPLAY_BUFFER_H_
#define YUCCAPICK_STREAM_REPLAY_BUFFER_H_

/// @file
/// Buffer of running answers at an agent, from which a router resumes an answer
/// after a broken link or a missing part.

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// The buffered part of an answer, addressed to one listener.
struct ReplayedAnswer {
  std::optional<AnswerHead> head;
  std::vector<AnswerChunk> chunks;
  std::optional<AnswerEnd> end;
};

/// Buffers streams, each named by the attempt that started it. A stream has one
/// listener: that attempt, or the last one that resumed the stream.
class StreamReplayBuffer {
 public:
  /// @param max_stream_bytes a longer stream can't be resumed any more
  explicit StreamReplayBuffer(std::size_t max_stream_bytes = 256 << 10)
      : max_stream_bytes_(max_stream_bytes) {}

  // Commands.

  void Start(const AttemptId& stream);
  void Erase(const AttemptId& stream);
  /// Buffers the event and returns it addressed to the listener; nothing if the
  /// stream is unknown or has no listener.
  std::optional<AnswerHead> OnHead(const AnswerHead& head);
  std::optional<AnswerChunk> OnChunk(const AnswerChunk& chunk);
  std::optional<AnswerEnd> OnEnd(const AnswerEnd& end);
  /// Stops addressing events to `listener`.
  void StopListening(const AttemptId& listener);
  /// Makes `listener` the listener of the stream that `resumed` listened to.
  /// @return the answer from position `from` on; nothing if the stream is
  ///   unknown or that part is no longer buffered
  std::optional<ReplayedAnswer> Resume(const AttemptId& resumed,
                                       const AttemptId& listener,
                                       std::uint64_t from);

  // Queries.

  /// The stream that `listener` listens to or listened to, or null.
  const AttemptId* StreamOf(const AttemptId& listener) const;
  /// The attempt that events of `stream` are addressed to.
  AttemptId ListenerOf(const AttemptId& stream) const;
  /// True if the head of the answer arrived.
  bool HasHead(const AttemptId& stream) const;

 private:
  struct Stream {
    AttemptId listener;
    bool listening = true;
    ReplayedAnswer buffered;
    std::size_t bytes = 0;
    bool overflowed = false;
    std::vector<AttemptId> listener_ids;
  };

  Stream* Find(const AttemptId& stream);

  std::size_t max_stream_bytes_;
  std::map<AttemptId, Stream> streams_;
  std::map<AttemptId, AttemptId>
      stream_by_listener_;  ///< Stream by any of its listeners.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STREAM_REPLAY_BUFFER_H_
