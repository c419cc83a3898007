#include "yuccapick/sha256.h"

#include <openssl/sha.h>

#include <array>

namespace yuccapick {

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  hex.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xf]);
  }
  return hex;
}

}  // namespace yuccapick
