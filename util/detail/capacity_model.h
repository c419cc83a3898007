#ifndef YUCCAPICK_UTIL_DETAIL_CAPACITY_MODEL_H_
#define YUCCAPICK_UTIL_DETAIL_CAPACITY_MODEL_H_

/// @file
/// Resource cost of each role at the size planned for two years, from measured
/// slopes.

#include <map>
#include <string>

#include "absl/status/statusor.h"

namespace yuccapick {

/// Slopes by `role/slope`.
using Slopes = std::map<std::string, double>;

/// Reads the CSV that `capacity_slopes` prints.
absl::StatusOr<Slopes> ParseSlopes(const std::string& csv);

/// Returns Markdown tables per role and resource: each item as slope times
/// size, the sum, the budget and the margin. Fails if `slopes` lacks an item.
absl::StatusOr<std::string> RenderFigures(const Slopes& slopes);

/// Returns a CSV with each section that has a budget and the share of it that
/// is used. Fails if `slopes` lacks an item.
absl::StatusOr<std::string> RenderBudgets(const Slopes& slopes);

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_CAPACITY_MODEL_H_
