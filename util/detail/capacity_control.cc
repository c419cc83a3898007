#include <fmt/format.h>

#include <algorithm>

#include "util/detail/capacity_meter.h"
#include "util/detail/capacity_samples.h"
#include "yuccapick/claim_ledger.h"
#include "yuccapick/config_documents.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kClaimGroupSize = 64;

TimePoint Start() { return TimePoint(std::chrono::hours(1)); }

OperationId Operation(std::size_t index) {
  return {TeamId("team-1"), ServiceId("bookings"),
          IdempotencyKey(fmt::format("key-{}", index))};
}

/// Claims operations and records their results. The table applies every commit,
/// and a commit is attempted every 10 ms.
class SampleClaims {
 public:
  std::size_t Run(std::size_t operations) {
    std::size_t commits = 0;
    for (std::size_t done = 0; done < operations; done += kClaimGroupSize) {
      commits += RunGroup(std::min(kClaimGroupSize, operations - done));
    }
    return commits;
  }

 private:
  std::size_t RunGroup(std::size_t operations) {
    for (std::size_t i = 0; i < operations; ++i) {
      ledger_.Claim(Operation(next_++), "digest",
                    {UpstreamId("records-1"), Incarnation(1)}, now_);
    }
    return CommitAll();
  }

  std::size_t CommitAll() {
    std::size_t commits = 0;
    while (ledger_.pending() > 0) {
      now_ += milliseconds(10);
      auto commit = ledger_.NextCommit(now_);
      if (!commit.has_value()) continue;
      ++commits;
      ledger_.OnCommitted(commit->command, {WriteResult::kApplied, {}}, now_);
      Finish();
    }
    return commits;
  }

  void Finish() {
    for (const ClaimEvent& event : ledger_.TakeEvents()) {
      if (const auto* acquired = std::get_if<ClaimAcquired>(&event)) {
        ledger_.Record(acquired->id, {200, {}, {"{}"}, true, false});
        ledger_.Forget(acquired->id);
      }
    }
  }

  ClaimLedger ledger_{{"router-1/1", {}, {}}};
  TimePoint now_ = Start();
  std::size_t next_ = 0;
};

double ClaimCost(std::size_t operations) {
  SampleClaims claims;
  return CpuNanoseconds([&] { static_cast<void>(claims.Run(operations)); });
}

double ClaimCommits(std::size_t operations) {
  SampleClaims claims;
  return static_cast<double>(claims.Run(operations));
}

/// Returns the commits of operations that arrive one at a time, as at one of
/// many routers.
double SingleClaimCommits(std::size_t operations) {
  SampleClaims claims;
  std::size_t commits = 0;
  for (std::size_t i = 0; i < operations; ++i) commits += claims.Run(1);
  return static_cast<double>(commits);
}

double ApplyConfigCost(std::size_t teams) {
  const ConfigDocuments documents = ToDocuments(*SampleConfig(teams));
  return CpuNanoseconds([&] {
    const auto snapshot = FromDocuments(documents.index, documents.contents);
    if (!snapshot.ok()) std::abort();
  });
}

double IndexBytes(std::size_t teams) {
  return static_cast<double>(
      SerialiseIndex(ToDocuments(*SampleConfig(teams)).index).size());
}

double DocumentBytes(std::size_t teams) {
  double total = 0;
  for (const auto& [hash, content] :
       ToDocuments(*SampleConfig(teams)).contents) {
    total += static_cast<double>(content.size());
  }
  return total;
}

}  // namespace

std::vector<SlopeRow> MeasureControl() {
  return {
      MeasureCpuSlope("claim_cpu", "router", "ns/operation",
                      {1'000, 2'000, 4'000, 8'000}, ClaimCost),
      MeasureSlope("claim_commits", "router", "commits/operation",
                   {512, 1'024, 2'048, 4'096}, ClaimCommits),
      MeasureSlope("lone_claim_commits", "router", "commits/operation",
                   {64, 128, 256, 512}, SingleClaimCommits),
      MeasureCpuSlope("config_apply_cpu", "router", "ns/team",
                      {1'750, 3'500, 7'000, 14'000}, ApplyConfigCost),
      MeasureSlope("config_index_size", "store", "bytes/team",
                   {1'750, 3'500, 7'000, 14'000}, IndexBytes),
      MeasureSlope("config_document_size", "store", "bytes/team",
                   {1'750, 3'500, 7'000, 14'000}, DocumentBytes),
  };
}

}  // namespace yuccapick
