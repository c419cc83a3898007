#include "yuccapick/operation_memory.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>
#include <utility>

namespace yuccapick {

std::string RequestDigest(const AttemptRequest& request) {
  const std::string text =
      fmt::format("{}\n{}\n{}\n{}", request.method, request.target.size(),
                  request.target, request.body);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  for (const unsigned char byte : digest) hex += fmt::format("{:02x}", byte);
  return hex;
}

OperationMemory::OperationMemory(OperationMemoryOptions options)
    : options_(options) {}

OperationMemory::Verdict OperationMemory::Accept(const AttemptRequest& request,
                                                 TimePoint now) {
  const OperationId id{request.team, request.service, request.key};
  auto it = entries_.find(id);
  if (it == entries_.end()) {
    if (entries_.size() >= options_.max_operations) return Verdict::kFull;
    it = entries_.emplace(id, Entry{}).first;
    it->second.digest = RequestDigest(request);
  }
  Entry& entry = it->second;
  if (entry.digest != RequestDigest(request)) return Verdict::kKeyReused;
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
  if (request.fence <= entry.fence) return Verdict::kStaleFence;
  entry.fence = request.fence;
  entry.state = State::kRunning;
  entry.attempt = request.attempt;
  owners_[request.attempt] = id;
  return Verdict::kPassOn;
}

OperationMemory::Entry* OperationMemory::EntryOf(const AttemptId& attempt) {
  auto it = owners_.find(attempt);
  return it == owners_.end() ? nullptr : &entries_.at(it->second);
}

void OperationMemory::OnNotRun(const AttemptId& attempt) {
  Entry* entry = EntryOf(attempt);
  if (entry == nullptr) return;
  entry->state = State::kOpen;
  owners_.erase(attempt);
}

void OperationMemory::OnBroken(const AttemptId& attempt) {
  Entry* entry = EntryOf(attempt);
  if (entry == nullptr) return;
  entry->state = State::kUnknown;
  entry->answer = {};
}

void OperationMemory::OnHead(const AnswerHead& head) {
  Entry* entry = EntryOf(head.attempt);
  if (entry == nullptr) return;
  entry->answer.status = head.status;
  entry->answer.headers = head.headers;
}

void OperationMemory::OnChunk(const AnswerChunk& chunk) {
  Entry* entry = EntryOf(chunk.attempt);
  if (entry == nullptr) return;
  entry->answer_bytes += chunk.data.size();
  if (entry->answer_bytes > options_.max_answer_bytes) {
    entry->answer.oversize = true;
    entry->answer.parts.clear();
    return;
  }
  entry->answer.parts.push_back(chunk.data);
}

void OperationMemory::OnEnd(const AnswerEnd& end) {
  Entry* entry = EntryOf(end.attempt);
  if (entry == nullptr) return;
  entry->answer.complete = true;
  entry->state = State::kAnswered;
}

void OperationMemory::Sweep(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool running = it->second.state == State::kRunning;
    const bool expired = now - it->second.touched >= options_.retention;
    if (running || !expired) {
      ++it;
      continue;
    }
    owners_.erase(it->second.attempt);
    it = entries_.erase(it);
  }
}

const StoredAnswer* OperationMemory::Answer(const OperationId& id) const {
  auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.answer.complete) return nullptr;
  return &it->second.answer;
}

bool OperationMemory::Owns(const AttemptId& attempt) const {
  return owners_.contains(attempt);
}

}  // namespace yuccapick
