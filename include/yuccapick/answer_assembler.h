#ifndef YUCCAPICK_ANSWER_ASSEMBLER_H_
#define YUCCAPICK_ANSWER_ASSEMBLER_H_

/// @file
/// Checks the order of an answer's parts and whether the answer is complete.

#include <cstdint>
#include <string>

#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Checks the positions of an answer's parts over all attempts.
class AnswerAssembler {
 public:
  enum class Verdict : std::uint8_t {
    kDeliver,    ///< The next part; to be delivered.
    kDuplicate,  ///< Delivered before; to be dropped.
    kGap,        ///< Parts before it are missing.
  };

  /// Checks a part that arrived and, for `kDeliver`, adds its text.
  Verdict Accept(const AnswerChunk& chunk);

  /// True if all parts of an answer of `positions` parts were accepted.
  bool IsWhole(std::uint64_t positions) const { return positions == next_; }

  /// First position that is still missing.
  std::uint64_t next() const { return next_; }
  /// Text of all parts accepted so far.
  const std::string& text() const { return text_; }

 private:
  std::uint64_t next_ = 0;
  std::string text_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ANSWER_ASSEMBLER_H_
