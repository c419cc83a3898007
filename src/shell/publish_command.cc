#include <fmt/format.h>
#include <getopt.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>

#include "shell/commands.h"
#include "shell/config_directory.h"
#include "shell/publish_run.h"
#include "shell/settings.h"
#include "yuccapick/config_documents.h"
#include "yuccapick/config_parser.h"

namespace yuccapick {
namespace {

constexpr std::string_view kPublishUsage =
    "Usage: yuccapick publish DIR [OPTIONS]\n"
    "       yuccapick publish --roll-forward VERSION [OPTIONS]\n"
    "\n"
    "Checks DIR and puts it into force as the next version.\n"
    "\n"
    "Options:\n"
    "  --settings FILE         take the platform's addresses from a settings "
    "file\n"
    "  --table URL             base URL of the table service\n"
    "  --objects URL           base URL of the object store\n"
    "  --base VERSION          version that DIR is based on; default: the one "
    "in force\n"
    "  --roll-forward VERSION  publish that version's content again as a new "
    "version\n"
    "  --operator NAME         who publishes; default: $USER\n"
    "  --publish-id ID         repeat a publish whose result is unknown\n"
    "  --timeout SECONDS       default 30\n"
    "  --dry-run               print the difference and change nothing\n"
    "  --wait                  wait until every live process has it in force; "
    "needs --settings\n"
    "  --help                  print this text\n";

struct PublishOptions {
  PublishTarget target;
  std::string directory;
  std::string operator_name;
  std::string publish_id;
  std::uint64_t base = 0;
  std::uint64_t restore = 0;
  std::chrono::seconds timeout{30};
  bool dry_run = false;
  bool wait = false;
};

std::string RandomId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(),
                     device());
}

bool ParseNumber(const char* text, std::uint64_t& out) {
  char* end = nullptr;
  out = std::strtoull(text, &end, 10);
  return end != text && *end == '\0';
}

bool ReadSettings(const std::string& file, PublishTarget& target) {
  const auto settings = LoadSettings(file);
  if (!settings.ok()) {
    const std::string text(settings.status().message());
    fmt::print(stderr, "{}\n", text);
    return false;
  }
  target.settings = *settings;
  return true;
}

/// Parses one option. Returns false if its value is invalid.
bool ParseOption(int c, PublishOptions& out) {
  PlatformSettings& platform = out.target.settings.platform;
  std::uint64_t seconds = 0;
  switch (c) {
    case 's':
      return ReadSettings(optarg, out.target);
    case 't':
      platform.table_url = optarg;
      return true;
    case 'o':
      platform.objects_url = optarg;
      return true;
    case 'b':
      return ParseNumber(optarg, out.base);
    case 'r':
      return ParseNumber(optarg, out.restore);
    case 'n':
      out.operator_name = optarg;
      return true;
    case 'p':
      out.publish_id = optarg;
      return true;
    case 'T':
      if (!ParseNumber(optarg, seconds)) return false;
      out.timeout = std::chrono::seconds(seconds);
      return true;
    case 'd':
      out.dry_run = true;
      return true;
    case 'w':
      out.wait = true;
      return true;
    default:
      return false;
  }
}

/// Returns an exit code, or nothing if the command should continue.
std::optional<int> ParseArguments(int argc, char** argv, PublishOptions& out) {
  static const std::array<option, 12> kOptions{{
      {"settings", required_argument, nullptr, 's'},
      {"table", required_argument, nullptr, 't'},
      {"objects", required_argument, nullptr, 'o'},
      {"base", required_argument, nullptr, 'b'},
      {"roll-forward", required_argument, nullptr, 'r'},
      {"operator", required_argument, nullptr, 'n'},
      {"publish-id", required_argument, nullptr, 'p'},
      {"timeout", required_argument, nullptr, 'T'},
      {"dry-run", no_argument, nullptr, 'd'},
      {"wait", no_argument, nullptr, 'w'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  }};
  optind = 1;
  int c = 0;
  while ((c = getopt_long(argc, argv, "h", kOptions.data(), nullptr)) != -1) {
    if (c == 'h') {
      fmt::print("{}", kPublishUsage);
      return kExitOk;
    }
    if (!ParseOption(c, out)) return kExitUsage;
  }
  if (optind < argc) out.directory = argv[optind++];
  const bool one_source = out.directory.empty() != (out.restore == 0);
  const PlatformSettings& platform = out.target.settings.platform;
  const bool has_platform_urls =
      !platform.table_url.empty() && !platform.objects_url.empty();
  const bool can_wait =
      !out.wait || !out.target.settings.platform.instances_url.empty();
  if (optind == argc && one_source && has_platform_urls && can_wait) {
    return std::nullopt;
  }
  fmt::print(stderr, "{}", kPublishUsage);
  return kExitUsage;
}

/// Parses the configuration in the directory and prints every problem.
/// @return nothing if there is a problem
std::optional<ConfigDocuments> ReadDocuments(const std::string& directory) {
  const auto files = ReadConfigDirectory(directory);
  if (!files.ok()) {
    const std::string text(files.status().message());
    fmt::print(stderr, "{}\n", text);
    return std::nullopt;
  }
  const ParsedConfig parsed = ParseConfig(*files);
  for (const ConfigProblem& problem : parsed.problems) {
    fmt::print(stderr, "{}\n", ToString(problem));
  }
  if (!parsed.ok()) return std::nullopt;
  return ToDocuments(parsed.snapshot);
}

void PrintChanges(const PublishResult& result) {
  for (const ConfigChange& change : result.changes) {
    fmt::print("{} {}\n", change.hash.empty() ? "remove" : "set   ",
               change.name);
  }
}

int PrintResult(const PublishResult& result, const std::string& publish_id) {
  switch (result.outcome) {
    case PublishOutcome::kPublished:
      PrintChanges(result);
      fmt::print("published version {}{}\n", result.version.value,
                 result.merged ? ", merged with another operator's" : "");
      return kExitOk;
    case PublishOutcome::kUnchanged:
      fmt::print("unchanged: version {} has this content\n",
                 result.version.value);
      return kExitOk;
    case PublishOutcome::kDryRun:
      PrintChanges(result);
      fmt::print("dry run: would become version {}\n",
                 result.version.value + 1);
      return kExitOk;
    case PublishOutcome::kConflict:
      fmt::print(stderr, "conflict: {}\n", result.message);
      return kExitConflict;
    case PublishOutcome::kUnknown:
      fmt::print(stderr, "unknown: {}\nor repeat with --publish-id {}\n",
                 result.message, publish_id);
      return kExitUnknown;
    case PublishOutcome::kInvalid:
    case PublishOutcome::kUnavailable:
      fmt::print(stderr, "failed: {}\n", result.message);
      return kExitFailed;
  }
  return kExitFailed;
}

}  // namespace

int RunPublish(int argc, char** argv) {
  PublishOptions options;
  const char* user = std::getenv("USER");
  if (user != nullptr) options.operator_name = user;
  if (const auto code = ParseArguments(argc, argv, options)) return *code;
  PublishRequest request;
  if (options.restore == 0) {
    auto documents = ReadDocuments(options.directory);
    if (!documents) return kExitFailed;
    request.documents = *std::move(documents);
  }
  request.publish_id =
      options.publish_id.empty() ? RandomId() : options.publish_id;
  request.operator_name = options.operator_name;
  request.published_at = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  request.base = ConfigVersion(options.base);
  request.restore = ConfigVersion(options.restore);
  request.dry_run = options.dry_run;
  request.deadline = options.timeout;
  request.seed = std::random_device{}();
  const std::string publish_id = request.publish_id;
  const PublishResult result = PublishOnce(options.target, std::move(request));
  const int code = PrintResult(result, publish_id);
  if (code != kExitOk || !options.wait || options.dry_run) return code;
  const InForceResult in_force =
      WaitInForce(options.target, result.version, options.timeout);
  for (const std::string& behind : in_force.behind) {
    fmt::print(stderr, "not in force: {}\n", behind);
  }
  if (!in_force.behind.empty()) return kExitFailed;
  fmt::print("in force at {} processes after {} ms\n", in_force.processes,
             in_force.after.count());
  return kExitOk;
}

}  // namespace yuccapick
