#ifndef YUCCAPICK_SHELL_LINK_AUTH_H_
#define YUCCAPICK_SHELL_LINK_AUTH_H_

/// @file
/// Proof that both ends of a link hold the shared secret, without sending it.

#include <string>
#include <string_view>

namespace yuccapick {

constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kProofBytes = 32;

/// Which end a proof speaks for; a proof of one end is none of the other.
enum class LinkRole { kClient, kServer };

/// Returns fresh random bytes, or nothing if the system has none.
std::string MakeNonce();

/// Returns HMAC-SHA256 under `secret` over the end and both nonces.
std::string MakeProof(std::string_view secret, LinkRole end,
                      std::string_view client_nonce,
                      std::string_view server_nonce);

/// Compares in a time that does not depend on the contents.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_AUTH_H_
