#ifndef YUCCAPICK_BYTE_TOKEN_CALIBRATION_H_
#define YUCCAPICK_BYTE_TOKEN_CALIBRATION_H_

/// @file
/// Estimates tokens from bytes. An estimate weighs costs; it never stands in
/// for the identity of a prefix.

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Learns tokens per byte of each model from the engines' usage reports.
class ByteTokenCalibration {
 public:
  /// Takes the engine's token count of a prompt of `bytes` bytes. Counts that
  /// no tokenizer could give are ignored.
  void Learn(const ModelId& model, std::uint64_t bytes, std::uint64_t tokens);

  /// Returns the expected number of tokens in `bytes` bytes.
  std::uint64_t Tokens(const ModelId& model, std::uint64_t bytes) const;

  /// Returns tokens per byte of `model`.
  double TokensPerByte(const ModelId& model) const;

 private:
  absl::flat_hash_map<ModelId, double> tokens_per_byte_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_BYTE_TOKEN_CALIBRATION_H_
