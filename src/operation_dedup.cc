#include "yuccapick/operation_dedup.h"

#include <utility>

namespace yuccapick {

OperationDedup::OperationDedup(OperationDedupOptions options)
    : options_(options) {}

OperationId OperationDedup::IdOf(const AttemptRequest& request) const {
  const bool scoped = options_.guards.team_scope;
  return {scoped ? request.team : TeamId(), request.service, request.key};
}

bool OperationDedup::MakeRoom() {
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (it->second.state == State::kRunning) continue;
    const bool older =
        oldest == entries_.end() || it->second.touched < oldest->second.touched;
    if (older) oldest = it;
  }
  if (oldest == entries_.end()) return false;
  owners_.erase(oldest->second.attempt);
  entries_.erase(oldest);
  forgot_any_ = true;
  return true;
}

OperationDedup::Verdict OperationDedup::Accept(const AttemptRequest& request,
                                               TimePoint now) {
  const OperationId id = IdOf(request);
  const std::string digest =
      RequestDigest(request.method, request.target, request.body);
  auto it = entries_.find(id);
  if (it == entries_.end()) {
    const bool may_have_run = request.take_over && forgot_any_;
    if (may_have_run && options_.guards.evicted_claim) {
      return Verdict::kUnknown;
    }
    if (entries_.size() >= options_.max_operations && !MakeRoom()) {
      return Verdict::kFull;
    }
    it = entries_.emplace(id, Entry{}).first;
    it->second.digest = digest;
  }
  Entry& entry = it->second;
  if (options_.guards.body_digest && entry.digest != digest) {
    return Verdict::kKeyReused;
  }
  entry.touched = now;
  switch (entry.state) {
    case State::kAnswered:
      return Verdict::kAnswered;
    case State::kRunning:
      return Verdict::kRunning;
    case State::kUnknown:
      return Verdict::kUnknown;
    case State::kOpen:
      break;
  }
  if (options_.guards.fence && request.fence <= entry.fence) {
    return Verdict::kStaleFence;
  }
  entry.fence = request.fence;
  entry.state = State::kRunning;
  entry.attempt = request.attempt;
  owners_[request.attempt] = id;
  return Verdict::kPassOn;
}

OperationDedup::Entry* OperationDedup::EntryOf(const AttemptId& attempt) {
  auto it = owners_.find(attempt);
  return it == owners_.end() ? nullptr : &entries_.at(it->second);
}

void OperationDedup::OnNotRun(const AttemptId& attempt) {
  Entry* entry = EntryOf(attempt);
  if (entry == nullptr) return;
  entry->state = State::kOpen;
  owners_.erase(attempt);
}

void OperationDedup::OnBroken(const AttemptId& attempt) {
  Entry* entry = EntryOf(attempt);
  if (entry == nullptr) return;
  entry->state = entry->has_head ? State::kAnswered : State::kUnknown;
  entry->answer.parts.clear();
  entry->answer.partial = true;
  entry->answer.complete = true;
}

void OperationDedup::OnHead(const AnswerHead& head) {
  Entry* entry = EntryOf(head.attempt);
  if (entry == nullptr) return;
  entry->has_head = true;
  entry->answer.status = head.status;
  entry->answer.headers = head.headers;
}

void OperationDedup::OnChunk(const AnswerChunk& chunk) {
  Entry* entry = EntryOf(chunk.attempt);
  if (entry == nullptr) return;
  entry->answer_bytes += chunk.data.size();
  if (entry->answer_bytes > options_.max_answer_bytes) {
    entry->answer.partial = true;
    entry->answer.parts.clear();
    return;
  }
  entry->answer.parts.push_back(chunk.data);
}

void OperationDedup::OnEnd(const AnswerEnd& end) {
  Entry* entry = EntryOf(end.attempt);
  if (entry == nullptr) return;
  entry->answer.complete = true;
  entry->state = State::kAnswered;
}

void OperationDedup::Sweep(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool running = it->second.state == State::kRunning;
    const bool expired = now - it->second.touched >= options_.retention;
    if (running || !expired) {
      ++it;
      continue;
    }
    owners_.erase(it->second.attempt);
    it = entries_.erase(it);
    forgot_any_ = true;
  }
}

const StoredAnswer* OperationDedup::Answer(
    const AttemptRequest& request) const {
  auto it = entries_.find(IdOf(request));
  if (it == entries_.end() || !it->second.answer.complete) return nullptr;
  return &it->second.answer;
}

bool OperationDedup::Owns(const AttemptId& attempt) const {
  return owners_.contains(attempt);
}

}  // namespace yuccapick
