#include "yuccapick/store_generation.h"

namespace yuccapick {

const char* GenerationVerdictName(GenerationVerdict verdict) {
  switch (verdict) {
    case GenerationVerdict::kSame:
      return "same";
    case GenerationVerdict::kNewer:
      return "newer";
    case GenerationVerdict::kLate:
      return "late";
    case GenerationVerdict::kFell:
      return "fell";
    case GenerationVerdict::kMissing:
      return "missing";
    case GenerationVerdict::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

GenerationVerdict StoreGenerations::Judge(const GenerationMark& mark,
                                          StoreGeneration asked_in) const {
  const bool named_before = current_ != StoreGeneration();
  if (!mark.present && named_before) return GenerationVerdict::kMissing;
  if (!mark.present) return GenerationVerdict::kSame;
  if (!mark.generation || *mark.generation > kMaxStoreGeneration) {
    return GenerationVerdict::kUnreadable;
  }
  if (*mark.generation == current_) return GenerationVerdict::kSame;
  if (*mark.generation > current_) return GenerationVerdict::kNewer;
  return *mark.generation < asked_in ? GenerationVerdict::kFell
                                     : GenerationVerdict::kLate;
}

GenerationVerdict StoreGenerations::OnAnswer(const GenerationMark& mark,
                                             StoreGeneration asked_in) {
  const GenerationVerdict verdict = Judge(mark, asked_in);
  switch (verdict) {
    case GenerationVerdict::kNewer:
      current_ = *mark.generation;
      if (known_) ++changes_;
      break;
    case GenerationVerdict::kLate:
      ++late_answers_;
      break;
    case GenerationVerdict::kFell:
    case GenerationVerdict::kMissing:
    case GenerationVerdict::kUnreadable:
      ++unsound_answers_;
      break;
    case GenerationVerdict::kSame:
      break;
  }
  known_ |= IsUsable(verdict);
  return verdict;
}

}  // namespace yuccapick
