/// @file
/// Mutual authentication of a link session by the shared secret. The client
/// sends its nonce, the server its own nonce and proof, the client its proof,
/// and the server confirms with an empty frame.

#include <string>

#include "shell/link_session.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
/// Limits the memory that an unauthenticated peer can make this process use.
constexpr std::size_t kMaxAuthFrameBytes = 512;

}  // namespace

void LinkSession::StartAuth() {
  client_nonce_ = MakeNonce();
  auth_stream_ = OpenStream(std::string(kAuthPath));
  if (client_nonce_.empty() || auth_stream_ == nullptr) return FailAuth();
  auth_stream_->reader_ = FrameReader(kMaxAuthFrameBytes);
  LinkStreamHandlers handlers;
  handlers.on_frame = [this](LinkMessageType, std::string_view payload) {
    OnServerAuthFrame(*auth_stream_, payload);
    return true;
  };
  auth_stream_->SetHandlers(std::move(handlers));
  auth_stream_->SendFrame(LinkMessageType::kAuth,
                          client_nonce_ + options_.name);
}

void LinkSession::OnServerAuthFrame(LinkStream& stream,
                                    std::string_view payload) {
  if (!server_nonce_.empty()) {
    if (!payload.empty()) return FailAuth();
    return BecomeReady();
  }
  const std::size_t min_size = kNonceBytes + kProofBytes;
  if (payload.size() < min_size || payload.size() > min_size + kMaxNameBytes) {
    return FailAuth();
  }
  server_nonce_ = payload.substr(0, kNonceBytes);
  peer_name_ = payload.substr(min_size);
  const std::string expected = MakeProof(options_.secret, LinkRole::kServer,
                                         client_nonce_, server_nonce_);
  const std::string_view received = payload.substr(kNonceBytes, kProofBytes);
  if (!EqualInConstantTime(expected, received)) return FailAuth();
  stream.SendFrame(LinkMessageType::kAuth,
                   MakeProof(options_.secret, LinkRole::kClient, client_nonce_,
                             server_nonce_));
  stream.Finish();
}

void LinkSession::AwaitClientProof(const LinkStreamPtr& stream) {
  auth_stream_ = stream;
  stream->reader_ = FrameReader(kMaxAuthFrameBytes);
  LinkStreamHandlers handlers;
  handlers.on_frame = [this](LinkMessageType, std::string_view payload) {
    OnClientAuthFrame(*auth_stream_, payload);
    return true;
  };
  stream->SetHandlers(std::move(handlers));
}

void LinkSession::OnClientAuthFrame(LinkStream& stream,
                                    std::string_view payload) {
  if (client_nonce_.empty()) {
    server_nonce_ = MakeNonce();
    if (server_nonce_.empty() || payload.size() < kNonceBytes ||
        payload.size() > kNonceBytes + kMaxNameBytes) {
      return FailAuth();
    }
    client_nonce_ = payload.substr(0, kNonceBytes);
    peer_name_ = payload.substr(kNonceBytes);
    const std::string proof = MakeProof(options_.secret, LinkRole::kServer,
                                        client_nonce_, server_nonce_);
    stream.SendFrame(LinkMessageType::kAuth,
                     server_nonce_ + proof + options_.name);
    return;
  }
  const std::string expected = MakeProof(options_.secret, LinkRole::kClient,
                                         client_nonce_, server_nonce_);
  if (ready_ || !EqualInConstantTime(expected, payload)) return FailAuth();
  stream.SendFrame(LinkMessageType::kAuth, "");
  stream.Finish();
  BecomeReady();
}

void LinkSession::BecomeReady() {
  if (ready_) return;
  ready_ = true;
  if (handlers_.on_ready) handlers_.on_ready();
}

void LinkSession::FailAuth() {
  Close(
      absl::UnauthenticatedError("peer did not prove the shared secret; give "
                                 "both processes the same secret"));
}

}  // namespace yuccapick
