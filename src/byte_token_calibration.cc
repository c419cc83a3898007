#include "yuccapick/byte_token_calibration.h"

#include <cmath>

namespace yuccapick {
namespace {

/// Used until a model has a sample.
constexpr double kInitialTokensPerByte = 0.25;
/// Ratios outside these bounds are taken for a wrong count.
constexpr double kMinTokensPerByte = 0.02;
constexpr double kMaxTokensPerByte = 1.5;
/// Weight of a new sample.
constexpr double kSmoothing = 0.05;
constexpr std::uint64_t kMinPromptBytes = 256;

}  // namespace

void ByteTokenCalibration::Observe(const ModelId& model, std::uint64_t bytes,
                                   std::uint64_t tokens) {
  if (bytes < kMinPromptBytes) return;
  const double ratio = static_cast<double>(tokens) / static_cast<double>(bytes);
  if (ratio < kMinTokensPerByte || ratio > kMaxTokensPerByte) return;
  auto [it, inserted] = tokens_per_byte_.try_emplace(model, ratio);
  if (!inserted) it->second += kSmoothing * (ratio - it->second);
}

double ByteTokenCalibration::TokensPerByte(const ModelId& model) const {
  const auto it = tokens_per_byte_.find(model);
  return it == tokens_per_byte_.end() ? kInitialTokensPerByte : it->second;
}

std::uint64_t ByteTokenCalibration::Tokens(const ModelId& model,
                                           std::uint64_t bytes) const {
  return static_cast<std::uint64_t>(
      std::llround(TokensPerByte(model) * static_cast<double>(bytes)));
}

}  // namespace yuccapick
