#ifndef YUCCAPICK_UTIL_DETAIL_LINEAR_FIT_H_
#define YUCCAPICK_UTIL_DETAIL_LINEAR_FIT_H_

/// @file
/// Least squares through measured points.

#include <vector>

namespace yuccapick {

/// A measured size and what was measured at it.
struct FitPoint {
  double size = 0;
  double value = 0;
};

/// A straight line through points.
struct LinearFit {
  double slope = 0;
  double intercept = 0;
  double r2 = 0;  ///< Share of the variance that the line explains.
  /// Relative error of the largest point as predicted from the others.
  double holdout_error = 0;
};

/// Fits a line. Takes at least three points in order of size.
LinearFit FitLine(const std::vector<FitPoint>& points);

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_LINEAR_FIT_H_
