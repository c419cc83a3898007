#ifndef YUCCAPICK_STREAM_REPLAY_BUFFER_H_
#define YUCCAPICK_STREAM_REPLAY_BUFFER_H_

/// @file
/// What an agent keeps of running answers, so that a router whose link broke
/// or that missed a part can resume at any position.

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Kept beginning of an answer, for one listener.
struct ReplayedAnswer {
  std::optional<AnswerHead> head;
  std::vector<AnswerChunk> chunks;
  std::optional<AnswerEnd> end;
};

/// Streams by the attempt that started them. Each has one listener: that
/// attempt, or the last one that resumed it.
class StreamReplayBuffer {
 public:
  explicit StreamReplayBuffer(std::size_t max_stream_bytes = 256 << 10)
      : max_stream_bytes_(max_stream_bytes) {}

  // Commands.

  void Start(const AttemptId& stream);
  void Erase(const AttemptId& stream);
  /// Keeps the event and returns it addressed to the listener; nothing if the
  /// stream is not known or nobody listens.
  std::optional<AnswerHead> OnHead(const AnswerHead& head);
  std::optional<AnswerChunk> OnChunk(const AnswerChunk& chunk);
  std::optional<AnswerEnd> OnEnd(const AnswerEnd& end);
  /// Stops addressing events to `listener`.
  void StopListening(const AttemptId& listener);
  /// Makes `listener` the listener of the stream that `resumed` listened to.
  /// @return what it missed from position `from` on; nothing if that is not
  ///   kept
  std::optional<ReplayedAnswer> Resume(const AttemptId& resumed,
                                       const AttemptId& listener,
                                       std::uint64_t from);

  // Queries.

  /// The stream that `listener` listens or listened to, or null.
  const AttemptId* StreamOf(const AttemptId& listener) const;
  /// The attempt that events of `stream` are addressed to.
  AttemptId ListenerOf(const AttemptId& stream) const;
  bool HasHead(const AttemptId& stream) const;

 private:
  struct Stream {
    AttemptId listener;
    bool listening = true;
    ReplayedAnswer kept;
    std::size_t bytes = 0;
    bool overflowed = false;
    std::vector<AttemptId> names;
  };

  Stream* Find(const AttemptId& stream);

  std::size_t max_stream_bytes_;
  std::map<AttemptId, Stream> streams_;
  std::map<AttemptId, AttemptId> owners_;  ///< Stream by any of its listeners.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STREAM_REPLAY_BUFFER_H_
