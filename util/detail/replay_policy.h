#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_POLICY_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_POLICY_H_

/// @file
/// The policies that the replay compares.

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

/// The fleet as it is. Only the policies that say so may look at more than
/// `infos`.
struct Fleet {
  const Trace* trace = nullptr;
  std::vector<ReplayEngine> engines;
  std::vector<UpstreamInfo> infos;  ///< As every router knows them.
};

/// A request that a router places.
struct Query {
  std::uint32_t router = 0;
  std::uint32_t request = 0;  ///< Index in the trace.
  AttemptId attempt;
};

/// What a policy is told; those who need it shadow these.
struct PolicyBase {
  void OnUpstream(std::uint32_t /*engine*/, const UpstreamInfo& /*info*/,
                  TimePoint /*now*/) {}
  void OnReport(std::uint32_t /*router*/, std::uint32_t /*engine*/,
                const AgentReport& /*report*/, TimePoint /*now*/) {}
  void OnFirstToken(const Query& /*query*/, TimePoint /*now*/) {}
  void OnFinished(const Query& /*query*/, const std::optional<Usage>& /*usage*/,
                  TimePoint /*now*/) {}
  void OnRoutersRestarted(const Fleet& /*fleet*/, TimePoint /*now*/) {}
};

/// Each engine in turn.
class RoundRobin : public PolicyBase {
 public:
  explicit RoundRobin(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const Query& query, TimePoint now);

 private:
  std::vector<std::uint32_t> next_;
};

/// Lagged loads of all engines as each router sees them.
class LaggedLoads : public PolicyBase {
 public:
  explicit LaggedLoads(const Deployment& deployment);
  void OnReport(std::uint32_t router, std::uint32_t engine,
                const AgentReport& report, TimePoint now);
  void OnRoutersRestarted(const Fleet& fleet, TimePoint now);

 protected:
  LoadModel& Load(std::uint32_t router, std::uint32_t engine);

 private:
  Deployment deployment_;
  std::vector<LoadModel> loads_;
};

/// The least expected wait by lagged reports and own sends.
class LeastLoaded : public LaggedLoads {
 public:
  using LaggedLoads::LaggedLoads;
  std::uint32_t Place(const Fleet& fleet, const Query& query, TimePoint now);
};

/// The rendezvous home of the document.
class PrefixHash : public PolicyBase {
 public:
  explicit PrefixHash(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const Query& query, TimePoint now);
};

/// The least queue + recomputation, by lagged load and the true caches.
class GreedyCost : public LaggedLoads {
 public:
  using LaggedLoads::LaggedLoads;
  std::uint32_t Place(const Fleet& fleet, const Query& query, TimePoint now);
};

/// The least queue + recomputation, by the true load and the true caches,
/// counting what is queued as cached.
class OmniscientGreedy : public PolicyBase {
 public:
  explicit OmniscientGreedy(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const Query& query, TimePoint now);
};

/// The product's placement, one for each router.
class Yuccapick : public PolicyBase {
 public:
  explicit Yuccapick(const Deployment& deployment);
  std::uint32_t Place(const Fleet& fleet, const Query& query, TimePoint now);
  void OnUpstream(std::uint32_t engine, const UpstreamInfo& info,
                  TimePoint now);
  void OnReport(std::uint32_t router, std::uint32_t engine,
                const AgentReport& report, TimePoint now);
  void OnFirstToken(const Query& query, TimePoint now);
  void OnFinished(const Query& query, const std::optional<Usage>& usage,
                  TimePoint now);
  void OnRoutersRestarted(const Fleet& fleet, TimePoint now);

 private:
  void MakeRouters();

  Deployment deployment_;
  std::uint64_t lives_ = 0;
  std::vector<std::unique_ptr<Placement>> routers_;
};

using Policy = std::variant<RoundRobin, LeastLoaded, PrefixHash, GreedyCost,
                            OmniscientGreedy, Yuccapick>;

/// Names of the policies, in the order of `Policy`.
const std::vector<std::string>& PolicyNames();

/// Returns the policy of that name.
Policy MakePolicy(const std::string& name, const Deployment& deployment);

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_POLICY_H_
