#include "yuccapick/placement.h"

#include <algorithm>
#include <utility>

#include "placement_impl.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxIndexEntriesPerEngine = 512;
/// Share by which cached tokens may fall short of the expected ones without
/// counting as a miss.
constexpr double kTokenTolerance = 0.2;
/// Weight of a new sample in the means over the fleet.
constexpr double kFleetSmoothing = 0.02;
constexpr std::size_t kMaxHotPrefixes = 8192;

}  // namespace

Placement::Impl::Impl(PlacementOptions options)
    : options_(std::move(options)),
      table_(options_.domain, options_.region, options_.report_age),
      caches_(kMaxIndexEntriesPerEngine),
      hot_prefixes_(kMaxHotPrefixes),
      utilisation_(kFleetSmoothing),
      mean_prefill_(kFleetSmoothing),
      mean_square_prefill_(kFleetSmoothing),
      random_state_(options_.seed) {}

void Placement::Impl::ApplyUpstream(const UpstreamInfo& upstream,
                                    TimePoint now) {
  if (upstream.state == UpstreamState::kGone) {
    const std::optional<EngineSlot> slot = table_.Find(upstream.id);
    if (!slot) return;
    caches_.Reset(*slot);
    table_.Remove(*slot);
    return;
  }
  const std::optional<CacheEffect> effect = table_.Apply(upstream, now);
  if (effect == CacheEffect::kLost) caches_.Reset(*table_.Find(upstream.id));
}

void Placement::Impl::ApplyReport(const AgentReport& report, TimePoint now) {
  if (!table_.Find(report.upstream.id)) return;
  const std::optional<CacheEffect> effect = table_.Apply(report.upstream, now);
  if (!effect) return;
  const EngineSlot slot = *table_.Find(report.upstream.id);
  if (*effect == CacheEffect::kLost) caches_.Reset(slot);
  if (report.digest_is_full) caches_.Clear(slot);
  for (const std::uint64_t evicted : report.evicted) {
    caches_.Evict(slot, evicted, now);
  }
  for (const DigestEntry& entry : report.digest) {
    caches_.Store(slot, entry.chain_hash, now - entry.idle);
  }
  table_.Load(slot).ApplyReport(report.load, now);
  const double busy = report.load.queued_prefill_tokens > 0 ? 1.0 : 0.0;
  utilisation_.Add(busy);
}

double Placement::Impl::IdleSeconds(EngineSlot slot,
                                    const PlacementRequest& request,
                                    TimePoint now) const {
  for (std::size_t n = request.pieces.size(); n-- > 0;) {
    for (const PrefixHolder& holder :
         caches_.Holders(request.pieces[n].chain_hash)) {
      if (holder.slot != slot) continue;
      return std::chrono::duration<double>(now - holder.last_used).count();
    }
  }
  return 0;
}

void Placement::Impl::CorrectLifetime(const InFlightRequest& in_flight,
                                      const Usage& usage) {
  const auto expected = static_cast<double>(in_flight.expected_cached_tokens);
  const auto reported = static_cast<double>(usage.cached_tokens);
  if (reported >= expected * (1.0 - kTokenTolerance)) return;
  caches_.OnMiss(in_flight.slot, in_flight.prefix_idle_seconds);
}

bool Placement::Impl::IsSameIncarnation(
    const InFlightRequest& in_flight) const {
  return table_.At(in_flight.slot).present &&
         table_.At(in_flight.slot).info.engine_incarnation ==
             in_flight.engine_incarnation;
}

void Placement::Impl::StoreChain(const InFlightRequest& in_flight,
                                 TimePoint now) {
  for (const std::uint64_t chain_hash : in_flight.chain) {
    caches_.Store(in_flight.slot, chain_hash, now);
  }
}

void Placement::Impl::OnDispatched(const AttemptId& attempt,
                                   const PlacementRequest& request,
                                   const PlacementDecision& decision,
                                   TimePoint now) {
  const std::optional<EngineSlot> slot = table_.Find(decision.upstream);
  if (!slot) return;
  hot_prefixes_.OnRequest(HomeKey(request.pieces), now);
  InFlightRequest in_flight;
  in_flight.slot = *slot;
  in_flight.engine_incarnation = decision.engine_incarnation;
  if (!IsSameIncarnation(in_flight)) return;
  in_flight.expected_cached_tokens = decision.expected_cached_tokens;
  in_flight.prefill_tokens = decision.expected_prompt_tokens -
                             std::min(decision.expected_prompt_tokens,
                                      in_flight.expected_cached_tokens);
  in_flight.prompt_bytes = request.prompt_bytes;
  in_flight.model = request.scope.model;
  in_flight.urgent = request.urgent;
  for (const PrefixPiece& piece : request.pieces) {
    in_flight.chain.push_back(piece.chain_hash);
  }
  in_flight.prefix_idle_seconds = IdleSeconds(*slot, request, now);
  StoreChain(in_flight, now);
  LoadModel& load = table_.Load(*slot);
  load.OnDispatched(in_flight.prefill_tokens, in_flight.urgent, now);
  const double prefill = static_cast<double>(in_flight.prefill_tokens) /
                         load.PrefillTokensPerSecond();
  mean_prefill_.Add(prefill);
  mean_square_prefill_.Add(prefill * prefill);
  in_flight_[attempt] = std::move(in_flight);
}

void Placement::Impl::OnFirstToken(const AttemptId& attempt, TimePoint now) {
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end() || it->second.prefilled) return;
  it->second.prefilled = true;
  if (!IsSameIncarnation(it->second)) return;
  StoreChain(it->second, now);
  table_.Load(it->second.slot)
      .OnPrefilled(it->second.prefill_tokens, it->second.urgent);
}

void Placement::Impl::OnFinished(const AttemptId& attempt,
                                 const std::optional<Usage>& usage,
                                 TimePoint now) {
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end()) return;
  const InFlightRequest in_flight = std::move(it->second);
  in_flight_.erase(it);
  if (usage) {
    calibration_.Observe(in_flight.model, in_flight.prompt_bytes,
                         usage->prompt_tokens);
  }
  if (!IsSameIncarnation(in_flight)) return;
  if (usage) {
    CorrectLifetime(in_flight, *usage);
    StoreChain(in_flight, now);
  }
  if (!in_flight.prefilled) {
    table_.Load(in_flight.slot)
        .OnPrefilled(in_flight.prefill_tokens, in_flight.urgent);
  }
}

Placement::Placement(PlacementOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

Placement::~Placement() = default;

void Placement::ApplyUpstream(const UpstreamInfo& upstream, TimePoint now) {
  impl_->ApplyUpstream(upstream, now);
}

void Placement::ApplyReport(const AgentReport& report, TimePoint now) {
  impl_->ApplyReport(report, now);
}

void Placement::OnDispatched(const AttemptId& attempt,
                             const PlacementRequest& request,
                             const PlacementDecision& decision, TimePoint now) {
  impl_->OnDispatched(attempt, request, decision, now);
}

void Placement::OnFirstToken(const AttemptId& attempt, TimePoint now) {
  impl_->OnFirstToken(attempt, now);
}

void Placement::OnFinished(const AttemptId& attempt,
                           const std::optional<Usage>& usage, TimePoint now) {
  impl_->OnFinished(attempt, usage, now);
}

std::optional<PlacementDecision> Placement::Choose(
    const PlacementRequest& request, TimePoint now) const {
  return impl_->Choose(request, now);
}

}  // namespace yuccapick
