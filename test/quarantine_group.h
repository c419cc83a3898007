#ifndef YUCCAPICK_TEST_QUARANTINE_GROUP_H_
#define YUCCAPICK_TEST_QUARANTINE_GROUP_H_

/// @file
/// Crash quarantines of many gateways, without sockets.

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "yuccapick/crash_quarantine.h"

namespace yuccapick {

/// Interval of the gateways' ticks.
inline constexpr std::chrono::milliseconds kQuarantineTick{100};

inline InstanceId QuarantineGatewayName(std::size_t n) {
  return InstanceId(fmt::format("gateway-{}", n));
}

/// Gateways that exchange datagrams, of which a share is lost.
class QuarantineGroup {
 public:
  QuarantineGroup(std::size_t n, double loss, std::uint64_t seed)
      : loss_(loss), random_(seed) {
    for (std::size_t i = 0; i < n; ++i) AddGateway(QuarantineGatewayName(i));
    SetPeers();
  }

  CrashQuarantine& operator[](std::size_t n) { return gateways_[n]; }
  std::size_t size() const { return gateways_.size(); }
  StoreTime now() const { return now_; }
  const std::vector<SuspectDecision>& saved() const { return saved_; }
  std::size_t datagrams() const { return datagrams_; }

  /// A crash breaks requests with `suspects` at the first `reporters` gateways,
  /// counted from `from`.
  void Crash(UpstreamRunId upstream, const std::vector<SuspectId>& suspects,
             std::size_t from, std::size_t reporters) {
    for (std::size_t i = 0; i < reporters; ++i) {
      gateways_[(from + i) % size()].OnCrash(suspects, upstream, now_);
    }
    Exchange();
  }

  void Survive(std::size_t gateway, const std::vector<SuspectId>& suspects) {
    gateways_[gateway].OnSurvived(suspects, now_, now_);
    Exchange();
  }

  void Pass(std::chrono::milliseconds time) {
    for (std::chrono::milliseconds passed{0}; passed < time;
         passed += kQuarantineTick) {
      now_ += kQuarantineTick;
      for (CrashQuarantine& gateway : gateways_) gateway.OnTick(now_);
      Exchange();
    }
  }

  /// Replaces a gateway by one that knows only what was saved.
  void Restart(std::size_t n) {
    gateways_[n] = CrashQuarantine(QuarantineGatewayName(n));
    for (const SuspectDecision& it : saved_) gateways_[n].OnDecision(it);
    SetPeers();
  }

  std::size_t RefusingCount(const SuspectId& suspect) {
    std::size_t n = 0;
    for (CrashQuarantine& gateway : gateways_) {
      if (gateway.Admit({suspect}, now_)) {
        ++n;
      } else {
        gateway.OnSent({suspect});
      }
    }
    return n;
  }

  /// Delivers reports twice and decisions three times, unless lost.
  void Exchange() {
    for (std::size_t i = 0; i < size(); ++i) {
      for (const AddressedSuspectReport& it : gateways_[i].TakeReports()) {
        for (int copy = 0; copy < 2; ++copy) {
          ++datagrams_;
          if (!Lost()) gateways_[IndexOf(it.to)].OnReport(it.report, now_);
        }
      }
    }
    for (std::size_t i = 0; i < size(); ++i) {
      for (const SuspectDecision& decision : gateways_[i].TakeDecisions()) {
        Save(decision);
        Publish(i, decision);
      }
    }
  }

 private:
  /// The store doesn't keep which gateway may send a trial.
  void Save(SuspectDecision decision) {
    decision.trial_by = InstanceId();
    saved_.push_back(decision);
  }

  void AddGateway(const InstanceId& name) { gateways_.emplace_back(name); }

  void SetPeers() {
    for (std::size_t i = 0; i < size(); ++i) {
      std::vector<InstanceId> peers;
      for (std::size_t k = 0; k < size(); ++k) {
        if (k != i) peers.push_back(QuarantineGatewayName(k));
      }
      gateways_[i].SetPeers(peers);
    }
  }

  bool Lost() { return std::bernoulli_distribution(loss_)(random_); }

  std::size_t IndexOf(const InstanceId& name) const {
    return std::stoul(name.value.substr(name.value.find('-') + 1));
  }

  void Publish(std::size_t from, const SuspectDecision& decision) {
    for (std::size_t i = 0; i < size(); ++i) {
      if (i == from) continue;
      for (int copy = 0; copy < 3; ++copy) {
        ++datagrams_;
        if (!Lost()) gateways_[i].OnDecision(decision);
      }
    }
  }

  double loss_;
  std::mt19937_64 random_;
  std::vector<CrashQuarantine> gateways_;
  StoreTime now_{std::chrono::milliseconds(1'000'000)};
  std::vector<SuspectDecision> saved_;
  std::size_t datagrams_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_QUARANTINE_GROUP_H_
