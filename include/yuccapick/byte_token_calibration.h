#ifndef YUCCAPICK_BYTE_TOKEN_CALIBRATION_H_
#define YUCCAPICK_BYTE_TOKEN_CALIBRATION_H_

/// @file
/// Estimates the number of tokens in a text from its length in bytes. The
/// estimates serve as costs only, never to identify a prefix.

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Estimates tokens per byte for each model from the engines' usage reports.
class ByteTokenCalibration {
 public:
  /// Adds a sample: an engine counted `tokens` tokens in a prompt of `bytes`
  /// bytes. Short prompts and ratios that no tokenizer gives are ignored.
  void Observe(const ModelId& model, std::uint64_t bytes, std::uint64_t tokens);

  /// Returns the expected number of tokens in `bytes` bytes.
  std::uint64_t Tokens(const ModelId& model, std::uint64_t bytes) const;

  /// Returns the estimated tokens per byte of `model`, or a default before its
  /// first sample.
  double TokensPerByte(const ModelId& model) const;

 private:
  absl::flat_hash_map<ModelId, double> tokens_per_byte_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_BYTE_TOKEN_CALIBRATION_H_
