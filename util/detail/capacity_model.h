#ifndef YUCCAPICK_UTIL_DETAIL_CAPACITY_MODEL_H_
#define YUCCAPICK_UTIL_DETAIL_CAPACITY_MODEL_H_

/// @file
/// What each role costs at the two-year size, from measured slopes.

#include <map>
#include <string>

#include "absl/status/statusor.h"

namespace yuccapick {

/// Slopes by `role/slope`.
using Slopes = std::map<std::string, double>;

/// Reads the CSV that `capacity_slopes` prints.
absl::StatusOr<Slopes> ParseSlopes(const std::string& csv);

/// Returns Markdown tables: for each role and resource, every item as slope
/// times size, their sum, the budget and the margin.
absl::StatusOr<std::string> RenderFigures(const Slopes& slopes);

/// Returns a CSV with each budgeted section and the share of its budget.
absl::StatusOr<std::string> RenderBudgets(const Slopes& slopes);

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_CAPACITY_MODEL_H_
