/// @file
/// Load generator: sends open-loop streams, unstreamed chats and bookings to
/// routers or stand-in engines and checks every answer.

#include "easylogging++.h"
#include "util/detail/load_options.h"
#include "util/detail/load_report.h"
#include "util/detail/load_run.h"

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv) {
  using namespace yuccapick::load;
  int exit_code = 0;
  const auto options = ParseOptions(argc, argv, exit_code);
  if (!options) return exit_code;
  const Report report = LoadRun(*options).Run();
  if (options->csv) {
    PrintCsv(report, options->figure_prefix);
  } else {
    PrintTable(report);
  }
  PrintProblems(report);
  return report.AllSucceeded() ? 0 : 1;
}
