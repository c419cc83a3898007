#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "yuccapick/attempt_gate.h"
#include "yuccapick/operation_dedup.h"
#include "yuccapick/prefix.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

UpstreamInfo Engine() {
  UpstreamInfo engine;
  engine.id = UpstreamId("engine-1");
  engine.agent_incarnation = Incarnation(5);
  engine.engine_incarnation = Incarnation(8);
  engine.loaded = {{ModelId("moor-8b"), AdapterId(), WeightVersion("v2")}};
  return engine;
}

AttemptRequest ModelAttempt() {
  AttemptRequest request;
  request.attempt = AttemptId("r-1-1");
  request.team = TeamId("moor");
  request.kind = RequestKind::kChatCompletion;
  request.agent_incarnation = Incarnation(5);
  request.engine_incarnation = Incarnation(8);
  request.config = ConfigVersion(3);
  request.model = ModelId("moor-8b");
  request.weights = WeightVersion("v2");
  request.cache_salt = CacheSalt(
      {request.team, request.model, request.adapter, request.weights});
  request.deadline = milliseconds(500);
  return request;
}

/// One guard of the gate and an attempt that only it refuses.
struct GateCase {
  std::string name;
  bool Guards::*guard;
  void (*spoil)(AttemptRequest& request);
  ErrorKind kind;
};

std::vector<GateCase> GateCases() {
  return {
      {"engine_incarnation", &Guards::engine_incarnation,
       [](AttemptRequest& r) { r.engine_incarnation = Incarnation(7); },
       ErrorKind::kWrongIncarnation},
      {"weights", &Guards::weights,
       [](AttemptRequest& r) {
         r.weights = WeightVersion("v1");
         r.cache_salt = CacheSalt({r.team, r.model, r.adapter, r.weights});
       },
       ErrorKind::kNoUpstream},
      {"cache_scope", &Guards::cache_scope,
       [](AttemptRequest& r) {
         r.cache_salt =
             CacheSalt({TeamId("fen"), r.model, r.adapter, r.weights});
       },
       ErrorKind::kBadRequest},
      {"config_version", &Guards::config_version,
       [](AttemptRequest& r) { r.config = ConfigVersion(2); },
       ErrorKind::kStaleConfig},
  };
}

TEST_CASE("Each guard of the gate alone refuses what it is there for") {
  for (const GateCase& it : GateCases()) {
    DYNAMIC_SECTION(it.name) {
      AttemptRequest request = ModelAttempt();
      it.spoil(request);
      AttemptGate gate;
      gate.ObserveConfig(ConfigVersion(3));
      const auto refused = gate.CheckUse(request, Engine());
      REQUIRE(refused);
      CHECK(refused->kind == it.kind);
      CHECK(refused->execution == Execution::kNotRun);

      Guards guards;
      guards.*it.guard = false;
      AttemptGate open(guards);
      open.ObserveConfig(ConfigVersion(3));
      CHECK_FALSE(open.CheckUse(request, Engine()));
    }
  }
}

TEST_CASE("The gate passes what was decided for this engine as it is") {
  AttemptGate gate;
  CHECK_FALSE(gate.CheckAddress(ModelAttempt(), Engine()));
  CHECK_FALSE(gate.CheckUse(ModelAttempt(), Engine()));
}

AttemptRequest Booking(const std::string& attempt, std::uint64_t fence) {
  AttemptRequest request;
  request.attempt = AttemptId(attempt);
  request.team = TeamId("moor");
  request.key = IdempotencyKey("k");
  request.fence = FencingToken(fence);
  request.method = "POST";
  request.body = "a valve";
  return request;
}

TEST_CASE("A lower token is refused once a higher one was seen") {
  OperationDedup memory;
  CHECK(memory.Accept(Booking("a", 2), kStart) ==
        OperationDedup::Verdict::kPassOn);
  memory.OnNotRun(AttemptId("a"));
  CHECK(memory.Accept(Booking("b", 1), kStart) ==
        OperationDedup::Verdict::kStaleFence);
  CHECK(memory.Accept(Booking("c", 3), kStart) ==
        OperationDedup::Verdict::kPassOn);
}

TEST_CASE("A forgotten operation is unknown to whoever takes it over") {
  const auto after_sweep = [](const Guards& guards) {
    OperationDedupOptions options;
    options.retention = milliseconds(10);
    options.guards = guards;
    OperationDedup memory(options);
    memory.Accept(Booking("a", 1), kStart);
    memory.OnEnd({AttemptId("a"), 0, {}});
    memory.Sweep(kStart + milliseconds(10));
    AttemptRequest later = Booking("b", 2);
    later.take_over = true;
    return memory.Accept(later, kStart + milliseconds(11));
  };
  CHECK(after_sweep({}) == OperationDedup::Verdict::kUnknown);
  Guards off;
  off.evicted_claim = false;
  CHECK(after_sweep(off) == OperationDedup::Verdict::kPassOn);
}

TEST_CASE("The memory of operations is bounded") {
  OperationDedupOptions options;
  options.max_operations = 2;
  OperationDedup memory(options);
  for (int n = 0; n < 5; ++n) {
    AttemptRequest request = Booking(std::to_string(n), 1);
    request.key = IdempotencyKey(std::to_string(n));
    const bool room = n < 2;
    CHECK((memory.Accept(request, kStart) ==
           OperationDedup::Verdict::kPassOn) == room);
  }
  memory.OnEnd({AttemptId("0"), 0, {}});
  AttemptRequest next = Booking("x", 1);
  next.key = IdempotencyKey("x");
  CHECK(memory.Accept(next, kStart) == OperationDedup::Verdict::kPassOn);
  CHECK(memory.size() == 2);
}

}  // namespace
}  // namespace yuccapick
