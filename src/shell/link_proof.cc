/// @file
/// How the two ends of a link session prove the secret to each other. The
/// client sends its nonce, the server its own nonce and proof, the client its
/// proof, the server an empty frame.

#include <string>

#include "shell/link_session.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
/// Bounds what a peer that proved nothing can make this process keep.
constexpr std::size_t kMaxProofFrameBytes = 512;

}  // namespace

void LinkSession::BeginProof() {
  client_nonce_ = MakeNonce();
  proof_stream_ = OpenStream(std::string(kProofPath));
  if (client_nonce_.empty() || proof_stream_ == nullptr) return FailProof();
  proof_stream_->reader_ = FrameReader(kMaxProofFrameBytes);
  LinkStreamHandlers handlers;
  handlers.on_frame = [this](LinkMessageType, std::string_view payload) {
    TakeServerProof(*proof_stream_, payload);
    return true;
  };
  proof_stream_->SetHandlers(std::move(handlers));
  proof_stream_->SendFrame(LinkMessageType::kAuth,
                           client_nonce_ + options_.name);
}

void LinkSession::TakeServerProof(LinkStream& stream,
                                  std::string_view payload) {
  if (!server_nonce_.empty()) {
    if (!payload.empty()) return FailProof();
    return BecomeReady();
  }
  const std::size_t least = kNonceBytes + kProofBytes;
  if (payload.size() < least || payload.size() > least + kMaxNameBytes) {
    return FailProof();
  }
  server_nonce_ = payload.substr(0, kNonceBytes);
  peer_name_ = payload.substr(least);
  const std::string wanted = MakeProof(options_.secret, LinkRole::kServer,
                                       client_nonce_, server_nonce_);
  const std::string_view given = payload.substr(kNonceBytes, kProofBytes);
  if (!EqualInConstantTime(wanted, given)) return FailProof();
  stream.SendFrame(LinkMessageType::kAuth,
                   MakeProof(options_.secret, LinkRole::kClient, client_nonce_,
                             server_nonce_));
  stream.Finish();
}

void LinkSession::ExpectClientProof(const LinkStreamPtr& stream) {
  proof_stream_ = stream;
  stream->reader_ = FrameReader(kMaxProofFrameBytes);
  LinkStreamHandlers handlers;
  handlers.on_frame = [this](LinkMessageType, std::string_view payload) {
    TakeClientProof(*proof_stream_, payload);
    return true;
  };
  stream->SetHandlers(std::move(handlers));
}

void LinkSession::TakeClientProof(LinkStream& stream,
                                  std::string_view payload) {
  if (client_nonce_.empty()) {
    server_nonce_ = MakeNonce();
    if (server_nonce_.empty() || payload.size() < kNonceBytes ||
        payload.size() > kNonceBytes + kMaxNameBytes) {
      return FailProof();
    }
    client_nonce_ = payload.substr(0, kNonceBytes);
    peer_name_ = payload.substr(kNonceBytes);
    const std::string proof = MakeProof(options_.secret, LinkRole::kServer,
                                        client_nonce_, server_nonce_);
    stream.SendFrame(LinkMessageType::kAuth,
                     server_nonce_ + proof + options_.name);
    return;
  }
  const std::string wanted = MakeProof(options_.secret, LinkRole::kClient,
                                       client_nonce_, server_nonce_);
  if (ready_ || !EqualInConstantTime(wanted, payload)) return FailProof();
  stream.SendFrame(LinkMessageType::kAuth, "");
  stream.Finish();
  BecomeReady();
}

void LinkSession::BecomeReady() {
  if (ready_) return;
  ready_ = true;
  if (handlers_.on_ready) handlers_.on_ready();
}

void LinkSession::FailProof() {
  Close(
      absl::UnauthenticatedError("peer did not prove the shared secret; give "
                                 "both processes the same one"));
}

}  // namespace yuccapick
