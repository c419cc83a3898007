#include "shell/link_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace yuccapick {

std::string MakeNonce() {
  std::string nonce(kNonceBytes, '\0');
  auto* bytes = reinterpret_cast<unsigned char*>(nonce.data());
  if (RAND_bytes(bytes, kNonceBytes) != 1) return {};
  return nonce;
}

std::string MakeProof(std::string_view secret, LinkRole role,
                      std::string_view client_nonce,
                      std::string_view server_nonce) {
  std::string text = role == LinkRole::kClient ? "yuccapick link client\n"
                                               : "yuccapick link server\n";
  text.append(client_nonce);
  text.append(server_nonce);
  std::string proof(EVP_MAX_MD_SIZE, '\0');
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(proof.data()), &n);
  proof.resize(n);
  return proof;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace yuccapick
