/// @file
/// Updates the tables in docs/CAPACITY.md from the CSV of `capacity_slopes`.

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "easylogging++.h"
#include "util/detail/capacity_model.h"

INITIALIZE_EASYLOGGINGPP

namespace {

constexpr char kUsage[] =
    "Usage: capacity_page --csv FILE --page FILE\n"
    "\n"
    "Replaces the text between the figure markers in the page by tables\n"
    "calculated from the slopes in the CSV.\n";

constexpr std::string_view kBegin = "<!-- begin figures -->\n";
constexpr std::string_view kEnd = "<!-- end figures -->\n";

struct Arguments {
  std::string csv;
  std::string page;
  std::string budgets;
};

bool ParseArguments(int argc, char** argv, Arguments& arguments) {
  static constexpr std::array<option, 5> kOptions{{
      {"csv", required_argument, nullptr, 'c'},
      {"page", required_argument, nullptr, 'p'},
      {"budgets", required_argument, nullptr, 'b'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  }};
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "c:p:b:h", kOptions.data(),
                             nullptr)) != -1) {
    if (flag == 'c') {
      arguments.csv = optarg;
    } else if (flag == 'p') {
      arguments.page = optarg;
    } else if (flag == 'b') {
      arguments.budgets = optarg;
    } else {
      return false;
    }
  }
  return !arguments.csv.empty() && !arguments.page.empty();
}

std::string ReadFile(const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

int Fail(const std::string& message) {
  fmt::print(stderr, "{}\n", message);
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  if (!ParseArguments(argc, argv, arguments)) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  const auto slopes = yuccapick::ParseSlopes(ReadFile(arguments.csv));
  if (!slopes.ok()) return Fail(slopes.status().ToString());
  const auto figures = yuccapick::RenderFigures(*slopes);
  if (!figures.ok()) return Fail(figures.status().ToString());
  const std::string page = ReadFile(arguments.page);
  const std::size_t begin = page.find(kBegin);
  const std::size_t end = page.find(kEnd);
  if (begin == std::string::npos || end == std::string::npos) {
    return Fail(arguments.page + " does not contain the figure markers");
  }
  const auto budgets = yuccapick::RenderBudgets(*slopes);
  if (!budgets.ok()) return Fail(budgets.status().ToString());
  if (!arguments.budgets.empty()) {
    std::ofstream(arguments.budgets) << *budgets;
  }
  std::ofstream(arguments.page)
      << page.substr(0, begin + kBegin.size()) << *figures << page.substr(end);
  return 0;
}
