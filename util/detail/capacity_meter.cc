#include "util/detail/capacity_meter.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <limits>

namespace yuccapick {
namespace {

constexpr int kCpuRuns = 2;
constexpr int kCpuRounds = 6;

}  // namespace

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::chrono::nanoseconds ThreadCpuTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

SlopeRow MeasureSlope(const std::string& slope, const std::string& role,
                      const std::string& unit,
                      const std::vector<std::size_t>& sizes,
                      const std::function<double(std::size_t)>& measure) {
  std::vector<FitPoint> points;
  for (const std::size_t size : sizes) {
    points.push_back({static_cast<double>(size), measure(size)});
  }
  return {slope, role, unit, FitLine(points), points.size()};
}

SlopeRow MeasureCpuSlope(const std::string& slope, const std::string& role,
                         const std::string& unit,
                         const std::vector<std::size_t>& sizes,
                         const std::function<double(std::size_t)>& measure) {
  std::vector<FitPoint> points;
  for (const std::size_t size : sizes) {
    points.push_back(
        {static_cast<double>(size), std::numeric_limits<double>::infinity()});
  }
  for (int round = 0; round < kCpuRounds; ++round) {
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      points[i].value = std::min(points[i].value, measure(sizes[i]));
    }
  }
  return {slope, role, unit, FitLine(points), points.size()};
}

double CpuNanoseconds(const std::function<void()>& work) {
  double least = std::numeric_limits<double>::infinity();
  for (int i = 0; i < kCpuRuns; ++i) {
    const std::chrono::nanoseconds begin = ThreadCpuTime();
    work();
    const std::chrono::duration<double, std::nano> used =
        ThreadCpuTime() - begin;
    least = std::min(least, used.count());
  }
  return least;
}

}  // namespace yuccapick
