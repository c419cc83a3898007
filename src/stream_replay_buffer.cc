#include "yuccapick/stream_replay_buffer.h"

namespace yuccapick {

StreamReplayBuffer::Stream* StreamReplayBuffer::Find(const AttemptId& stream) {
  auto it = streams_.find(stream);
  return it == streams_.end() ? nullptr : &it->second;
}

void StreamReplayBuffer::Start(const AttemptId& stream) {
  Stream& started = streams_[stream];
  started.listener = stream;
  started.listener_ids.push_back(stream);
  stream_by_listener_[stream] = stream;
}

void StreamReplayBuffer::Erase(const AttemptId& stream) {
  auto it = streams_.find(stream);
  if (it == streams_.end()) return;
  for (const AttemptId& name : it->second.listener_ids) {
    stream_by_listener_.erase(name);
  }
  streams_.erase(it);
}

std::optional<AnswerHead> StreamReplayBuffer::OnHead(const AnswerHead& head) {
  Stream* stream = Find(head.attempt);
  if (stream == nullptr) return std::nullopt;
  stream->buffered.head = head;
  if (!stream->listening) return std::nullopt;
  AnswerHead addressed = head;
  addressed.attempt = stream->listener;
  return addressed;
}

std::optional<AnswerChunk> StreamReplayBuffer::OnChunk(
    const AnswerChunk& chunk) {
  Stream* stream = Find(chunk.attempt);
  if (stream == nullptr) return std::nullopt;
  stream->bytes += chunk.data.size() + chunk.text.size();
  if (stream->bytes > max_stream_bytes_) {
    stream->overflowed = true;
    stream->buffered.chunks.clear();
  } else {
    stream->buffered.chunks.push_back(chunk);
  }
  if (!stream->listening) return std::nullopt;
  AnswerChunk addressed = chunk;
  addressed.attempt = stream->listener;
  return addressed;
}

std::optional<AnswerEnd> StreamReplayBuffer::OnEnd(const AnswerEnd& end) {
  Stream* stream = Find(end.attempt);
  if (stream == nullptr) return std::nullopt;
  stream->buffered.end = end;
  if (!stream->listening) return std::nullopt;
  AnswerEnd addressed = end;
  addressed.attempt = stream->listener;
  return addressed;
}

void StreamReplayBuffer::StopListening(const AttemptId& listener) {
  const AttemptId* owner = StreamOf(listener);
  if (owner == nullptr) return;
  Stream& stream = streams_.at(*owner);
  if (stream.listener == listener) stream.listening = false;
}

std::optional<ReplayedAnswer> StreamReplayBuffer::Resume(
    const AttemptId& resumed, const AttemptId& listener, std::uint64_t from) {
  const AttemptId* owner = StreamOf(resumed);
  if (owner == nullptr) return std::nullopt;
  const AttemptId name = *owner;
  Stream& stream = streams_.at(name);
  const auto& chunks = stream.buffered.chunks;
  const bool begins_later = !chunks.empty() && chunks.front().position > from;
  if (stream.overflowed || begins_later) return std::nullopt;
  stream.listener = listener;
  stream.listening = true;
  stream.listener_ids.push_back(listener);
  stream_by_listener_[listener] = name;
  ReplayedAnswer replay = stream.buffered;
  if (replay.head) replay.head->attempt = listener;
  if (replay.end) replay.end->attempt = listener;
  std::erase_if(replay.chunks, [from](const AnswerChunk& chunk) {
    return chunk.position < from;
  });
  for (AnswerChunk& chunk : replay.chunks) chunk.attempt = listener;
  return replay;
}

const AttemptId* StreamReplayBuffer::StreamOf(const AttemptId& listener) const {
  auto it = stream_by_listener_.find(listener);
  return it == stream_by_listener_.end() ? nullptr : &it->second;
}

AttemptId StreamReplayBuffer::ListenerOf(const AttemptId& stream) const {
  auto it = streams_.find(stream);
  return it == streams_.end() ? stream : it->second.listener;
}

bool StreamReplayBuffer::HasHead(const AttemptId& stream) const {
  auto it = streams_.find(stream);
  return it != streams_.end() && it->second.buffered.head.has_value();
}

}  // namespace yuccapick
