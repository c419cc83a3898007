#ifndef YUCCAPICK_SHELL_LINK_AUTH_H_
#define YUCCAPICK_SHELL_LINK_AUTH_H_

/// @file
/// Challenge-response proof that both ends of a link hold the shared secret,
/// which is never sent.

#include <string>
#include <string_view>

namespace yuccapick {

constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kProofBytes = 32;

/// End of a link. It is part of the proof, so that a proof made by one end is
/// not valid for the other.
enum class LinkRole { kClient, kServer };

/// Returns `kNonceBytes` random bytes, or an empty string if the random number
/// generator fails.
std::string MakeNonce();

/// Returns HMAC-SHA256 under `secret` over the role and both nonces.
std::string MakeProof(std::string_view secret, LinkRole role,
                      std::string_view client_nonce,
                      std::string_view server_nonce);

/// Compares in time that depends on the sizes only, not on the contents.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_AUTH_H_
