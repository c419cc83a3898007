#include "util/detail/capacity_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/str_split.h"

namespace yuccapick {
namespace {

// Deployment size planned for two years.
constexpr double kNodes = 660;
constexpr double kServers = 2'000;
constexpr double kRequestsPerSecond = 17'000;
constexpr double kTokensPerSecond = 6.7e6;
constexpr double kBlocks = 81e6;
constexpr double kCacheEventsPerSecond = 3.1e6;
constexpr double kTeams = 14'000;
constexpr double kChangesPerDay = 1'200;
constexpr double kSecondsPerDay = 86'400;

// Parameters of the design.
constexpr double kServersPerCell = 20;
constexpr double kCells = kServers / kServersPerCell;
constexpr double kRoutersPerCell = kNodes / kCells;
constexpr double kReportsPerSecond = 2;
constexpr double kTokensPerAnswer = kTokensPerSecond / kRequestsPerSecond;
constexpr double kPiecesPerPrompt = 8;
constexpr double kSecondsBetweenTokens = 0.026;
constexpr double kNonIdempotentShare = 0.02;
constexpr double kLabelledTeams = 256;
constexpr double kOperationRetentionSeconds = 3'600;

// Budgets of a node (share of a core, bytes, bytes/s) and of the platform
// (writes/s).
constexpr double kCoreShareBudget = 0.032;
constexpr double kMemoryBudget = 64e6;
constexpr double kNetworkBudget = 28e3;
constexpr double kTableWriteBudget = 300;

constexpr double kRequestsPerRouter = kRequestsPerSecond / kNodes;
constexpr double kTokensPerRouter = kTokensPerSecond / kNodes;
constexpr double kRequestsPerAgent = kRequestsPerSecond / kServers;
constexpr double kTokensPerAgent = kTokensPerSecond / kServers;
constexpr double kStreamsPerRouter =
    kRequestsPerRouter * kTokensPerAnswer * kSecondsBetweenTokens;
constexpr double kOperationsPerSecond =
    kRequestsPerSecond * kNonIdempotentShare;
constexpr double kCacheIndexEntriesPerEngine = 512;
constexpr double kBlocksPerAgent = kBlocks / kServers;
constexpr double kEventsPerAgent = kCacheEventsPerSecond / kServers;
constexpr double kNewEntriesPerReport =
    kRequestsPerAgent * kPiecesPerPrompt / kReportsPerSecond;

/// One cost item: a slope and the size it is multiplied by.
struct Item {
  std::string_view label;
  std::string_view slope;
  double count;
};

/// Items of one role that share a budget.
struct Section {
  std::string_view title;
  std::string_view unit;
  double scale;   ///< Converts the slopes' unit to `unit`.
  double budget;  ///< In `unit`; 0 if there is none.
  std::vector<Item> items;
};

constexpr double kNanosecondsToCoreShare = 1e-9;
constexpr double kBytesToMegabytes = 1e-6;
constexpr double kBytesToKilobytes = 1e-3;

std::vector<Section> RouterSections() {
  return {
      {"Router: control, processor",
       "share of a core",
       kNanosecondsToCoreShare,
       kCoreShareBudget,
       {{"reports of its cell's agents", "router/report_cpu",
         kServersPerCell * kReportsPerSecond},
        {"configuration changes, each rebuilding the snapshot",
         "router/config_apply_cpu", kTeams * kChangesPerDay / kSecondsPerDay},
        {"claims", "router/claim_cpu", kOperationsPerSecond / kNodes}}},
      {"Router: control, memory",
       "MB",
       kBytesToMegabytes,
       kMemoryBudget * kBytesToMegabytes,
       {{"upstreams of its cell", "router/upstream_memory", kServersPerCell},
        {"cache picture of its cell", "router/picture_entry_memory",
         kServersPerCell * kCacheIndexEntriesPerEngine},
        {"teams: configuration and tokens", "router/team_memory", kTeams},
        {"teams with metrics labels", "router/labelled_team_memory",
         kLabelledTeams}}},
      {"Router: control, network",
       "KB/s",
       kBytesToKilobytes,
       kNetworkBudget * kBytesToKilobytes,
       {{"heads of reports", "agent/report_wire",
         kServersPerCell * kReportsPerSecond},
        {"digest entries in reports", "agent/digest_entry_wire",
         kServersPerCell * kReportsPerSecond * kNewEntriesPerReport}}},
      {"Router: control, network, without cells",
       "KB/s",
       kBytesToKilobytes,
       kNetworkBudget * kBytesToKilobytes,
       {{"heads of reports", "agent/report_wire", kServers * kReportsPerSecond},
        {"digest entries in reports", "agent/digest_entry_wire",
         kServers * kReportsPerSecond * kNewEntriesPerReport}}},
      {"Router: traffic, processor of the decisions",
       "share of a core",
       kNanosecondsToCoreShare,
       0,
       {{"requests", "router/request_cpu", kRequestsPerRouter},
        {"tokens", "router/token_cpu", kTokensPerRouter}}},
      {"Router: traffic, memory",
       "MB",
       kBytesToMegabytes,
       0,
       {{"streams in flight", "router/stream_memory", kStreamsPerRouter}}},
  };
}

std::vector<Section> OtherSections() {
  return {
      {"Agent: control, processor",
       "share of a core",
       kNanosecondsToCoreShare,
       kCoreShareBudget,
       {{"cache events", "agent/cache_event_cpu", kEventsPerAgent}}},
      {"Agent: control, memory",
       "MB",
       kBytesToMegabytes,
       kMemoryBudget * kBytesToMegabytes,
       {{"cached blocks", "agent/block_memory", kBlocksPerAgent},
        {"operations remembered", "agent/operation_memory",
         kOperationsPerSecond / kServers * kOperationRetentionSeconds}}},
      {"Agent: control, network",
       "KB/s",
       kBytesToKilobytes,
       kNetworkBudget * kBytesToKilobytes,
       {{"heads of reports to its cell's routers", "agent/report_wire",
         kRoutersPerCell * kReportsPerSecond},
        {"digest entries in reports", "agent/digest_entry_wire",
         kRoutersPerCell * kReportsPerSecond * kNewEntriesPerReport}}},
      {"Agent: traffic, processor of the decisions",
       "share of a core",
       kNanosecondsToCoreShare,
       0,
       {{"attempts", "agent/attempt_cpu", kRequestsPerAgent},
        {"tokens", "agent/token_cpu", kTokensPerAgent}}},
      {"Table: writes by claims, each router on its own",
       "writes/s",
       1,
       kTableWriteBudget,
       {{"claims and answers", "router/lone_claim_commits",
         kOperationsPerSecond}}},
      {"Table: writes by claims, in full groups",
       "writes/s",
       1,
       kTableWriteBudget,
       {{"claims and answers", "router/claim_commits", kOperationsPerSecond}}},
      {"Object store: one configuration",
       "MB",
       kBytesToMegabytes,
       0,
       {{"documents", "store/config_document_size", kTeams}}},
  };
}

std::vector<Section> AllSections() {
  std::vector<Section> all = RouterSections();
  for (Section& section : OtherSections()) all.push_back(std::move(section));
  return all;
}

absl::StatusOr<double> SlopeOf(const Item& item, const Slopes& slopes) {
  const auto it = slopes.find(std::string(item.slope));
  if (it != slopes.end()) return it->second;
  return absl::NotFoundError(fmt::format(
      "the CSV has no slope {}; run scripts/measure.sh capacity", item.slope));
}

absl::StatusOr<double> SumOf(const Section& section, const Slopes& slopes) {
  double sum = 0;
  for (const Item& item : section.items) {
    const absl::StatusOr<double> slope = SlopeOf(item, slopes);
    if (!slope.ok()) return slope.status();
    sum += *slope * item.count * section.scale;
  }
  return sum;
}

void AppendBudget(const Section& section, double sum, std::string& out) {
  if (section.budget == 0) return;
  out += fmt::format("| budget | | | | {:.4g} |\n", section.budget);
  if (sum <= section.budget) {
    out +=
        fmt::format("| margin | | | | {:.3g} times |\n", section.budget / sum);
  } else {
    out += fmt::format("| **over the budget** | | | | **{:.3g} times** |\n",
                       sum / section.budget);
  }
}

absl::Status AppendSection(const Section& section, const Slopes& slopes,
                           std::string& out) {
  out += fmt::format(
      "### {}\n\n| item | slope | value | size | {} |\n"
      "|---|---|---|---|---|\n",
      section.title, section.unit);
  for (const Item& item : section.items) {
    const absl::StatusOr<double> slope = SlopeOf(item, slopes);
    if (!slope.ok()) return slope.status();
    out += fmt::format("| {} | `{}` | {:.4g} | {:.4g} | {:.4g} |\n", item.label,
                       item.slope, *slope, item.count,
                       *slope * item.count * section.scale);
  }
  const absl::StatusOr<double> sum = SumOf(section, slopes);
  if (!sum.ok()) return sum.status();
  out += fmt::format("| **sum** | | | | **{:.4g}** |\n", *sum);
  AppendBudget(section, *sum, out);
  out += "\n";
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Slopes> ParseSlopes(const std::string& csv) {
  Slopes slopes;
  std::istringstream stream(csv);
  std::string line;
  std::getline(stream, line);
  while (std::getline(stream, line)) {
    const std::vector<std::string> fields = absl::StrSplit(line, ',');
    if (fields.size() < 3) {
      return absl::InvalidArgumentError(
          fmt::format("invalid slope row '{}'", line));
    }
    slopes[fields[1] + "/" + fields[0]] =
        std::strtod(fields[2].c_str(), nullptr);
  }
  return slopes;
}

absl::StatusOr<std::string> RenderFigures(const Slopes& slopes) {
  std::string out;
  for (const Section& section : AllSections()) {
    absl::Status status = AppendSection(section, slopes, out);
    if (!status.ok()) return status;
  }
  return out;
}

absl::StatusOr<std::string> RenderBudgets(const Slopes& slopes) {
  std::string out;
  for (const Section& section : AllSections()) {
    if (section.budget == 0) continue;
    const absl::StatusOr<double> sum = SumOf(section, slopes);
    if (!sum.ok()) return sum.status();
    std::string title(section.title);
    std::replace(title.begin(), title.end(), ',', ' ');
    out += fmt::format("{},{:.4g}\n", title, *sum / section.budget);
  }
  return out;
}

}  // namespace yuccapick
