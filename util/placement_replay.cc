/// @file
/// Replays generated traces under several placement policies and prints a CSV.

#include <fmt/format.h>
#include <getopt.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "util/detail/replay_run.h"

namespace yuccapick::replay {
namespace {

struct Options {
  std::vector<std::uint64_t> seeds;
  std::vector<std::string> deployments;
  std::vector<std::string> policies;
  std::vector<std::string> faults;
  std::vector<double> loads;
  std::uint32_t cache_pieces = 0;             ///< 0 keeps the deployment's.
  std::uint32_t routers = 0;                  ///< 0 keeps the deployment's.
  std::chrono::milliseconds report_delay{0};  ///< 0 keeps the deployment's.
  bool show_seed = false;
  bool restart_window = false;
};

constexpr char kUsage[] =
    "usage: placement_replay [--seed N]... [--deployment NAME]... "
    "[--load X]... [--fault NAME]... [--policy NAME]... [--show-seed] "
    "[--restart-window] [--cache-pieces N] [--routers N] "
    "[--report-delay-ms N]\n";

std::uint32_t Count(const char* text) {
  return static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

Deployment DeploymentFor(const Options& options, const std::string& name) {
  Deployment deployment = MakeDeployment(name);
  if (options.cache_pieces > 0) deployment.cache_pieces = options.cache_pieces;
  if (options.routers > 0) deployment.routers = options.routers;
  if (options.report_delay.count() > 0) {
    deployment.report_delay = options.report_delay;
  }
  return deployment;
}

Options ParseOptions(int argc, char** argv) {
  const option kOptions[] = {
      {"seed", required_argument, nullptr, 's'},
      {"deployment", required_argument, nullptr, 'd'},
      {"load", required_argument, nullptr, 'l'},
      {"fault", required_argument, nullptr, 'f'},
      {"policy", required_argument, nullptr, 'p'},
      {"show-seed", no_argument, nullptr, 'S'},
      {"restart-window", no_argument, nullptr, 'r'},
      {"cache-pieces", required_argument, nullptr, 'c'},
      {"routers", required_argument, nullptr, 'n'},
      {"report-delay-ms", required_argument, nullptr, 'm'},
      {nullptr, 0, nullptr, 0},
  };
  Options options;
  for (int c = 0; (c = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    if (c == 's') options.seeds.push_back(std::strtoull(optarg, nullptr, 10));
    if (c == 'd') options.deployments.emplace_back(optarg);
    if (c == 'l') options.loads.push_back(std::strtod(optarg, nullptr));
    if (c == 'f') options.faults.emplace_back(optarg);
    if (c == 'p') options.policies.emplace_back(optarg);
    if (c == 'S') options.show_seed = true;
    if (c == 'r') options.restart_window = true;
    if (c == 'c') options.cache_pieces = Count(optarg);
    if (c == 'n') options.routers = Count(optarg);
    if (c == 'm') {
      options.report_delay = std::chrono::milliseconds(Count(optarg));
    }
    if (c != '?') continue;
    std::fputs(kUsage, stderr);
    std::exit(2);
  }
  if (options.seeds.empty()) options.seeds = {101};
  if (options.deployments.empty()) {
    options.deployments = {"sendetechnik", "kneadwell"};
  }
  if (options.loads.empty()) options.loads = {0.5, 0.8, 1.0, 1.3};
  if (options.faults.empty()) options.faults = FaultNames();
  if (options.policies.empty()) options.policies = PolicyNames();
  return options;
}

Fault ParseFault(const std::string& name) {
  const std::vector<std::string>& names = FaultNames();
  for (std::size_t n = 0; n < names.size(); ++n) {
    if (names[n] == name) return static_cast<Fault>(n);
  }
  std::fputs(kUsage, stderr);
  std::exit(2);
}

void PrintRow(const std::string& head, const Summary& summary) {
  fmt::print("{},{:.4f},{:.1f},{:.1f},{:.1f},{:.4f}\n", head, summary.hit_rate,
             summary.ttft_p50_ms, summary.ttft_p95_ms, summary.ttft_p99_ms,
             summary.wasted_ratio);
}

/// Prints the ten seconds before the fault and the first second after it.
void PrintRestartWindow(const std::string& head,
                        const std::vector<RequestResult>& results) {
  constexpr std::chrono::seconds kSteady{10};
  PrintRow(head + ",steady",
           Summarise(results, kFaultTime - kSteady, kFaultTime));
  PrintRow(
      head + ",first_second",
      Summarise(results, kFaultTime, kFaultTime + std::chrono::seconds(1)));
}

void RunTrace(const Options& options, const Trace& trace, double load,
              std::uint64_t seed) {
  for (const std::string& fault : options.faults) {
    for (const std::string& policy : options.policies) {
      std::string head = fmt::format("{},{},{},{}", trace.deployment.name, load,
                                     fault, policy);
      if (options.show_seed) head = fmt::format("{},{}", seed, head);
      const auto results = Replay(trace, policy, ParseFault(fault), seed);
      if (options.restart_window) {
        PrintRestartWindow(head, results);
      } else {
        PrintRow(head, Summarise(results, kBusyStart, kTraceEnd));
      }
    }
  }
}

}  // namespace
}  // namespace yuccapick::replay

int main(int argc, char** argv) {
  using namespace yuccapick::replay;
  const Options options = ParseOptions(argc, argv);
  fmt::print(
      "{}deployment,load,fault,policy,{}hit_rate,ttft_p50_ms,ttft_p95_ms,"
      "ttft_p99_ms,wasted_ratio\n",
      options.show_seed ? "seed," : "",
      options.restart_window ? "window," : "");
  for (const std::uint64_t seed : options.seeds) {
    for (const std::string& deployment : options.deployments) {
      for (const double load : options.loads) {
        RunTrace(options,
                 MakeTrace(DeploymentFor(options, deployment), load, seed),
                 load, seed);
      }
    }
  }
  return 0;
}
