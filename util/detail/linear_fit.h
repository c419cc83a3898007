#ifndef YUCCAPICK_UTIL_DETAIL_LINEAR_FIT_H_
#define YUCCAPICK_UTIL_DETAIL_LINEAR_FIT_H_

/// @file
/// Least-squares fit of a line through measured points.

#include <vector>

namespace yuccapick {

/// A size and the value measured at it.
struct FitPoint {
  double size = 0;
  double value = 0;
};

/// A fitted line and its quality.
struct LinearFit {
  double slope = 0;
  double intercept = 0;
  double r2 = 0;  ///< Coefficient of determination.
  /// Relative error of the largest point when predicted from the others.
  double holdout_error = 0;
};

/// Fits a line through at least three points, sorted by size.
LinearFit FitLine(const std::vector<FitPoint>& points);

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_LINEAR_FIT_H_
