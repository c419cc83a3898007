#include "yuccapick/circuit_breaker.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::uint32_t kMaxBackoffShift = 5;

}  // namespace

CircuitBreaker::CircuitBreaker(CircuitBreakerOptions options)
    : options_(options), random_(options.seed) {}

void CircuitBreaker::OnSuccess(const UpstreamId& id) { circuits_.erase(id); }

void CircuitBreaker::Open(Circuit& circuit, TimePoint now) {
  const std::uint32_t shift = std::min(circuit.openings, kMaxBackoffShift);
  const auto ceiling =
      std::min(options_.max_open, options_.base_open * (1 << shift));
  std::uniform_int_distribution<std::int64_t> jitter(ceiling.count() / 2,
                                                     ceiling.count());
  if (!circuit.open) circuit.opened_at = now;
  circuit.open = true;
  circuit.open_until = now + std::chrono::milliseconds(jitter(random_));
  ++circuit.openings;
}

void CircuitBreaker::OnFailure(const UpstreamId& id, TimePoint now) {
  Circuit& circuit = circuits_[id];
  ++circuit.failures;
  if (circuit.failures >= options_.failures_to_open) Open(circuit, now);
}

void CircuitBreaker::OnSent(const UpstreamId& id, TimePoint now) {
  auto it = circuits_.find(id);
  if (it == circuits_.end() || !it->second.open) return;
  // Keeps other attempts away until the probe has a result.
  it->second.open_until =
      std::max(it->second.open_until, now + options_.base_open);
}

std::vector<UpstreamId> CircuitBreaker::Ejected(std::size_t live,
                                                TimePoint now) const {
  std::vector<std::pair<TimePoint, UpstreamId>> open;
  for (const auto& [id, circuit] : circuits_) {
    const bool ejected = circuit.open && circuit.open_until > now;
    if (ejected) open.emplace_back(circuit.opened_at, id);
  }
  std::sort(open.begin(), open.end());
  const auto cap = static_cast<std::size_t>(static_cast<double>(live) *
                                            options_.max_ejected_share);
  if (open.size() > cap) open.resize(cap);
  std::vector<UpstreamId> ejected;
  for (auto& [opened_at, id] : open) ejected.push_back(std::move(id));
  return ejected;
}

}  // namespace yuccapick
