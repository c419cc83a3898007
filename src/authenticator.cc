#include "yuccapick/authenticator.h"

#include <openssl/crypto.h>

#include "yuccapick/sha256.h"

namespace yuccapick {
namespace {

constexpr std::size_t kPrefixCharacters = 8;

}  // namespace

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
