#ifndef YUCCAPICK_UTIL_DETAIL_CAPACITY_METER_H_
#define YUCCAPICK_UTIL_DETAIL_CAPACITY_METER_H_

/// @file
/// Meters and rows of the capacity measurement.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "util/detail/linear_fit.h"

namespace yuccapick {

/// One slope of one role.
struct SlopeRow {
  std::string slope;
  std::string role;
  std::string unit;
  LinearFit fit;
  std::size_t points = 0;
};

/// Bytes that are allocated on the heap now.
std::size_t HeapBytes();

/// Processor time that this thread has used.
std::chrono::nanoseconds ThreadCpuTime();

/// Measures at each size and fits a line.
/// @param measure returns the value at one size, in `unit`
SlopeRow MeasureSlope(const std::string& slope, const std::string& role,
                      const std::string& unit,
                      const std::vector<std::size_t>& sizes,
                      const std::function<double(std::size_t)>& measure);

/// The same for processor time: takes the least of several rounds over all
/// sizes, so that a change of the machine's speed meets every size alike.
SlopeRow MeasureCpuSlope(const std::string& slope, const std::string& role,
                         const std::string& unit,
                         const std::vector<std::size_t>& sizes,
                         const std::function<double(std::size_t)>& measure);

/// Returns the processor time of `work` in nanoseconds: the least of a few
/// runs, so that other processes' load shows least.
double CpuNanoseconds(const std::function<void()>& work);

/// Rows of the parts inside a router, an agent, and between processes.
std::vector<SlopeRow> MeasureRouter();
std::vector<SlopeRow> MeasureRouterState();
std::vector<SlopeRow> MeasureAgent();
std::vector<SlopeRow> MeasureControl();

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_CAPACITY_METER_H_
