#include "standin/options.h"

#include <fmt/format.h>

#include <array>
#include <functional>
#include <string_view>

#include "standin/command_line.h"

namespace yuccapick::standin {
namespace {

constexpr std::string_view kUsage =
    "Usage: yuccapick-standin ROLE --listen HOST:PORT [OPTIONS]\n"
    "\n"
    "Roles: engine, plain, kv, platform\n"
    "\n"
    "  --help                            print this text\n"
    "  --listen HOST:PORT                address to serve\n"
    "  --seed N                          seed of random faults\n"
    "engine:\n"
    "  --load MODEL[:ADAPTER]@WEIGHTS    loaded at startup; repeatable\n"
    "  --prefill-tokens-per-second N     0: prefill takes no time (20000)\n"
    "  --token-interval-ms N             between the tokens of a stream (10)\n"
    "  --max-running N                   streams decoded concurrently (256)\n"
    "  --cache-blocks N                  (512)\n"
    "  --block-tokens N                  (4096)\n"
    "  --cache-idle-ms N                 evict idle blocks; 0 keeps them (0)\n"
    "  --load-ms N                       time of a load order, without fetch "
    "(400)\n"
    "  --check-fence                     refuse orders with a stale fence\n"
    "  --weights HOST:PORT               weight store to fetch weights from\n"
    "  --engine-role NAME                (mixed)\n"
    "plain:\n"
    "  --work-ms N                       duration of a call (5)\n"
    "platform:\n"
    "  --latency-ms N                    of table and object calls (2)\n"
    "  --writes-per-second N             0 is unlimited (500)\n"
    "  --reads-per-second N              0 is unlimited (2000)\n"
    "  --weights-ms N                    duration of a weight fetch (400)\n";

/// Splits `HOST:PORT`.
bool ParseAddress(std::string_view text, std::string& host,
                  std::uint16_t& port) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  host = text.substr(0, colon);
  const std::string digits(text.substr(colon + 1));
  char* end = nullptr;
  const unsigned long n = std::strtoul(digits.c_str(), &end, 10);
  if (digits.empty() || *end != '\0' || n == 0 || n > 65535) return false;
  port = static_cast<std::uint16_t>(n);
  return true;
}

/// Splits `MODEL[:ADAPTER]@WEIGHTS`.
bool ParseWeights(std::string_view text, std::vector<Weights>& loaded) {
  const std::size_t at = text.rfind('@');
  if (at == std::string_view::npos) return false;
  const std::string_view name = text.substr(0, at);
  const std::size_t colon = name.find(':');
  Weights weights;
  weights.model = name.substr(0, colon);
  if (colon != std::string_view::npos) weights.adapter = name.substr(colon + 1);
  weights.version = text.substr(at + 1);
  loaded.push_back(weights);
  return !weights.model.empty() && !weights.version.empty();
}

std::chrono::milliseconds Milliseconds(double n) {
  return std::chrono::milliseconds(static_cast<long>(n));
}

/// An option whose value is a number.
struct NumberOption {
  const char* name;
  void (*set)(Options& options, double n);
};

constexpr std::array kNumberOptions{
    NumberOption{"seed", [](Options& o, double n) { o.seed = n; }},
    NumberOption{"prefill-tokens-per-second",
                 [](Options& o, double n) { o.prefill_tokens_per_second = n; }},
    NumberOption{"token-interval-ms",
                 [](Options& o, double n) {
                   o.token_interval =
                       std::chrono::microseconds(static_cast<long>(n * 1000));
                 }},
    NumberOption{"max-running",
                 [](Options& o, double n) { o.max_running = n; }},
    NumberOption{"cache-blocks",
                 [](Options& o, double n) { o.cache_blocks = n; }},
    NumberOption{"block-tokens",
                 [](Options& o, double n) { o.block_tokens = n; }},
    NumberOption{"cache-idle-ms",
                 [](Options& o, double n) { o.cache_idle = Milliseconds(n); }},
    NumberOption{"load-ms",
                 [](Options& o, double n) { o.load_time = Milliseconds(n); }},
    NumberOption{"work-ms",
                 [](Options& o, double n) { o.work_time = Milliseconds(n); }},
    NumberOption{"latency-ms",
                 [](Options& o, double n) { o.latency = Milliseconds(n); }},
    NumberOption{"writes-per-second",
                 [](Options& o, double n) { o.writes_per_second = n; }},
    NumberOption{"reads-per-second",
                 [](Options& o, double n) { o.reads_per_second = n; }},
    NumberOption{
        "weights-ms",
        [](Options& o, double n) { o.weights_time = Milliseconds(n); }},
};

/// Codes of the options that do not take a number, after those that do.
enum TextOption : int {
  kListen = 1000,
  kLoad,
  kWeights,
  kEngineRole,
  kCheckFence,
  kHelp
};

std::vector<option> LongOptions() {
  std::vector<option> table;
  int index = 0;
  for (const NumberOption& number : kNumberOptions) {
    table.push_back({number.name, required_argument, nullptr, index++});
  }
  table.push_back({"listen", required_argument, nullptr, kListen});
  table.push_back({"load", required_argument, nullptr, kLoad});
  table.push_back({"weights", required_argument, nullptr, kWeights});
  table.push_back({"engine-role", required_argument, nullptr, kEngineRole});
  table.push_back({"check-fence", no_argument, nullptr, kCheckFence});
  table.push_back({"help", no_argument, nullptr, kHelp});
  table.push_back({nullptr, 0, nullptr, 0});
  return table;
}

/// Applies one option.
/// @return false if its value is invalid
bool ApplyOption(int code, const std::string& value, Options& options) {
  switch (code) {
    case kListen:
      return ParseAddress(value, options.host, options.port);
    case kLoad:
      return ParseWeights(value, options.loaded);
    case kWeights:
      return ParseAddress(value, options.weights_host, options.weights_port);
    case kEngineRole:
      options.engine_role = value;
      return true;
    case kCheckFence:
      options.check_fence = true;
      return true;
    default:
      break;
  }
  double n = 0;
  if (code < 0 || code >= static_cast<int>(kNumberOptions.size())) return false;
  if (!ParseNumber(value, n)) return false;
  kNumberOptions.at(code).set(options, n);
  return true;
}

std::string OptionError(const Options& options) {
  const std::string& role = options.role;
  const bool known =
      role == "engine" || role == "plain" || role == "kv" || role == "platform";
  if (!known) return "role must be engine, plain, kv or platform";
  if (options.port == 0) return "--listen HOST:PORT is required";
  if (options.block_tokens == 0) return "--block-tokens must be above 0";
  return "";
}

}  // namespace

std::optional<Options> ParseOptions(int argc, char** argv, int& exit_code) {
  Options options;
  const CommandLine line{"yuccapick-standin", kUsage, LongOptions(), kHelp};
  const auto apply = [&options](int code, const std::string& value) {
    return ApplyOption(code, value, options);
  };
  if (!ReadOptions(line, argc, argv, apply, exit_code)) return std::nullopt;
  if (optind < argc) options.role = argv[optind];
  const std::string error = OptionError(options);
  if (error.empty()) return options;
  fmt::print(stderr, "yuccapick-standin: {}; see --help\n", error);
  return std::nullopt;
}

}  // namespace yuccapick::standin
