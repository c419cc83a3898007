#include "standin/engine_model.h"

#include <algorithm>

namespace yuccapick::standin {
namespace {

/// How long a finished stream can be resumed.
constexpr std::chrono::seconds kResumeRetention{20};

std::uint64_t RecomputedTokens(const Generation& generation,
                               std::uint64_t cached) {
  return generation.prompt_tokens - std::min(cached, generation.prompt_tokens);
}

}  // namespace

EngineModel::EngineModel(Context& context, ProgressCallback on_progress)
    : context_(context),
      on_progress_(std::move(on_progress)),
      cache_({.capacity_blocks = context.options.cache_blocks,
              .block_tokens = context.options.block_tokens,
              .idle_limit = context.options.cache_idle}),
      timer_(context.loop) {}

void EngineModel::Submit(GenerationPtr generation) {
  RemoveExpiredGenerations();
  generation->next_token = generation->first_token;
  generations_[generation->id] = generation;
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
  generations_.erase(id);
  on_progress_(generation);
  StartPrefill();
}

void EngineModel::Crash() {
  ++incarnation_;
  queue_.clear();
  prefilling_ = nullptr;
  steps_ = {};
  generations_.clear();
  finished_ = {};
  decoding_ = 0;
  cache_.Clear();
  static_cast<void>(cache_.TakeEvents());
}

GenerationPtr EngineModel::Find(const std::string& id) const {
  auto it = generations_.find(id);
  return it == generations_.end() ? nullptr : it->second;
}

GenerationPtr EngineModel::FindOther(const std::string& id) const {
  for (const auto& [other, generation] : generations_) {
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
    context_.After(time, [this, next, incarnation = incarnation_] {
      if (incarnation != incarnation_) return;
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
  const bool immediate = TokenInterval().count() == 0;
  if (immediate) generation->next_token = generation->end_token;
  if (generation->next_token < generation->end_token) ++generation->next_token;
  if (generation->next_token >= generation->end_token) {
    return Finish(generation);
  }
  on_progress_(generation);
  ScheduleToken(generation);
}

void EngineModel::Finish(const GenerationPtr& generation) {
  --decoding_;
  generation->state = Generation::State::kFinished;
  generation->finished_at = Clock::now();
  finished_.push(generation);
  on_progress_(generation);
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

void EngineModel::RemoveExpiredGenerations() {
  const Clock::time_point now = Clock::now();
  while (!finished_.empty() &&
         finished_.front()->finished_at + kResumeRetention < now) {
    auto it = generations_.find(finished_.front()->id);
    if (it != generations_.end() && it->second == finished_.front()) {
      generations_.erase(it);
    }
    finished_.pop();
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
