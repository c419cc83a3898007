#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_POLICY_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_POLICY_H_

/// @file
/// Placement policies that the replay compares.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "util/detail/replay_engine.h"
#include "yuccapick/load_model.h"
#include "yuccapick/placement.h"

namespace yuccapick::replay {

/// Actual state of all engines. A policy that reads more than `infos` says so
/// in its comment.
struct Fleet {
  const Trace* trace = nullptr;
  std::vector<ReplayEngine> engines;
  std::vector<UpstreamInfo> infos;  ///< As every router sees them.
};

/// A request to place.
struct PlacementQuery {
  std::uint32_t router = 0;
  std::uint32_t request = 0;  ///< Index in the trace.
  AttemptId attempt;
};

/// Notifications to a policy; a policy shadows those that it needs.
struct PolicyBase {
  void OnUpstream(std::uint32_t /*engine*/, const UpstreamInfo& /*info*/,
                  TimePoint /*now*/) {}
  void OnReport(std::uint32_t /*router*/, std::uint32_t /*engine*/,
                const AgentReport& /*report*/, TimePoint /*now*/) {}
  void OnFirstToken(const PlacementQuery& /*query*/, TimePoint /*now*/) {}
  void OnFinished(const PlacementQuery& /*query*/,
                  const std::optional<Usage>& /*usage*/, TimePoint /*now*/) {}
  void OnRoutersRestarted(const Fleet& /*fleet*/, TimePoint /*now*/) {}
};

/// Picks the engines in turn.
class RoundRobin : public PolicyBase {
 public:
  explicit RoundRobin(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const PlacementQuery& query,
                      TimePoint now);

 private:
  std::vector<std::uint32_t> next_;
};

/// Keeps the load of all engines as each router knows it from delayed reports.
class LaggedLoadPolicy : public PolicyBase {
 public:
  explicit LaggedLoadPolicy(const Deployment& deployment);
  void OnReport(std::uint32_t router, std::uint32_t engine,
                const AgentReport& report, TimePoint now);
  void OnRoutersRestarted(const Fleet& fleet, TimePoint now);

 protected:
  LoadModel& Load(std::uint32_t router, std::uint32_t engine);

 private:
  Deployment deployment_;
  std::vector<LoadModel> loads_;
};

/// Picks the least expected wait from delayed reports and the router's own
/// dispatches.
class LeastLoaded : public LaggedLoadPolicy {
 public:
  using LaggedLoadPolicy::LaggedLoadPolicy;
  std::uint32_t Place(const Fleet& fleet, const PlacementQuery& query,
                      TimePoint now);
};

/// Picks an engine by rendezvous hashing of the document.
class PrefixHash : public PolicyBase {
 public:
  explicit PrefixHash(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const PlacementQuery& query,
                      TimePoint now);
};

/// Picks the least queueing plus recomputation from delayed load reports and
/// the actual caches.
class GreedyCost : public LaggedLoadPolicy {
 public:
  using LaggedLoadPolicy::LaggedLoadPolicy;
  std::uint32_t Place(const Fleet& fleet, const PlacementQuery& query,
                      TimePoint now);
};

/// Picks the least queueing plus recomputation from the actual load and caches.
/// Pieces that queued jobs will store count as cached.
class OmniscientGreedy : public PolicyBase {
 public:
  explicit OmniscientGreedy(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const PlacementQuery& query,
                      TimePoint now);
};

/// Yuccapick's own placement, with one instance per router.
class Yuccapick : public PolicyBase {
 public:
  explicit Yuccapick(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const PlacementQuery& query,
                      TimePoint now);
  void OnUpstream(std::uint32_t engine, const UpstreamInfo& info,
                  TimePoint now);
  void OnReport(std::uint32_t router, std::uint32_t engine,
                const AgentReport& report, TimePoint now);
  void OnFirstToken(const PlacementQuery& query, TimePoint now);
  void OnFinished(const PlacementQuery& query,
                  const std::optional<Usage>& usage, TimePoint now);
  void OnRoutersRestarted(const Fleet& fleet, TimePoint now);

 private:
  void MakeRouters();

  Deployment deployment_;
  std::uint64_t generation_ = 0;
  std::vector<std::unique_ptr<Placement>> routers_;
};

using Policy = std::variant<RoundRobin, LeastLoaded, PrefixHash, GreedyCost,
                            OmniscientGreedy, Yuccapick>;

/// Returns the names of the policies, in the order of `Policy`.
const std::vector<std::string>& PolicyNames();

/// Creates the policy `name`; an unknown name creates `Yuccapick`.
Policy MakePolicy(const std::string& name, const Deployment& deployment);

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_POLICY_H_
