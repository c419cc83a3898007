#include "yuccapick/upstream_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCoordinatorsPerUpstream = 2;
/// Limits in one report or broadcast, so that it fits a datagram.
constexpr std::size_t kMaxReported = 150;
/// A limit that changes by less than this share stays as it was first named, so
/// that gateways don't tell each other of every small change.
constexpr double kIgnoredChange = 0.1;
/// Requests a second of a limit that one gateway gets, at least.
constexpr double kRatePerGateway = 2.0;
/// A gateway may send so many requests at once, after it has sent none for as
/// many intervals.
constexpr int kBurst = 2;

std::uint64_t KeyOf(const UpstreamId& upstream) {
  return RendezvousNodeHash(upstream.value);
}

bool IsNear(std::optional<double> a, std::optional<double> b) {
  if (!a || !b) return a == b;
  return std::abs(*a - *b) <= kIgnoredChange * *a;
}

}  // namespace

UpstreamLimits::UpstreamLimits(InstanceId own, Options options)
    : options_(options), gateways_(std::move(own)) {}

bool UpstreamLimits::IsCoordinator(const UpstreamId& upstream) const {
  return gateways_.IsOwnPicked(KeyOf(upstream), kCoordinatorsPerUpstream);
}

void UpstreamLimits::TellCoordinators(const NamedLimit& limit) {
  for (const InstanceId& to :
       gateways_.Pick(KeyOf(limit.upstream), kCoordinatorsPerUpstream)) {
    if (to == gateways_.own()) {
      broadcast_.push_back(limit);
      continue;
    }
    std::vector<NamedLimit>& report = reports_[to];
    if (report.size() < kMaxReported) report.push_back(limit);
  }
}

bool UpstreamLimits::OnAnswer(const UpstreamId& upstream,
                              Incarnation incarnation,
                              std::optional<double> per_second,
                              StoreTime sent_at, StoreTime now) {
  const auto it = limits_.find(upstream);
  const bool limited = it != limits_.end() &&
                       it->second.named.incarnation == incarnation &&
                       it->second.named.per_second.has_value();
  // An answer to an earlier request may have been on its way already.
  const bool ends = limited && sent_at > it->second.named.seen_at;
  if (!per_second && !ends) return false;
  const NamedLimit limit{upstream, incarnation, per_second, now};
  const bool changed = Apply(limit, now);
  const auto record = limits_.find(upstream);
  if (record == limits_.end()) return changed;
  const bool due = now - record->second.told_at >= options_.confirm_interval;
  if (!changed && !due) return false;
  record->second.told_at = now;
  TellCoordinators(record->second.named);
  return changed;
}

bool UpstreamLimits::OnReport(const NamedLimit& limit, StoreTime now) {
  if (!Apply(limit, now)) return false;
  if (IsCoordinator(limit.upstream)) broadcast_.push_back(limit);
  return true;
}

bool UpstreamLimits::Apply(const NamedLimit& limit, StoreTime now) {
  const auto it = limits_.find(limit.upstream);
  if (it == limits_.end()) {
    if (!limit.per_second || limits_.size() >= options_.max_upstreams) {
      return false;
    }
    if (now - limit.seen_at >= options_.unconfirmed_lifetime) return false;
    limits_[limit.upstream] = {limit, now, StoreTime()};
    return true;
  }
  NamedLimit& named = it->second.named;
  if (limit.incarnation < named.incarnation) return false;
  const bool restarted = limit.incarnation > named.incarnation;
  if (!restarted && limit.seen_at <= named.seen_at) return false;
  if (!restarted && IsNear(named.per_second, limit.per_second)) {
    named.seen_at = limit.seen_at;
    return false;
  }
  named = limit;
  return true;
}

void UpstreamLimits::OnTick(StoreTime now) {
  std::erase_if(limits_, [&](const auto& entry) {
    const NamedLimit& named = entry.second.named;
    const milliseconds lifetime = named.per_second
                                      ? options_.unconfirmed_lifetime
                                      : options_.ended_lifetime;
    return now - named.seen_at >= lifetime;
  });
}

std::optional<milliseconds> UpstreamLimits::SendInterval(
    const UpstreamId& upstream, double per_second, StoreTime now) const {
  const double rate = std::max(per_second, options_.lowest_rate);
  const std::size_t senders = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::min(rate / kRatePerGateway, 1e6)), 1,
      gateways_.size());
  const auto turn =
      static_cast<std::uint64_t>(now.time_since_epoch() / options_.turn);
  const std::uint64_t key = RendezvousScore(KeyOf(upstream), turn + 1);
  if (!gateways_.IsOwnPicked(key, senders)) return std::nullopt;
  const std::chrono::duration<double> interval(static_cast<double>(senders) /
                                               rate);
  return std::chrono::ceil<milliseconds>(interval);
}

milliseconds UpstreamLimits::WaitFor(const UpstreamId& upstream,
                                     Incarnation incarnation,
                                     StoreTime now) const {
  const auto it = limits_.find(upstream);
  if (it == limits_.end()) return milliseconds(0);
  const Record& record = it->second;
  if (!record.named.per_second || record.named.incarnation != incarnation) {
    return milliseconds(0);
  }
  const milliseconds in_turn = now.time_since_epoch() % options_.turn;
  const auto interval = SendInterval(upstream, *record.named.per_second, now);
  if (!interval) return options_.turn - in_turn;
  const StoreTime free_at = record.used_until - *interval * (kBurst - 1);
  return std::max(milliseconds(0), free_at - now);
}

void UpstreamLimits::OnSent(const UpstreamId& upstream, Incarnation incarnation,
                            StoreTime now) {
  const auto it = limits_.find(upstream);
  if (it == limits_.end()) return;
  Record& record = it->second;
  if (!record.named.per_second || record.named.incarnation != incarnation) {
    return;
  }
  const auto interval = SendInterval(upstream, *record.named.per_second, now);
  if (!interval) return;
  record.used_until = std::max(record.used_until, now) + *interval;
}

std::vector<AddressedLimits> UpstreamLimits::TakeReports() {
  std::vector<AddressedLimits> taken;
  for (auto& [to, limits] : reports_) taken.push_back({to, std::move(limits)});
  reports_.clear();
  return taken;
}

std::vector<NamedLimit> UpstreamLimits::TakeBroadcast() {
  return std::exchange(broadcast_, {});
}

std::vector<NamedLimit> UpstreamLimits::CoordinatedLimits() const {
  std::vector<NamedLimit> limits;
  for (const auto& [upstream, record] : limits_) {
    if (limits.size() >= kMaxReported) break;
    if (IsCoordinator(upstream)) limits.push_back(record.named);
  }
  return limits;
}

std::optional<double> UpstreamLimits::LimitOf(
    const UpstreamId& upstream) const {
  const auto it = limits_.find(upstream);
  return it == limits_.end() ? std::nullopt : it->second.named.per_second;
}

std::size_t UpstreamLimits::limited_count() const {
  return static_cast<std::size_t>(
      std::count_if(limits_.begin(), limits_.end(), [](const auto& entry) {
        return entry.second.named.per_second.has_value();
      }));
}

}  // namespace yuccapick
