#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <string>
#include <string_view>

#include "shell/commands.h"
#include "shell/platform_query.h"
#include "shell/settings.h"
#include "yuccapick/config_documents.h"
#include "yuccapick/config_head.h"

namespace yuccapick {
namespace {

constexpr std::string_view kShowUsage =
    "Usage: yuccapick show WHAT --settings FILE\n"
    "\n"
    "What:\n"
    "  configuration  the documents in force, each as name and JSON\n"
    "  history        every version with its operator and changes\n"
    "  instances      the platform's instance list\n"
    "\n"
    "Options:\n"
    "  --settings FILE  settings with the platform's addresses\n"
    "  --help           print this text\n";

absl::Status ShowConfiguration(PlatformQuery& platform) {
  const auto rows = platform.Read(std::string(kConfigHeadKey));
  if (!rows.ok()) return rows.status();
  if (rows->empty()) {
    return absl::NotFoundError(
        "no configuration is in force; use yuccapick publish");
  }
  const auto head = ParseHead(rows->front().value);
  if (!head.ok()) return head.status();
  const auto bytes = platform.Object(head->index_hash);
  if (!bytes.ok()) return bytes.status();
  const auto index = ParseIndex(*bytes);
  if (!index.ok()) return index.status();
  fmt::print("{} content {}\n", Describe(*head), head->index_hash);
  for (const auto& [name, hash] : *index) {
    const auto content = platform.Object(hash);
    if (!content.ok()) return content.status();
    fmt::print("{} {}\n", name, *content);
  }
  return absl::OkStatus();
}

absl::Status ShowHistory(PlatformQuery& platform) {
  const auto rows = platform.Scan(std::string(kConfigHistoryPrefix));
  if (!rows.ok()) return rows.status();
  for (const TableRow& row : *rows) {
    const auto head = ParseHead(row.value);
    if (!head.ok()) return head.status();
    fmt::print("{} publish_id={} published_at_ms={}", Describe(*head),
               head->publish_id, head->published_at.count());
    if (head->restored.value != 0) {
      fmt::print(" content_of={}", head->restored.value);
    }
    for (const ConfigChange& change : head->changes) {
      fmt::print(" {}{}", change.hash.empty() ? "-" : "", change.name);
    }
    fmt::print("\n");
  }
  return absl::OkStatus();
}

absl::Status ShowInstances(PlatformQuery& platform) {
  const auto list = platform.Instances();
  if (!list.ok()) return list.status();
  for (const InstanceEntry& entry : *list) {
    fmt::print("{} {}:{} domain={} region={} {}\n", entry.id.value, entry.host,
               entry.port, entry.domain.value, entry.region.value,
               entry.leaving ? "leaving" : "live");
  }
  return absl::OkStatus();
}

struct Query {
  std::string_view name;
  absl::Status (*run)(PlatformQuery&);
};

constexpr std::array<Query, 3> kQueries{{
    {"configuration", ShowConfiguration},
    {"history", ShowHistory},
    {"instances", ShowInstances},
}};

int RunQuery(const std::string& what, const std::string& file) {
  const auto settings = LoadSettings(file);
  if (!settings.ok()) {
    const std::string text(settings.status().message());
    fmt::print(stderr, "{}\n", text);
    return kExitUsage;
  }
  for (const Query& query : kQueries) {
    if (query.name != what) continue;
    PlatformQuery platform(settings->platform);
    const absl::Status status = query.run(platform);
    if (status.ok()) return kExitOk;
    fmt::print(stderr, "{}\n", status.ToString());
    return kExitFailed;
  }
  fmt::print(stderr, "{}", kShowUsage);
  return kExitUsage;
}

}  // namespace

int RunShow(int argc, char** argv) {
  static const std::array<option, 3> kOptions{
      {{"settings", required_argument, nullptr, 's'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  std::string file;
  optind = 1;
  int c = 0;
  while ((c = getopt_long(argc, argv, "h", kOptions.data(), nullptr)) != -1) {
    if (c == 'h') {
      fmt::print("{}", kShowUsage);
      return kExitOk;
    }
    if (c != 's') return kExitUsage;
    file = optarg;
  }
  if (optind + 1 != argc || file.empty()) {
    fmt::print(stderr, "{}", kShowUsage);
    return kExitUsage;
  }
  return RunQuery(argv[optind], file);
}

}  // namespace yuccapick
