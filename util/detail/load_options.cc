#include "util/detail/load_options.h"

#include <fmt/format.h>

#include <array>
#include <string_view>
#include <utility>

#include "standin/command_line.h"

namespace yuccapick::load {
namespace {

constexpr std::string_view kUsage =
    "Usage: yuccapick_load --target URL [OPTIONS]\n"
    "\n"
    "Sends an open-loop load and compares every answer with the text that\n"
    "the stand-in engines generate. Exit code 0 only if every stream and\n"
    "answer was complete and every booking was executed exactly once.\n"
    "\n"
    "  --target URL             router, or engine with --direct; repeatable\n"
    "  --direct                 the targets are stand-in engines\n"
    "  --team NAME=WEIGHT       repeatable\n"
    "  --streams-per-second N   streamed chats\n"
    "  --whole-per-second N     chats that are not streamed\n"
    "  --bookings-per-second N  non-idempotent calls, each with its own key\n"
    "  --seconds N              (10)\n"
    "  --timeout-ms N           of each request (30000)\n"
    "  --seed N                 (1)\n"
    "  --model NAME             (fen-3b)\n"
    "  --chat-service NAME      default: chosen by the router\n"
    "  --plain-service NAME     (bookings)\n"
    "  --plain-path PATH        (/appointments)\n"
    "  --plain-upstream URL     stand-in that lists executed calls; "
    "repeatable\n"
    "  --max-tokens N           (24)\n"
    "  --guide-bytes N          (8192)\n"
    "  --documents N            per team (16)\n"
    "  --document-bytes N       (4096)\n"
    "  --question-bytes N       (160)\n"
    "  --csv                    print figure,value,unit lines, not a table\n"
    "  --figure-prefix TEXT     prefix of each figure's name\n"
    "  --help                   print this text\n";

struct NumberOption {
  const char* name;
  void (*set)(Options& options, double n);
};

std::chrono::milliseconds Milliseconds(double n) {
  return std::chrono::milliseconds(static_cast<long>(n));
}

constexpr std::array kNumberOptions{
    NumberOption{"streams-per-second",
                 [](Options& o, double n) { o.streams_per_second = n; }},
    NumberOption{"whole-per-second",
                 [](Options& o, double n) { o.whole_per_second = n; }},
    NumberOption{"bookings-per-second",
                 [](Options& o, double n) { o.bookings_per_second = n; }},
    NumberOption{
        "seconds",
        [](Options& o, double n) { o.duration = Milliseconds(n * 1000); }},
    NumberOption{"timeout-ms",
                 [](Options& o, double n) { o.timeout = Milliseconds(n); }},
    NumberOption{"seed", [](Options& o, double n) { o.seed = n; }},
    NumberOption{"max-tokens", [](Options& o, double n) { o.max_tokens = n; }},
    NumberOption{"guide-bytes",
                 [](Options& o, double n) { o.prompt.guide_bytes = n; }},
    NumberOption{"documents",
                 [](Options& o, double n) { o.prompt.documents = n; }},
    NumberOption{"document-bytes",
                 [](Options& o, double n) { o.prompt.document_bytes = n; }},
    NumberOption{"question-bytes",
                 [](Options& o, double n) { o.prompt.question_bytes = n; }},
};

struct TextOption {
  const char* name;
  void (*set)(Options& options, std::string text);
};

constexpr std::array kTextOptions{
    TextOption{
        "target",
        [](Options& o, std::string t) { o.targets.push_back(std::move(t)); }},
    TextOption{"plain-upstream",
               [](Options& o, std::string t) {
                 o.plain_services.push_back(std::move(t));
               }},
    TextOption{"model",
               [](Options& o, std::string t) { o.model = std::move(t); }},
    TextOption{
        "chat-service",
        [](Options& o, std::string t) { o.chat_service = std::move(t); }},
    TextOption{
        "plain-service",
        [](Options& o, std::string t) { o.plain_service = std::move(t); }},
    TextOption{"plain-path",
               [](Options& o, std::string t) { o.plain_path = std::move(t); }},
    TextOption{
        "figure-prefix",
        [](Options& o, std::string t) { o.figure_prefix = std::move(t); }},
};

enum OptionCode : int { kFirstText = 1000, kTeam = 2000, kDirect, kCsv, kHelp };

std::vector<option> LongOptions() {
  std::vector<option> table;
  int code = 0;
  for (const NumberOption& it : kNumberOptions) {
    table.push_back({it.name, required_argument, nullptr, code++});
  }
  code = kFirstText;
  for (const TextOption& it : kTextOptions) {
    table.push_back({it.name, required_argument, nullptr, code++});
  }
  table.push_back({"team", required_argument, nullptr, kTeam});
  table.push_back({"direct", no_argument, nullptr, kDirect});
  table.push_back({"csv", no_argument, nullptr, kCsv});
  table.push_back({"help", no_argument, nullptr, kHelp});
  table.push_back({nullptr, 0, nullptr, 0});
  return table;
}

bool AddTeam(const std::string& text, std::vector<Team>& teams) {
  const std::size_t equals = text.find('=');
  Team team{.name = text.substr(0, equals)};
  if (equals != std::string::npos &&
      !ParseNumber(text.substr(equals + 1), team.weight)) {
    return false;
  }
  teams.push_back(std::move(team));
  return true;
}

bool ApplyOption(int code, const std::string& value, Options& options) {
  if (code == kTeam) return AddTeam(value, options.teams);
  if (code == kDirect) options.direct = true;
  if (code == kCsv) options.csv = true;
  if (code >= kTeam) return true;
  if (code >= kFirstText) {
    kTextOptions.at(code - kFirstText).set(options, value);
    return true;
  }
  double n = 0;
  if (!ParseNumber(value, n)) return false;
  kNumberOptions.at(code).set(options, n);
  return true;
}

}  // namespace

std::optional<Options> ParseOptions(int argc, char** argv, int& exit_code) {
  Options options;
  const CommandLine line{"yuccapick_load", kUsage, LongOptions(), kHelp};
  const auto apply = [&options](int code, const std::string& value) {
    return ApplyOption(code, value, options);
  };
  if (!ReadOptions(line, argc, argv, apply, exit_code)) return std::nullopt;
  if (options.targets.empty()) {
    fmt::print(stderr,
               "yuccapick_load: --target URL is required; see --help\n");
    return std::nullopt;
  }
  if (options.teams.empty()) options.teams.push_back({"demo", 1});
  if (options.prompt.documents == 0) options.prompt.documents = 1;
  return options;
}

}  // namespace yuccapick::load
