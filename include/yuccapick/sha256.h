#ifndef YUCCAPICK_SHA256_H_
#define YUCCAPICK_SHA256_H_

/// @file
/// SHA-256 digests.

#include <string>
#include <string_view>

namespace yuccapick {

/// Returns the lower-case hex SHA-256 digest of `text`.
std::string Sha256Hex(std::string_view text);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHA256_H_
