#ifndef YUCCAPICK_UTIL_DETAIL_CAPACITY_METER_H_
#define YUCCAPICK_UTIL_DETAIL_CAPACITY_METER_H_

/// @file
/// Measurement helpers and result rows of the capacity measurement.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "util/detail/linear_fit.h"

namespace yuccapick {

/// Measured slope of one resource of one role.
struct SlopeRow {
  std::string slope;
  std::string role;
  std::string unit;
  LinearFit fit;
  std::size_t points = 0;
};

/// Returns the bytes currently allocated on the heap.
std::size_t HeapBytes();

/// Returns the processor time used by this thread.
std::chrono::nanoseconds ThreadCpuTime();

/// Measures at each size and fits a line.
/// @param measure returns the value at one size, in `unit`
SlopeRow MeasureSlope(const std::string& slope, const std::string& role,
                      const std::string& unit,
                      const std::vector<std::size_t>& sizes,
                      const std::function<double(std::size_t)>& measure);

/// Like `MeasureSlope`, for processor time: takes the minimum of several rounds
/// over all sizes, so that a change of the machine's speed affects all sizes
/// alike.
SlopeRow MeasureCpuSlope(const std::string& slope, const std::string& role,
                         const std::string& unit,
                         const std::vector<std::size_t>& sizes,
                         const std::function<double(std::size_t)>& measure);

/// Returns the processor time of `work` in nanoseconds: the minimum of a few
/// runs, to reduce the effect of other processes.
double CpuNanoseconds(const std::function<void()>& work);

/// Measure the slopes of a router, of its state, of an agent and of the control
/// plane: claims and configuration.
std::vector<SlopeRow> MeasureRouter();
std::vector<SlopeRow> MeasureRouterState();
std::vector<SlopeRow> MeasureAgent();
std::vector<SlopeRow> MeasureControl();

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_CAPACITY_METER_H_
