#include "util/detail/linear_fit.h"

#include <cmath>
#include <cstddef>

namespace yuccapick {
namespace {

struct Line {
  double slope = 0;
  double intercept = 0;

  double At(double size) const { return slope * size + intercept; }
};

/// Least squares with weights 1/size², so that errors relative to the size
/// count equally.
Line LeastSquares(const std::vector<FitPoint>& points, std::size_t count) {
  double sum = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const double x = points[i].size;
    const double y = points[i].value;
    const double weight = 1 / (x * x);
    sum += weight;
    sum_x += weight * x;
    sum_y += weight * y;
    sum_xx += weight * x * x;
    sum_xy += weight * x * y;
  }
  const double divisor = sum * sum_xx - sum_x * sum_x;
  Line line;
  line.slope = (sum * sum_xy - sum_x * sum_y) / divisor;
  line.intercept = (sum_y - line.slope * sum_x) / sum;
  return line;
}

double CoefficientOfDetermination(const std::vector<FitPoint>& points,
                                  const Line& line) {
  double mean = 0;
  for (const FitPoint& point : points) mean += point.value;
  mean /= static_cast<double>(points.size());
  double residual = 0;
  double total = 0;
  for (const FitPoint& point : points) {
    residual += std::pow(point.value - line.At(point.size), 2);
    total += std::pow(point.value - mean, 2);
  }
  return total == 0 ? 1 : 1 - residual / total;
}

}  // namespace

LinearFit FitLine(const std::vector<FitPoint>& points) {
  const Line line = LeastSquares(points, points.size());
  const Line without_largest = LeastSquares(points, points.size() - 1);
  const FitPoint& largest = points.back();
  LinearFit fit;
  fit.slope = line.slope;
  fit.intercept = line.intercept;
  fit.r2 = CoefficientOfDetermination(points, line);
  fit.holdout_error =
      std::abs(without_largest.At(largest.size) - largest.value) /
      largest.value;
  return fit;
}

}  // namespace yuccapick
