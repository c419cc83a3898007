#include "yuccapick/authenticator.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace yuccapick {
namespace {

constexpr std::size_t kPrefixCharacters = 8;

}  // namespace

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

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

Authenticator::Authenticator(const ConfigSnapshot& config) {
  for (const TeamConfig& team : config.teams) {
    for (const std::string& digest : team.token_sha256) {
      entries_by_prefix_[digest.substr(0, kPrefixCharacters)].push_back(
          {digest, team.id});
    }
  }
}

std::optional<TeamId> Authenticator::Authenticate(
    std::string_view token) const {
  const std::string digest = Sha256Hex(token);
  auto it = entries_by_prefix_.find(digest.substr(0, kPrefixCharacters));
  if (it == entries_by_prefix_.end()) return std::nullopt;
  for (const Entry& entry : it->second) {
    if (ConstantTimeEqual(entry.digest, digest)) return entry.team;
  }
  return std::nullopt;
}

}  // namespace yuccapick
