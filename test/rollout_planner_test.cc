#include "yuccapick/rollout_planner.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const ModelId kModel("moor-8b");
constexpr milliseconds kStep{50};
constexpr milliseconds kLoadTime{1'300};

/// What happens to an order.
enum class OrderDelivery : std::uint8_t {
  kCarriedOut,
  kLost,
  kAnswerLost,
  kLate
};

/// Simulated engines, with the planner and its input.
class RolloutSimulation {
 public:
  explicit RolloutSimulation(int engines, const RolloutOptions& options = {})
      : planner(options) {
    for (int i = 0; i < engines; ++i) {
      UpstreamEntry entry;
      entry.id = UpstreamId("engine-" + std::to_string(i));
      entry.service = ServiceId("engines");
      entry.weights[kModel] = 1;
      roster.OnEntry(entry, now);
      engines_[entry.id] = {};
    }
  }

  void SetTarget(WeightVersionNumber weights) { targets[kModel] = weights; }

  void Step(OrderDelivery delivery = OrderDelivery::kCarriedOut) {
    now += kStep;
    for (auto& [id, engine] : engines_) Advance(id, engine);
    for (const RolloutAction& action :
         planner.OnTick(targets, roster, load, now)) {
      if (const auto* order = std::get_if<RolloutOrder>(&action)) {
        Deliver(*order, delivery);
      } else {
        AnswerQuery(std::get<RolloutStatusQuery>(action).upstream);
      }
    }
    max_loading = std::max(max_loading, LoadingNow());
  }

  std::size_t Outdated(WeightVersionNumber weights) const {
    std::size_t n = 0;
    for (const auto& [id, engine] : engines_) n += engine.weights < weights;
    return n;
  }

  std::size_t LoadingNow() const {
    std::size_t n = 0;
    for (const auto& [id, engine] : engines_) n += engine.loading.has_value();
    return n;
  }

  std::size_t loads(const std::string& id) const {
    return engines_.at(UpstreamId(id)).loads;
  }
  void Silence(const std::string& id) {
    engines_[UpstreamId(id)].silent = true;
  }
  void SetAllSilent(bool silent) {
    for (auto& [id, engine] : engines_) engine.silent = silent;
  }

  RolloutPlanner planner;
  UpstreamRoster roster;
  UpstreamLoad load{milliseconds(1'000)};
  std::map<ModelId, WeightVersionNumber> targets;
  TimePoint now = kStart;
  std::size_t max_loading = 0;
  std::vector<RolloutOrder> orders;
  std::vector<WeightVersionNumber> held_at_order;

 private:
  struct LateOrder {
    RolloutOrder order;
    TimePoint when;
  };
  struct Engine {
    WeightVersionNumber weights = 1;
    std::uint64_t accepted = 0;
    std::optional<WeightVersionNumber> loading;
    TimePoint loaded_at;
    std::deque<LateOrder> late;  ///< In the order of their times.
    std::size_t loads = 0;
    bool silent = false;
  };

  bool AcceptOrder(Engine& engine, const RolloutOrder& order) {
    if (engine.loading || engine.accepted != order.expected_orders) {
      return false;
    }
    ++engine.accepted;
    ++engine.loads;
    engine.loading = order.weights;
    engine.loaded_at = now + kLoadTime;
    return true;
  }

  void Advance(const UpstreamId& id, Engine& engine) {
    while (!engine.late.empty() && now >= engine.late.front().when) {
      AcceptOrder(engine, engine.late.front().order);
      engine.late.pop_front();
    }
    if (!engine.loading || now < engine.loaded_at) return;
    engine.weights = *engine.loading;
    engine.loading.reset();
    UpstreamEntry entry = *roster.Find(id);
    entry.weights[kModel] = engine.weights;
    roster.OnEntry(entry, now);
  }

  void Deliver(const RolloutOrder& order, OrderDelivery delivery) {
    Engine& engine = engines_[order.upstream];
    orders.push_back(order);
    held_at_order.push_back(engine.weights);
    RolloutOrderResult answer = RolloutOrderResult::kNone;
    if (!engine.silent) {
      switch (delivery) {
        case OrderDelivery::kCarriedOut:
          answer = AcceptOrder(engine, order) ? RolloutOrderResult::kAccepted
                                              : RolloutOrderResult::kConflict;
          break;
        case OrderDelivery::kAnswerLost:
          AcceptOrder(engine, order);
          break;
        case OrderDelivery::kLate:
          engine.late.push_back({order, now + milliseconds(4'000)});
          break;
        case OrderDelivery::kLost:
          break;
      }
    }
    planner.OnRolloutOrderResult(order.upstream, answer, now);
  }

  void AnswerQuery(const UpstreamId& id) {
    const Engine& engine = engines_[id];
    if (engine.silent) return planner.OnReport(id, std::nullopt, now);
    RolloutReport report;
    report.weights[kModel] = engine.weights;
    report.busy = engine.loading.has_value();
    report.orders_accepted = engine.accepted;
    planner.OnReport(id, report, now);
  }

  std::map<UpstreamId, Engine> engines_;
};

TEST_CASE("Eighteen engines get new weights, three at a time, within 12 s") {
  RolloutSimulation simulation(18);
  simulation.SetTarget(2);
  const int steps = static_cast<int>(milliseconds(12'000) / kStep);
  for (int i = 0; i < steps; ++i) simulation.Step();
  CHECK(simulation.Outdated(2) == 0);
  CHECK(simulation.max_loading == 3);
  CHECK(simulation.orders.size() == 18);
  CHECK(simulation.planner.Loading().empty());
}

TEST_CASE("An engine with requests gets its order only after they have ended") {
  RolloutSimulation simulation(6);
  simulation.load.Begin(UpstreamId("engine-0"), {1, 500, 0});
  simulation.SetTarget(2);
  const auto ordered = [&simulation] {
    return std::any_of(
        simulation.orders.begin(), simulation.orders.end(),
        [](auto& o) { return o.upstream == UpstreamId("engine-0"); });
  };
  for (int i = 0; i < 13; ++i) simulation.Step();
  CHECK_FALSE(ordered());
  CHECK(simulation.orders.size() >= 3);
  simulation.load.End(UpstreamId("engine-0"), {1, 500, 0});
  for (int i = 0; i < 40; ++i) simulation.Step();
  CHECK(ordered());
}

TEST_CASE("While engines are busy, at most four of twelve are out of service") {
  RolloutSimulation simulation(12);
  for (int i = 0; i < 12; ++i) {
    simulation.load.Begin(UpstreamId("engine-" + std::to_string(i)),
                          {5, 40'000, 20'000});
  }
  simulation.SetTarget(2);
  for (int i = 0; i < 30; ++i) {
    simulation.Step();
    CHECK(simulation.planner.Loading().size() <= 4);
  }
}

TEST_CASE(
    "With a short limit, at most a third of the engines are out of service") {
  RolloutOptions options;
  options.limit = milliseconds(5'000);
  RolloutSimulation simulation(40, options);
  simulation.SetTarget(2);
  std::size_t most_out = 0;
  SECTION("while requests end") {}
  SECTION("while no request ends") {
    for (int i = 0; i < 40; ++i) {
      simulation.load.Begin(UpstreamId("engine-" + std::to_string(i)),
                            {1, 0, 0});
    }
  }
  for (int i = 0; i < 400 && simulation.Outdated(2) > 0; ++i) {
    simulation.Step();
    most_out = std::max(most_out, simulation.planner.Loading().size());
  }
  CHECK(simulation.Outdated(2) == 0);
  CHECK(most_out <= 13);
  CHECK(simulation.max_loading <= 12);
}

TEST_CASE("Excluded engines are skipped until they are included again") {
  RolloutSimulation simulation(6);
  simulation.SetTarget(2);
  // Without requests they would be the first.
  const std::set<UpstreamId> held{UpstreamId("engine-0"),
                                  UpstreamId("engine-1")};
  simulation.planner.SetExcludedUpstreams(held);
  for (int i = 0; i < 200; ++i) simulation.Step();
  CHECK(simulation.Outdated(2) == held.size());
  CHECK(simulation.orders.front().upstream != UpstreamId("engine-0"));
  simulation.planner.SetExcludedUpstreams({});
  for (int i = 0; i < 100; ++i) simulation.Step();
  CHECK(simulation.Outdated(2) == 0);
}

TEST_CASE("Engines are reported as loading before they get the order") {
  RolloutSimulation simulation(4);
  simulation.SetTarget(2);
  simulation.Step();
  CHECK(simulation.planner.Loading().size() >= 3);
  CHECK(simulation.orders.empty());
}

TEST_CASE("Engines with the oldest weights are updated first") {
  RolloutSimulation simulation(9);
  simulation.SetTarget(2);
  for (int i = 0; i < 40; ++i) simulation.Step();
  simulation.SetTarget(3);
  const std::size_t before = simulation.orders.size();
  const std::size_t oldest = simulation.Outdated(2);
  REQUIRE(oldest >= 3);
  for (int i = 0; i < 200; ++i) simulation.Step();
  CHECK(simulation.Outdated(3) == 0);
  for (std::size_t i = before; i < before + oldest - 3; ++i) {
    INFO("order " << i << " of " << before << " and " << oldest);
    CHECK(simulation.held_at_order[i] == 1);
  }
}

TEST_CASE("Engines that do not respond do not block the others") {
  RolloutSimulation simulation(6);
  simulation.Silence("engine-0");
  simulation.Silence("engine-1");
  simulation.Silence("engine-2");
  simulation.SetTarget(2);
  for (int i = 0; i < 240; ++i) simulation.Step();
  CHECK(simulation.Outdated(2) == 3);
}

TEST_CASE("New weights are in time though all orders are carried out late") {
  RolloutSimulation simulation(18);
  simulation.SetTarget(2);
  const int steps = static_cast<int>(milliseconds(12'000) / kStep);
  for (int i = 0; i < steps; ++i) simulation.Step(OrderDelivery::kLate);
  CHECK(simulation.Outdated(2) == 0);
}

TEST_CASE("New weights are in time though orders are lost for seven seconds") {
  RolloutSimulation simulation(18);
  simulation.SetTarget(2);
  const int lost_steps = static_cast<int>(milliseconds(7'000) / kStep);
  for (int i = 0; i < lost_steps; ++i) simulation.Step(OrderDelivery::kLost);
  const int steps = static_cast<int>(milliseconds(15'000) / kStep);
  for (int i = lost_steps; i < steps; ++i) simulation.Step();
  CHECK(simulation.Outdated(2) == 0);
  CHECK(simulation.max_loading <= 4);
}

TEST_CASE("New weights are in time though all engines pause for a second") {
  const milliseconds limit(12'000);
  const milliseconds silence(1'000);
  for (milliseconds begin(0); begin < milliseconds(6'000); begin += kStep) {
    RolloutSimulation simulation(18);
    simulation.SetTarget(2);
    for (milliseconds at(0); at < limit; at += kStep) {
      if (at == begin) simulation.SetAllSilent(true);
      if (at == begin + silence) simulation.SetAllSilent(false);
      simulation.Step();
    }
    INFO("silent from " << begin.count() << " ms");
    CHECK(simulation.Outdated(2) == 0);
  }
}

TEST_CASE(
    "Engines load new weights once each even if orders are lost or late") {
  rc::prop("all engines are updated, a few at a time", [] {
    RolloutSimulation simulation(*rc::gen::inRange(1, 10));
    const auto deliveries =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 4));
    simulation.SetTarget(2);
    for (int i = 0; i < 1'200; ++i) {
      const auto delivery =
          static_cast<OrderDelivery>(deliveries[i % deliveries.size()]);
      simulation.Step(i < 200 ? delivery : OrderDelivery::kCarriedOut);
      RC_ASSERT(simulation.planner.Loading().size() <= 10);
    }
    RC_ASSERT(simulation.Outdated(2) == 0);
    for (int i = 0; i < 10; ++i) {
      const std::string id = "engine-" + std::to_string(i);
      if (simulation.roster.Find(UpstreamId(id)) == nullptr) continue;
      RC_ASSERT(simulation.loads(id) == 1);
    }
  });
}

}  // namespace
}  // namespace yuccapick
