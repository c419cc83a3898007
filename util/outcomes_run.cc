/// @file
/// Runs random schedules with each fault and each pair of faults and prints a
/// CSV of their outcomes. Exits with 1 if a guarantee was violated or a job was
/// not settled.

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "util/detail/limits_run.h"
#include "util/detail/outcome_simulation.h"

namespace yuccapick::outcome {
namespace {

constexpr char kHeader[] =
    "schedule,runs,operations,executed_once,doubled,false_not_run,unknown,"
    "stuck,wrong_answer,incomplete_as_complete";

struct Options {
  std::uint64_t seed = 1;
  std::uint64_t runs = 100;  ///< Per schedule.
  unsigned threads = 10;
  std::string only;  ///< Name of the only schedule to run; empty runs all.
  bool list_violations = false;
  bool limits = false;
};

std::vector<FaultSet> AllSchedules() {
  std::vector<FaultSet> schedules(1);
  for (std::size_t n = 0; n < kFaultCount; ++n) {
    schedules.push_back(FaultSet().set(n));
  }
  for (std::size_t n = 0; n < kFaultCount; ++n) {
    for (std::size_t m = n + 1; m < kFaultCount; ++m) {
      schedules.push_back(FaultSet().set(n).set(m));
    }
  }
  return schedules;
}

constexpr double kClaimRates[] = {30, 100, 300, 1'000};
constexpr std::uint64_t kAmplifiedRequests = 20'000;

/// Prints the effect of one team's load on another, the amplification of an
/// overload by retries, and the cost of claims.
void PrintLimits(std::uint64_t seed) {
  std::puts(
      "large_load,small_first_token_p95_ms,small_answered,large_answered,"
      "refused");
  for (const double load : {1.0, 10.0}) {
    const ShareResult result = RunShares({seed, load});
    fmt::print("{},{:.1f},{},{},{}\n", load,
               static_cast<double>(result.small_first_token_p95.count()) / 1e3,
               result.small_answered, result.large_answered,
               result.small_refused + result.large_refused);
  }
  const AmplificationResult amplification =
      RunAmplification(seed, kAmplifiedRequests);
  fmt::print("requests,attempts,attempts_per_request\n{},{},{:.3f}\n",
             amplification.requests, amplification.attempts,
             static_cast<double>(amplification.attempts) /
                 static_cast<double>(amplification.requests));
  std::puts("operations_per_second,operations_per_table_write,added_p95_ms");
  for (const double rate : kClaimRates) {
    const ClaimCostResult cost = RunClaims(seed, rate);
    fmt::print("{},{:.2f},{:.1f}\n", rate,
               static_cast<double>(cost.operations) /
                   static_cast<double>(cost.table_writes),
               static_cast<double>(cost.added_p95.count()) / 1e3);
  }
}

Options Parse(int argc, char** argv) {
  Options options;
  const option known[] = {{"seed", required_argument, nullptr, 's'},
                          {"runs", required_argument, nullptr, 'r'},
                          {"threads", required_argument, nullptr, 't'},
                          {"only", required_argument, nullptr, 'o'},
                          {"violations", no_argument, nullptr, 'v'},
                          {"limits", no_argument, nullptr, 'l'},
                          {nullptr, 0, nullptr, 0}};
  for (int c = 0; (c = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
    if (c == 's') options.seed = std::strtoull(optarg, nullptr, 10);
    if (c == 'r') options.runs = std::strtoull(optarg, nullptr, 10);
    if (c == 't') options.threads = std::atoi(optarg);
    if (c == 'o') options.only = optarg;
    if (c == 'v') options.list_violations = true;
    if (c == 'l') options.limits = true;
    if (c == '?') std::exit(2);
  }
  return options;
}

OutcomeCounts RunAll(const Options& options, const FaultSet& faults) {
  OutcomeCounts total;
  std::mutex mutex;
  std::atomic<std::uint64_t> next{0};
  const auto work = [&] {
    OutcomeCounts own;
    for (std::uint64_t n = next++; n < options.runs; n = next++) {
      ScheduleOptions schedule;
      schedule.seed = options.seed * 1'000'003 + n;
      schedule.faults = faults;
      const OutcomeCounts counts = RunSchedule(schedule);
      own.Add(counts);
      const bool bad = counts.Violations() + counts.stuck > 0;
      if (options.list_violations && bad) {
        std::fputs(
            fmt::format("{} seed {}\n", FaultSetName(faults), schedule.seed)
                .c_str(),
            stderr);
      }
    }
    const std::lock_guard lock(mutex);
    total.Add(own);
  };
  std::vector<std::thread> threads;
  for (unsigned n = 0; n < options.threads; ++n) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  return total;
}

void Print(const std::string& name, const OutcomeCounts& counts) {
  const std::string line =
      fmt::format("{},{},{},{},{},{},{},{},{},{}\n", name, counts.runs,
                  counts.operations, counts.executed_once, counts.doubled,
                  counts.false_not_run, counts.unknown, counts.stuck,
                  counts.wrong_answer, counts.incomplete_as_complete);
  std::fputs(line.c_str(), stdout);
  std::fflush(stdout);
}

}  // namespace
}  // namespace yuccapick::outcome

int main(int argc, char** argv) {
  namespace oc = yuccapick::outcome;
  const oc::Options options = oc::Parse(argc, argv);
  if (options.limits) {
    oc::PrintLimits(options.seed);
    return 0;
  }
  std::puts(oc::kHeader);
  oc::OutcomeCounts all;
  for (const oc::FaultSet& faults : oc::AllSchedules()) {
    const std::string name = oc::FaultSetName(faults);
    if (!options.only.empty() && name != options.only) continue;
    const oc::OutcomeCounts counts = oc::RunAll(options, faults);
    oc::Print(name, counts);
    all.Add(counts);
  }
  oc::Print("all", all);
  const auto per_write = [&all](std::uint64_t n) {
    const auto writes = std::max<std::uint64_t>(all.table_transactions, 1);
    return static_cast<double>(n) / static_cast<double>(writes);
  };
  const std::string notes = fmt::format(
      "unsafe_use {}, operations per table write {:.2f}, rows per table write "
      "{:.2f}\n",
      all.unsafe_use, per_write(all.operations), per_write(all.table_rows));
  std::fputs(notes.c_str(), stderr);
  return all.Violations() + all.stuck == 0 ? 0 : 1;
}
