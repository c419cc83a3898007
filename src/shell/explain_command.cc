#include <getopt.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "shell/commands.h"
#include "yuccapick/request_explanation.h"

namespace yuccapick {
namespace {

constexpr const char* kUsage =
    "Usage: yuccapick explain [--log FILE]... ID\n"
    "\n"
    "Prints the log lines of all gateways about the request with attempt id "
    "ID\n"
    "and the caller's other attempts at its stream, in order of time, and "
    "one\n"
    "line with the reason for its outcome.\n"
    "\n"
    "Options:\n"
    "  --log FILE  log of one process; may be repeated; default: standard "
    "input\n"
    "  --help      print this text\n";

void ReadLines(std::istream& in, const std::string& file,
               std::vector<LogLine>& lines) {
  std::string text;
  while (std::getline(in, text)) {
    if (auto line = ParseLogLine(text, file)) lines.push_back(*std::move(line));
  }
}

bool ReadFiles(const std::vector<std::string>& files,
               std::vector<LogLine>& lines) {
  if (files.empty()) ReadLines(std::cin, "", lines);
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      std::fprintf(stderr, "%s cannot be opened; check the path\n",
                   name.c_str());
      return false;
    }
    ReadLines(file, name, lines);
  }
  return true;
}

}  // namespace

int RunExplain(int argc, char** argv) {
  static constexpr std::array<option, 3> kOptions{{
      {"log", required_argument, nullptr, 'l'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  }};
  std::vector<std::string> files;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "l:h", kOptions.data(), nullptr)) !=
         -1) {
    if (flag == 'h') {
      std::fputs(kUsage, stdout);
      return kExitOk;
    }
    if (flag != 'l') {
      std::fputs(kUsage, stderr);
      return kExitUsage;
    }
    files.emplace_back(optarg);
  }
  if (optind + 1 != argc) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  std::vector<LogLine> lines;
  if (!ReadFiles(files, lines)) return kExitFailed;
  const RequestExplanation explanation = ExplainRequest(lines, argv[optind]);
  for (const LogLine& line : explanation.lines) std::puts(line.text.c_str());
  std::puts(explanation.summary.c_str());
  return explanation.lines.empty() ? kExitFailed : kExitOk;
}

}  // namespace yuccapick
