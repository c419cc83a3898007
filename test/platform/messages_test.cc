#include <catch2/catch.hpp>

#include "platform/engine_calls.h"
#include "platform/operator_rows.h"
#include "platform/settings_file.h"
#include "platform/table_calls.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kConfig[] = R"({"version":7,
 "routes":[{"name":"r1","host":"h","prefix":"/a/","kind":"streaming",
   "timeoutMs":4000,"targetLatencyMs":600,"priority":1,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "maxAttempts":2,"authExempt":false,"sticky":true,"resumable":true,
   "gapTargetMs":400},
  {"name":"r2","host":"h","prefix":"/b/","kind":"idempotent",
   "timeoutMs":1500,"service":"s2"}],
 "services":[{"name":"s1","maxConns":720,"engine":{"slots":64,
   "kvCapacityTokens":106560,"maxInflight":12,"models":[{"name":"m"}]}},
  {"name":"s2","maxConns":200},
  {"name":"keep","kvStoreAddr":"172.20.0.2:8781","zone":"b","maxInflight":9}],
 "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"isolated":true}],
 "fresh":{"unknown":1}})";

constexpr char kEntry[] = R"({"service":"s1","address":"10.128.0.9:8080",
 "zone":"a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,
 "models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,
 "born":1771623327000})";

constexpr char kSettings[] = R"({"nodeName":"front-1","zone":"a",
 "ip":"10.1.0.30","listen":{"front":"10.1.0.30:8782",
 "ready":"10.1.0.30:8789","control":"10.1.0.30:8783"},
 "limits":{"memoryMb":96},"internalPorts":[7340,7355],"seeds":["10.2.0.22:8783"],"heartbeatMs":1200,
 "bounds":{"graceS":8,"leaseMs":3000,"versionMs":9000,
 "retryBudgetRatio":0.2,"budgetSlack":108,"budgetWindowS":10},
 "platform":{"address":"10.200.1.7:8784"},"new":[1]})";

TEST_CASE("A configuration is decoded and its unknown fields are ignored") {
  const auto config = platform::DecodeConfig(kConfig);
  REQUIRE(config.ok());
  CHECK((*config)->version() == ConfigVersion(7));
  const GatewayRoute* route = (*config)->FindRoute("h", "/a/x");
  REQUIRE(route != nullptr);
  CHECK(route->kind == RouteKind::kStreaming);
  CHECK(route->targets.size() == 2);
  CHECK(route->timeout == milliseconds(4'000));
  CHECK(route->target_event_gap == milliseconds(400));
  CHECK(route->max_attempts == 2);
  CHECK(route->IsSafeToRetry());
  CHECK((*config)->FindRoute("h", "/b/x")->targets[0].service ==
        ServiceId("s2"));
  const GatewayService* engines = (*config)->FindService(ServiceId("s1"));
  CHECK(engines->engine->kv_capacity_tokens == 106'560);
  CHECK(engines->engine->max_cache_watchers == 12);
  CHECK((*config)->KvStores().at(0)->kv_store_endpoint == "172.20.0.2:8781");
  CHECK((*config)->FindTeam("k2")->isolated);
  CHECK((*config)->limits().max_body_bytes == 200);
}

TEST_CASE("A malformed configuration is an error that names it") {
  CHECK_FALSE(platform::DecodeConfig("{").ok());
  CHECK_FALSE(platform::DecodeConfig(R"({"version":1})").ok());
  const auto status =
      platform::DecodeConfig(R"({"version":"x","routes":[],"services":[]})")
          .status();
  CHECK(status.message().find("configuration") != absl::string_view::npos);
}

TEST_CASE("An upstream's entry is decoded and malformed ones are ignored") {
  const auto entry = platform::DecodeUpstreamEntry("i-1", kEntry);
  REQUIRE(entry.has_value());
  CHECK(entry->endpoint == "10.128.0.9:8080");
  CHECK(entry->weights.at(ModelId("m")) == 3);
  CHECK(entry->incarnation == Incarnation(1'771'623'327'000));
  CHECK_FALSE(entry->leaving);
  for (const char* malformed :
       {"", "[]", "{}", R"({"service":1})",
        R"({"service":"s","address":"a","zone":"z","slots":4,"state":"odd"})",
        R"({"service":"s","address":"a","zone":"z","slots":"4",
            "state":"ready"})"}) {
    CHECK_FALSE(platform::DecodeUpstreamEntry("i-1", malformed).has_value());
  }
}

TEST_CASE("Target weights are decoded") {
  const auto named =
      platform::DecodeTargetWeights(R"({"model":"m","version":2})");
  REQUIRE(named.has_value());
  CHECK(named->weights == 2);
  CHECK_FALSE(platform::DecodeTargetWeights("{}").has_value());
}

TEST_CASE("Settings are decoded and errors refer to the documentation") {
  const auto settings = platform::DecodeSettings(kSettings);
  REQUIRE(settings.ok());
  CHECK(settings->caller_endpoint == "10.1.0.30:8782");
  CHECK(settings->peer_port == 7'340);
  CHECK(settings->bounds.stale_weights_limit == milliseconds(9'000));
  CHECK(settings->bounds.shutdown_grace == milliseconds(8'000));
  CHECK(settings->bounds.retry_reserve == 108);
  CHECK(settings->memory_bytes == 100'663'296);
  const auto incomplete = platform::DecodeSettings(R"({"nodeName":"x"})");
  CHECK(incomplete.status().message().find("PLATFORM.md") !=
        absl::string_view::npos);
  CHECK_FALSE(platform::LoadSettingsFile("/no/such/file").ok());
}

/// @return settings as JSON, with the given zone, seeds and bounds
std::string SettingsJson(const std::string& zone, const std::string& seeds,
                         const std::string& bounds) {
  return R"({"nodeName":"n","ip":"10.9.0.1","listen":{"front":"10.9.0.1:1",
      "ready":"10.9.0.1:2"},"internalPorts":[3,4],"zone":")" +
         zone + R"(","seeds":)" + seeds + R"(,"bounds":)" + bounds +
         R"(,"platform":{"address":"10.9.9.9:5"}})";
}

TEST_CASE("Settings of a deployment without seeds and control port are valid") {
  const auto settings = platform::DecodeSettings(
      SettingsJson("only", "[]", R"({"versionMs":1200,"leaseMs":500})"));
  REQUIRE(settings.ok());
  CHECK(settings->domain == FailureDomain("only"));
  CHECK(settings->seed_endpoints.empty());
  CHECK(settings->control_endpoint.empty());
  CHECK(settings->bounds.stale_weights_limit == milliseconds(1'200));
  CHECK(settings->bounds.lease_handover_gap == milliseconds(500));
}

TEST_CASE("Bounds may be large or fractional") {
  const auto settings = platform::DecodeSettings(
      SettingsJson("region-4-zone-9", R"(["10.8.0.1:7","10.8.1.1:7"])",
                   R"({"versionMs":60000.0,"graceS":0.5,"budgetSlack":4000.5,
                        "retryBudgetRatio":0.05,"budgetWindowS":2.5})"));
  REQUIRE(settings.ok());
  CHECK(settings->seed_endpoints.size() == 2);
  CHECK(settings->bounds.stale_weights_limit == milliseconds(60'000));
  CHECK(settings->bounds.shutdown_grace == milliseconds(500));
  CHECK(settings->bounds.retry_reserve == 4'000.5);
  CHECK(settings->bounds.retry_share == 0.05);
  CHECK(settings->bounds.retry_window == milliseconds(2'500));
}

TEST_CASE("Missing bounds get their defaults and malformed ones are errors") {
  const auto settings = platform::DecodeSettings(SettingsJson("a", "[]", "{}"));
  REQUIRE(settings.ok());
  CHECK(settings->bounds.stale_weights_limit ==
        GatewayBounds().stale_weights_limit);
  CHECK(settings->bounds.retry_reserve == GatewayBounds().retry_reserve);
  CHECK_FALSE(
      platform::DecodeSettings(SettingsJson("a", "[]", R"({"graceS":"x"})"))
          .ok());
}

TEST_CASE("Rows are decoded, including removed ones") {
  const auto answer = platform::DecodeRows(
      R"({"rows":[{"table":"op","part":"","key":"a","value":"aGk=",
          "rowVersion":3},{"key":"b","rowVersion":4,"tombstone":true}],
          "hasMore":true,"rowVersion":9,"nowMs":512.5})");
  REQUIRE(answer.ok());
  CHECK(answer->rows[0] == MirrorRow{"a", "hi", 3, false});
  CHECK(answer->rows[1].removed);
  CHECK(answer->as_of == 9);
  CHECK(answer->has_more);
  CHECK(answer->store_time == StoreTime(milliseconds(512)));
  CHECK_FALSE(platform::DecodeRows("{}").ok());
}

TEST_CASE("Requests to the store carry table, key and expected version") {
  CHECK(platform::EncodeReadRows("s:1", "a b", std::string("k\0", 2)) ==
        "GET /rows-get?table=a%20b&part=&from=k%00 HTTP/1.1\r\nHost: s:1\r\n"
        "\r\n");
  const std::string write = platform::EncodeWrite("s:1", {"t", "k", "hi", 7});
  CHECK(write.find("\"rowVersion\":7") != std::string::npos);
  CHECK(write.find("\"value\":\"aGk=\"") != std::string::npos);
  const std::string any =
      platform::EncodeWrite("s:1", {"t", "k", "hi", std::nullopt});
  CHECK(any.find("\"expected\":[]") != std::string::npos);
  const std::string removal =
      platform::EncodeWrite("s:1", {"t", "k", std::nullopt, std::nullopt});
  CHECK(removal.find("\"put\":[]") != std::string::npos);
  CHECK(removal.find("\"remove\":[{\"key\":\"k\"") != std::string::npos);
}

TEST_CASE("Cache events and reports are decoded") {
  const auto events = platform::DecodeCacheEvents(
      R"({"bootEpoch":77,"next":120,"lost":true,
          "events":[[119,"+","s1","5c1e",800,"m"],[120,"-","s1","91bd",0,"m"]]})");
  REQUIRE(events.ok());
  CHECK(events->next == 120);
  CHECK(events->gap);
  CHECK(events->changes[0].change.part_hash == PartHash("s1", "5c1e"));
  CHECK(events->changes[0].change.held);
  CHECK_FALSE(events->changes[1].change.held);
  const auto report = platform::DecodeReport(
      R"({"busy":true,"sequence":2,"models":[{"name":"m","version":4}]})");
  REQUIRE(report.ok());
  CHECK(report->busy);
  CHECK(report->weights.at(ModelId("m")) == 4);
  CHECK_FALSE(platform::DecodeReport("{}").ok());
}

TEST_CASE("A load order carries its upstream, fence and expected count") {
  UpstreamEntry upstream;
  upstream.id = UpstreamId("i-1");
  upstream.endpoint = "10.0.0.1:80";
  LoadOrder order;
  order.model = ModelId("m");
  order.weights = 2;
  order.holder = "front-1";
  order.fence = FencingToken(41);
  order.expected_orders = 3;
  const std::string text = platform::EncodeLoadOrder(upstream, order);
  CHECK(text.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
  CHECK(text.find("\"fenceToken\":41") != std::string::npos);
  CHECK(text.find("\"expected\":3") != std::string::npos);
}

}  // namespace
}  // namespace yuccapick
