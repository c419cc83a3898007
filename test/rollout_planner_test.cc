#include "yuccapick/rollout_planner.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const ModelId kModel("moor-8b");
constexpr milliseconds kStep{50};
constexpr milliseconds kLoadTime{1'300};

/// What happens to an order on its way.
enum class OrderFate : std::uint8_t { kCarriedOut, kLost, kAnswerLost, kLate };

/// Engines as they are, and the planner's picture of them.
class World {
 public:
  explicit World(int engines, const RolloutOptions& options = {})
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

  void Name(WeightVersionNumber weights) { named[kModel] = weights; }

  void Step(OrderFate fate = OrderFate::kCarriedOut) {
    now += kStep;
    for (auto& [id, engine] : engines_) Advance(id, engine);
    for (const RolloutAction& action :
         planner.OnTick(named, roster, load, now)) {
      if (const auto* order = std::get_if<RolloutOrder>(&action)) {
        Carry(*order, fate);
      } else {
        Report(std::get<RolloutStatusQuery>(action).upstream);
      }
    }
    most_at_once = std::max(most_at_once, LoadingNow());
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

  RolloutPlanner planner;
  UpstreamRoster roster;
  UpstreamLoad load{milliseconds(1'000)};
  std::map<ModelId, WeightVersionNumber> named;
  TimePoint now = kStart;
  std::size_t most_at_once = 0;
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
    std::optional<LateOrder> late;
    std::size_t loads = 0;
    bool silent = false;
  };

  bool Accept(Engine& engine, const RolloutOrder& order) {
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
    if (engine.late && now >= engine.late->when) {
      Accept(engine, engine.late->order);
      engine.late.reset();
    }
    if (!engine.loading || now < engine.loaded_at) return;
    engine.weights = *engine.loading;
    engine.loading.reset();
    UpstreamEntry entry = *roster.Find(id);
    entry.weights[kModel] = engine.weights;
    roster.OnEntry(entry, now);
  }

  void Carry(const RolloutOrder& order, OrderFate fate) {
    Engine& engine = engines_[order.upstream];
    orders.push_back(order);
    held_at_order.push_back(engine.weights);
    RolloutOrderResult answer = RolloutOrderResult::kNone;
    if (!engine.silent) {
      switch (fate) {
        case OrderFate::kCarriedOut:
          answer = Accept(engine, order) ? RolloutOrderResult::kAccepted
                                         : RolloutOrderResult::kConflict;
          break;
        case OrderFate::kAnswerLost:
          Accept(engine, order);
          break;
        case OrderFate::kLate:
          engine.late = LateOrder{order, now + milliseconds(4'000)};
          break;
        case OrderFate::kLost:
          break;
      }
    }
    planner.OnRolloutOrderResult(order.upstream, answer, now);
  }

  void Report(const UpstreamId& id) {
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
  World world(18);
  world.Name(2);
  const int steps = static_cast<int>(milliseconds(12'000) / kStep);
  for (int i = 0; i < steps; ++i) world.Step();
  CHECK(world.Outdated(2) == 0);
  CHECK(world.most_at_once == 3);
  CHECK(world.orders.size() == 18);
  CHECK(world.planner.Loading().empty());
}

TEST_CASE("An engine gets its order only after its requests have ended") {
  World world(6);
  world.load.Begin(UpstreamId("engine-0"), {1, 500, 0});
  world.Name(2);
  const auto ordered = [&world] {
    return std::any_of(world.orders.begin(), world.orders.end(), [](auto& o) {
      return o.upstream == UpstreamId("engine-0");
    });
  };
  for (int i = 0; i < 13; ++i) world.Step();
  CHECK_FALSE(ordered());
  CHECK(world.orders.size() >= 3);
  world.load.End(UpstreamId("engine-0"), {1, 500, 0});
  for (int i = 0; i < 40; ++i) world.Step();
  CHECK(ordered());
}

TEST_CASE("While engines are busy, few more than needed are out of service") {
  World world(12);
  for (int i = 0; i < 12; ++i) {
    world.load.Begin(UpstreamId("engine-" + std::to_string(i)),
                     {5, 40'000, 20'000});
  }
  world.Name(2);
  for (int i = 0; i < 30; ++i) {
    world.Step();
    CHECK(world.planner.Loading().size() <= 4);
  }
}

TEST_CASE("A short limit does not take most engines out of service") {
  RolloutOptions options;
  options.limit = milliseconds(5'000);
  World world(40, options);
  world.Name(2);
  std::size_t most_out = 0;
  SECTION("while requests end") {}
  SECTION("while no request ends") {
    for (int i = 0; i < 40; ++i) {
      world.load.Begin(UpstreamId("engine-" + std::to_string(i)), {1, 0, 0});
    }
  }
  for (int i = 0; i < 400 && world.Outdated(2) > 0; ++i) {
    world.Step();
    most_out = std::max(most_out, world.planner.Loading().size());
  }
  CHECK(world.Outdated(2) == 0);
  CHECK(most_out <= 13);
  CHECK(world.most_at_once <= 12);
}

TEST_CASE("Engines held back make room for others, and get their turn") {
  World world(6);
  world.Name(2);
  // Without work they would be the first.
  const std::set<UpstreamId> held{UpstreamId("engine-0"),
                                  UpstreamId("engine-1")};
  world.planner.SetExcludedUpstreams(held);
  for (int i = 0; i < 200; ++i) world.Step();
  CHECK(world.Outdated(2) == held.size());
  CHECK(world.orders.front().upstream != UpstreamId("engine-0"));
  world.planner.SetExcludedUpstreams({});
  for (int i = 0; i < 100; ++i) world.Step();
  CHECK(world.Outdated(2) == 0);
}

TEST_CASE("Engines are announced as loading before they get the order") {
  World world(4);
  world.Name(2);
  world.Step();
  CHECK(world.planner.Loading().size() >= 3);
  CHECK(world.orders.empty());
}

TEST_CASE("The oldest weights are replaced first") {
  World world(9);
  world.Name(2);
  for (int i = 0; i < 40; ++i) world.Step();
  world.Name(3);
  const std::size_t before = world.orders.size();
  const std::size_t oldest = world.Outdated(2);
  REQUIRE(oldest >= 3);
  for (int i = 0; i < 200; ++i) world.Step();
  CHECK(world.Outdated(3) == 0);
  for (std::size_t i = before; i < before + oldest - 3; ++i) {
    INFO("order " << i << " of " << before << " and " << oldest);
    CHECK(world.held_at_order[i] == 1);
  }
}

TEST_CASE("An engine that does not answer makes room for the others") {
  World world(6);
  world.Silence("engine-0");
  world.Silence("engine-1");
  world.Silence("engine-2");
  world.Name(2);
  for (int i = 0; i < 240; ++i) world.Step();
  CHECK(world.Outdated(2) == 3);
}

TEST_CASE("Orders that are lost, late or unanswered still load once each") {
  rc::prop("all engines end up to date, a few at once", [] {
    World world(*rc::gen::inRange(1, 10));
    const auto fates =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 4));
    world.Name(2);
    for (int i = 0; i < 1'200; ++i) {
      const auto fate = static_cast<OrderFate>(fates[i % fates.size()]);
      world.Step(i < 200 ? fate : OrderFate::kCarriedOut);
      RC_ASSERT(world.planner.Loading().size() <= 10);
    }
    RC_ASSERT(world.Outdated(2) == 0);
    for (int i = 0; i < 10; ++i) {
      const std::string id = "engine-" + std::to_string(i);
      if (world.roster.Find(UpstreamId(id)) == nullptr) continue;
      RC_ASSERT(world.loads(id) == 1);
    }
  });
}

}  // namespace
}  // namespace yuccapick
