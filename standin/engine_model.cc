#include "standin/engine_model.h"

#include <algorithm>

namespace yuccapick::standin {
namespace {

/// How long a stream that ended can still be resumed.
constexpr std::chrono::seconds kHoldTime{20};

std::uint64_t RecomputedTokens(const Generation& generation,
                               std::uint64_t cached) {
  return generation.prompt_tokens - std::min(cached, generation.prompt_tokens);
}

}  // namespace

EngineModel::EngineModel(Context& context, Progress progress)
    : context_(context),
      progress_(std::move(progress)),
      cache_({.capacity_blocks = context.options.cache_blocks,
              .block_tokens = context.options.block_tokens,
              .idle_limit = context.options.cache_idle}),
      timer_(context.loop) {}

void EngineModel::Submit(GenerationPtr generation) {
  ForgetOldWork();
  generation->next_token = generation->first_token;
  work_[generation->id] = generation;
  queue_.emplace(QueueKey{generation->priority, ++sequence_},
                 std::move(generation));
  StartPrefill();
}

void EngineModel::Cancel(const std::string& id) {
  GenerationPtr generation = Find(id);
  if (generation == nullptr) return;
  const Generation::State state = generation->state;
  if (state == Generation::State::kFinished) return;
  if (state == Generation::State::kDecoding) --decoding_;
  generation->state = Generation::State::kCancelled;
  std::erase_if(queue_, [&generation](const auto& entry) {
    return entry.second == generation;
  });
  work_.erase(id);
  progress_(generation);
  StartPrefill();
}

void EngineModel::Crash() {
  ++life_;
  queue_.clear();
  prefilling_ = nullptr;
  steps_ = {};
  work_.clear();
  ended_ = {};
  decoding_ = 0;
  cache_.Clear();
  static_cast<void>(cache_.TakeEvents());
}

GenerationPtr EngineModel::Find(const std::string& id) const {
  auto it = work_.find(id);
  return it == work_.end() ? nullptr : it->second;
}

GenerationPtr EngineModel::FindOther(const std::string& id) const {
  for (const auto& [other, generation] : work_) {
    if (other != id) return generation;
  }
  return nullptr;
}

EngineLoad EngineModel::Load() const {
  EngineLoad load;
  load.running = decoding_;
  load.queued = queue_.size() + (prefilling_ != nullptr ? 1 : 0);
  for (const auto& [key, generation] : queue_) {
    load.queued_prefill_tokens +=
        RecomputedTokens(*generation, cache_.CachedTokens(generation->blocks));
  }
  if (prefilling_ != nullptr) {
    load.queued_prefill_tokens +=
        RecomputedTokens(*prefilling_, prefilling_->cached_tokens);
  }
  const std::chrono::duration<double> interval = TokenInterval();
  if (interval.count() > 0) {
    load.decode_tokens_per_second =
        static_cast<double>(decoding_) / interval.count();
  }
  return load;
}

void EngineModel::StartPrefill() {
  while (prefilling_ == nullptr && !queue_.empty() &&
         decoding_ < context_.options.max_running) {
    GenerationPtr next = queue_.begin()->second;
    queue_.erase(queue_.begin());
    cache_.EvictIdle(Clock::now());
    next->cached_tokens = std::min(
        std::max(cache_.CachedTokens(next->blocks), next->imported_tokens),
        next->prompt_tokens);
    prefilling_ = next;
    const auto time = PrefillTime(RecomputedTokens(*next, next->cached_tokens));
    if (time.count() == 0) {
      FinishPrefill(next);
      continue;
    }
    context_.After(time, [this, next, life = life_] {
      if (life != life_) return;
      FinishPrefill(next);
      StartPrefill();
    });
  }
}

void EngineModel::FinishPrefill(const GenerationPtr& generation) {
  prefilling_ = nullptr;
  cache_.Store(generation->blocks, generation->id, Clock::now());
  if (generation->state == Generation::State::kCancelled) return;
  generation->state = Generation::State::kDecoding;
  ++decoding_;
  EmitToken(generation);
}

void EngineModel::EmitToken(const GenerationPtr& generation) {
  const bool at_once = TokenInterval().count() == 0;
  if (at_once) generation->next_token = generation->end_token;
  if (generation->next_token < generation->end_token) ++generation->next_token;
  if (generation->next_token >= generation->end_token) {
    return Finish(generation);
  }
  progress_(generation);
  ScheduleToken(generation);
}

void EngineModel::Finish(const GenerationPtr& generation) {
  --decoding_;
  generation->state = Generation::State::kFinished;
  generation->finished_at = Clock::now();
  ended_.push(generation);
  progress_(generation);
}

void EngineModel::ScheduleToken(const GenerationPtr& generation) {
  const Clock::time_point when = Clock::now() + TokenInterval();
  const bool earliest = steps_.empty() || when < steps_.top().when;
  steps_.push({when, generation});
  if (earliest) ArmTimer();
}

void EngineModel::ArmTimer() {
  if (steps_.empty()) return;
  timer_.expires_at(steps_.top().when);
  timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) RunSteps();
  });
}

void EngineModel::RunSteps() {
  const Clock::time_point now = Clock::now();
  while (!steps_.empty() && steps_.top().when <= now) {
    const GenerationPtr generation = steps_.top().generation;
    steps_.pop();
    if (generation->state == Generation::State::kDecoding) {
      EmitToken(generation);
    }
  }
  StartPrefill();
  ArmTimer();
}

void EngineModel::ForgetOldWork() {
  const Clock::time_point now = Clock::now();
  while (!ended_.empty() && ended_.front()->finished_at + kHoldTime < now) {
    auto it = work_.find(ended_.front()->id);
    if (it != work_.end() && it->second == ended_.front()) work_.erase(it);
    ended_.pop();
  }
}

std::chrono::microseconds EngineModel::PrefillTime(std::uint64_t tokens) const {
  const double rate = context_.options.prefill_tokens_per_second;
  if (rate <= 0) return std::chrono::microseconds(0);
  const std::chrono::duration<double> time(static_cast<double>(tokens) / rate *
                                           context_.faults.slow_factor);
  return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

std::chrono::microseconds EngineModel::TokenInterval() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      context_.options.token_interval * context_.faults.slow_factor);
}

}  // namespace yuccapick::standin
