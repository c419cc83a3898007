/// @file
/// Measures the resource cost of each role per unit of load or size and prints
/// a CSV with one slope per row.

#include <fmt/format.h>

#include <cstdio>

#include "easylogging++.h"
#include "util/detail/capacity_meter.h"

INITIALIZE_EASYLOGGINGPP

namespace {

void Print(const std::vector<yuccapick::SlopeRow>& rows) {
  for (const yuccapick::SlopeRow& row : rows) {
    fmt::print("{},{},{:.6g},{},{:.5f},{},{:.6g},{:.4f}\n", row.slope, row.role,
               row.fit.slope, row.unit, row.fit.r2, row.points,
               row.fit.intercept, row.fit.holdout_error);
    std::fflush(stdout);
  }
}

}  // namespace

int main() {
  fmt::print("slope,role,value,unit,r2,points,intercept,holdout_error\n");
  Print(yuccapick::MeasureRouter());
  Print(yuccapick::MeasureRouterState());
  Print(yuccapick::MeasureAgent());
  Print(yuccapick::MeasureControl());
  return 0;
}
