#include "yuccapick/unknown_streams.h"

#include <utility>

namespace yuccapick {

void UnknownStreams::OnAsked(StreamId stream, TimePoint now) {
  if (now - current_since_ >= options_.lifetime) {
    current_since_ = now;
    previous_ = std::exchange(current_, Streams());
  }
  if (previous_.contains(stream.value)) return;
  if (current_.size() >= options_.max_streams) return;
  current_.try_emplace(stream.value, now);
}

bool UnknownStreams::IsLost(StreamId stream, TimePoint read_sent_at) const {
  for (const Streams* streams : {&current_, &previous_}) {
    const auto it = streams->find(stream.value);
    if (it == streams->end()) continue;
    return read_sent_at - it->second >= options_.saving_time;
  }
  return false;
}

}  // namespace yuccapick
