#include "gateway/upstream_speeds.h"

#include <algorithm>
#include <utility>

#include "shell/metrics_server.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kMaxEntries = 64;
/// Samples beyond these are told later, so that all peers' samples together
/// take no more than 12 KB/s at a gateway. An entry takes up to 24 bytes.
constexpr double kMaxBytesPerSecond = 12'000.0;
constexpr double kBytesPerEntry = 24.0;
constexpr std::size_t kMinEntries = 2;
/// A failure that is reported later than this tells nothing of the present.
constexpr milliseconds kMaxFailureAge{5'000};
/// An upstream is logged as slow from the first factor on, until it falls below
/// the second.
constexpr double kSlowFactor = 1.5;
constexpr double kUsualFactor = 1.25;

std::size_t MaxSamples(std::size_t peers) {
  const std::chrono::duration<double> interval = PeerReportInterval(peers);
  const double entries = kMaxBytesPerSecond * interval.count() /
                         (kBytesPerEntry * static_cast<double>(peers + 1));
  return std::clamp(static_cast<std::size_t>(entries), kMinEntries,
                    kMaxEntries);
}

}  // namespace

void UpstreamSpeeds::OnSample(const UpstreamEntry& upstream,
                              std::string_view kind,
                              UpstreamSpeed::Time observed,
                              UpstreamSpeed::Time expected, TimePoint now) {
  speeds_[upstream.service].OnSample(RendezvousNodeHash(upstream.id.value),
                                     upstream.incarnation, kind, observed,
                                     expected, now);
}

void UpstreamSpeeds::OnUnreachable(const UpstreamEntry& upstream,
                                   TimePoint now) {
  if (unreported_.size() >= kMaxEntries) return;
  unreported_[RendezvousNodeHash(upstream.id.value)] = {upstream.incarnation,
                                                        now};
}

const UpstreamEntry* UpstreamSpeeds::Find(std::uint64_t hash,
                                          Incarnation incarnation,
                                          const UpstreamRoster& roster) const {
  const auto it = ids_.find(hash);
  if (it == ids_.end()) return nullptr;
  const UpstreamEntry* entry = roster.Find(it->second);
  if (entry == nullptr || entry->incarnation != incarnation) return nullptr;
  return entry;
}

void UpstreamSpeeds::OnPeerReport(const PeerReport& report,
                                  const UpstreamRoster& roster,
                                  UpstreamHealth& health, TimePoint now) {
  for (const UnreachableReport& it : report.unreachable) {
    const UpstreamEntry* entry = Find(it.upstream_hash, it.incarnation, roster);
    const bool sound = it.age >= milliseconds(0) && it.age <= kMaxFailureAge;
    if (entry == nullptr || !sound) {
      ++ignored_;
    } else if (health.OnPeerUnreachable(entry->id, now - it.age, now)) {
      ++peer_pauses_;
    }
  }
  for (const SpeedReport& it : report.speeds) {
    const UpstreamEntry* entry = Find(it.upstream_hash, it.incarnation, roster);
    if (entry == nullptr) {
      ++ignored_;
      continue;
    }
    speeds_[entry->service].OnPeerReport(it, now);
    health.OnPeerHeard(entry->id);
  }
}

void UpstreamSpeeds::AddNews(PeerReport& report, std::size_t peers,
                             TimePoint now) {
  const std::size_t max_samples = MaxSamples(peers);
  for (auto& [service, speed] : speeds_) {
    speed.TakeReports(max_samples, report.speeds, now);
  }
  for (const auto& [hash, it] : std::exchange(unreported_, {})) {
    report.unreachable.push_back(
        {hash, it.incarnation,
         duration_cast<milliseconds>(now - it.failed_at)});
  }
}

void UpstreamSpeeds::OnListed(const UpstreamId& id) {
  ids_[RendezvousNodeHash(id.value)] = id;
}

void UpstreamSpeeds::Forget(const UpstreamId& id) {
  const std::uint64_t hash = RendezvousNodeHash(id.value);
  ids_.erase(hash);
  unreported_.erase(hash);
  slow_.erase(id);
  for (auto& [service, speed] : speeds_) speed.Forget(hash);
}

void UpstreamSpeeds::LogChanges(const UpstreamRoster& roster, LogSink& log,
                                TimePoint now) {
  for (const UpstreamEntry* it : roster.All()) {
    const double factor = SlowdownOf(*it, now);
    const bool was_slow = slow_.contains(it->id);
    const bool slow = factor >= (was_slow ? kUsualFactor : kSlowFactor);
    if (slow == was_slow) continue;
    if (slow) slow_.insert(it->id);
    if (!slow) slow_.erase(it->id);
    log.Write(LogKind::kStateChange, now,
              "event={} upstream={} service={} slowdown={:.2f}",
              slow ? "upstream_slow" : "upstream_speed_usual", it->id.value,
              it->service.value, factor);
  }
}

double UpstreamSpeeds::SlowdownOf(const UpstreamEntry& upstream,
                                  TimePoint now) const {
  const auto it = speeds_.find(upstream.service);
  if (it == speeds_.end() || it->second.size() == 0) return 1;
  return it->second.SlowdownOf(RendezvousNodeHash(upstream.id.value),
                               upstream.incarnation, now);
}

std::string UpstreamSpeeds::RenderMetrics() const {
  std::string out;
  std::uint64_t sampled = 0;
  for (const auto& [service, speed] : speeds_) sampled += speed.size();
  AppendMetric(out, "gauge", "yuccapick_upstreams_with_speed", sampled);
  AppendMetric(out, "gauge", "yuccapick_upstreams_slow", slow_.size());
  AppendMetric(out, "counter", "yuccapick_peer_upstream_pauses", peer_pauses_);
  AppendMetric(out, "counter", "yuccapick_peer_speed_entries_ignored",
               ignored_);
  return out;
}

}  // namespace yuccapick
