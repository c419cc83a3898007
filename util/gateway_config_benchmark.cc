#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/escaping.h"
#include "platform/operator_rows.h"
#include "platform/table_calls.h"

namespace yuccapick {
namespace {

using Json = nlohmann::json;

/// @return an operator's configuration with `n` routes
std::string ConfigWithRoutes(std::int64_t n) {
  Json routes = Json::array();
  for (std::int64_t i = 0; i < n; ++i) {
    routes.push_back({{"name", fmt::format("route-{}", i)},
                      {"host", fmt::format("team-{}.example", i % 100)},
                      {"prefix", fmt::format("/service-{}/", i)},
                      {"kind", "streaming"},
                      {"service", "engines"},
                      {"timeoutMs", 12'000},
                      {"targetLatencyMs", 500},
                      {"gapTargetMs", 400},
                      {"maxAttempts", 2},
                      {"priority", 1},
                      {"sticky", true},
                      {"resumable", true}});
  }
  return Json{{"version", 1},
              {"routes", std::move(routes)},
              {"services", Json::array()}}
      .dump();
}

std::string RowsAnswerWith(const std::string& config) {
  return Json{{"rows", Json::array({Json{{"table", "op"},
                                         {"part", ""},
                                         {"key", "config"},
                                         {"value", absl::Base64Escape(config)},
                                         {"rowVersion", 7}}})},
              {"rowVersion", 7},
              {"nowMs", 1'000}}
      .dump();
}

/// A store's answer with a configuration is decoded.
void BM_DecodeAnswer(benchmark::State& state) {
  const std::string answer = RowsAnswerWith(ConfigWithRoutes(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(platform::DecodeRows(answer));
  }
  state.counters["bytes"] = static_cast<double>(answer.size());
}

/// A configuration is decoded, and the one before is freed.
void BM_DecodeConfig(benchmark::State& state) {
  const std::string config = ConfigWithRoutes(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(platform::DecodeConfig(config));
  }
  state.counters["bytes"] = static_cast<double>(config.size());
}

BENCHMARK(BM_DecodeAnswer)->Arg(1'400)->Arg(2'800)->Arg(5'600)->Arg(14'000);
BENCHMARK(BM_DecodeConfig)->Arg(1'400)->Arg(2'800)->Arg(5'600)->Arg(14'000);

}  // namespace
}  // namespace yuccapick

BENCHMARK_MAIN();
