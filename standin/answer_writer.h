#ifndef YUCCAPICK_STANDIN_ANSWER_WRITER_H_
#define YUCCAPICK_STANDIN_ANSWER_WRITER_H_

/// @file
/// Writes an engine's answer in OpenAI-compatible format.

#include <cstdint>
#include <string>

#include "standin/engine_model.h"
#include "standin/http_server.h"

namespace yuccapick::standin {

/// Identity and format of an answer.
struct AnswerFormat {
  std::string id;
  std::string model;
  std::string weights;
  bool chat = true;
  bool streamed = true;
  /// Streamed tokens after which the connection is closed, or 0. If it is not
  /// 0, an unstreamed answer is cut in half.
  std::uint64_t truncate_after = 0;
};

/// Writes the tokens of one generation as they become available.
class AnswerWriter {
 public:
  /// @param from position of the first event to write
  AnswerWriter(AnswerFormat format, ResponderPtr responder, std::uint64_t from);

  /// Writes the tokens generated so far. Returns false once the answer has
  /// ended.
  bool Update(const Generation& generation);

 private:
  bool UpdateStream(const Generation& generation);
  void WriteWhole(const Generation& generation);
  std::string TokenEvent(const Generation& generation,
                         std::uint64_t token) const;
  std::string LastEvent(const Generation& generation) const;

  AnswerFormat format_;
  ResponderPtr responder_;
  std::string head_;  ///< JSON fields common to all events.
  std::uint64_t next_position_;
  std::uint64_t written_ = 0;
  bool begun_ = false;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_ANSWER_WRITER_H_
