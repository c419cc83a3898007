#include "yuccapick/answer_assembler.h"

namespace yuccapick {

AnswerAssembler::Verdict AnswerAssembler::Accept(const AnswerChunk& chunk) {
  if (chunk.position < next_) return Verdict::kDuplicate;
  if (chunk.position > next_) return Verdict::kGap;
  ++next_;
  text_ += chunk.text;
  return Verdict::kDeliver;
}

}  // namespace yuccapick
