#ifndef YUCCAPICK_STORE_GENERATION_H_
#define YUCCAPICK_STORE_GENERATION_H_

/// @file
/// Generations of the store. Each time that it comes back from an older copy, a
/// new generation begins, in which row versions are given out again.

#include <compare>
#include <cstdint>
#include <optional>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Zero if the store doesn't name its generation.
using StoreGeneration = NumericId<struct StoreGenerationTag>;

/// Higher numbers count as unreadable, so that fencing tokens can hold all
/// generations.
inline constexpr StoreGeneration kMaxStoreGeneration{(1ULL << 20) - 1};

/// A row version with its generation. Versions of different generations can't
/// be compared; a position in a newer generation is always newer.
struct TablePosition {
  StoreGeneration generation;
  std::uint64_t version = 0;

  auto operator<=>(const TablePosition&) const = default;
};

/// What one answer of the store says about its generation.
struct GenerationMark {
  std::optional<StoreGeneration> generation;  ///< nullopt if not readable.
  bool present = false;

  bool operator==(const GenerationMark&) const = default;
};

/// What follows from an answer's generation.
enum class GenerationVerdict : std::uint8_t {
  kSame,
  kNewer,    ///< What was known of row versions is void.
  kLate,     ///< From an earlier generation; asked for while it lasted.
  kFell,     ///< From an earlier generation; asked for after its end.
  kMissing,  ///< Other answers named a generation.
  kUnreadable,
};

/// Returns the name of the verdict for log lines.
const char* GenerationVerdictName(GenerationVerdict verdict);

/// True if the answer can be used.
constexpr bool IsUsable(GenerationVerdict verdict) {
  return verdict == GenerationVerdict::kSame ||
         verdict == GenerationVerdict::kNewer;
}

/// Keeps the store's newest generation. An answer whose generation isn't sound
/// changes nothing.
class StoreGenerations {
 public:
  // Commands.

  /// @param asked_in `current()` when the call was sent
  GenerationVerdict OnAnswer(const GenerationMark& mark,
                             StoreGeneration asked_in);

  // Queries.

  StoreGeneration current() const { return current_; }
  /// True once an answer was used.
  bool known() const { return known_; }
  /// Changes of the generation after the first answer.
  std::uint64_t changes() const { return changes_; }
  /// Answers of an earlier generation that arrived late.
  std::uint64_t late_answers() const { return late_answers_; }
  /// Answers without a sound generation.
  std::uint64_t unsound_answers() const { return unsound_answers_; }

 private:
  GenerationVerdict Judge(const GenerationMark& mark,
                          StoreGeneration asked_in) const;

  StoreGeneration current_;
  bool known_ = false;
  std::uint64_t changes_ = 0;
  std::uint64_t late_answers_ = 0;
  std::uint64_t unsound_answers_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STORE_GENERATION_H_
