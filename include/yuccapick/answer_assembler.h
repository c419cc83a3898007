#ifndef YUCCAPICK_ANSWER_ASSEMBLER_H_
#define YUCCAPICK_ANSWER_ASSEMBLER_H_

/// @file
/// Puts the parts of one answer in order and tells whether it is whole.

#include <cstdint>
#include <string>

#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Checks positions of an answer over all its attempts.
class AnswerAssembler {
 public:
  enum class Verdict : std::uint8_t {
    kDeliver,    ///< The next part: pass it on.
    kDuplicate,  ///< Passed on already: drop it.
    kGap,        ///< Parts before it are missing.
  };

  /// Takes the next part that arrived.
  Verdict Accept(const AnswerChunk& chunk);

  /// True if an answer that ends after `positions` parts is whole.
  bool IsWhole(std::uint64_t positions) const { return positions == next_; }

  /// First position that is still missing.
  std::uint64_t next() const { return next_; }
  /// Text of all parts that were passed on.
  const std::string& text() const { return text_; }

 private:
  std::uint64_t next_ = 0;
  std::string text_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ANSWER_ASSEMBLER_H_
