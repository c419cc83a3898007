#include <algorithm>
#include <memory>

#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Parts of a prompt are looked for at their owner if they have this many
/// tokens: shorter ones are computed sooner than the owner answers.
constexpr std::uint32_t kMinTokensToFind = 1'024;
/// How long a request waits for the owner's answer.
constexpr milliseconds kMaxHoldersWait{15};

}  // namespace

PartChain ProxiedRequest::ChainToFind() const {
  if (state_.watches_all_caches) return {};
  if (admitted_.route->kind != RouteKind::kStreaming) return {};
  std::optional<WeightVersionNumber> newest;
  for (const UpstreamEntry* upstream : state_.roster.Usable(service_)) {
    newest = std::max(newest, WeightsAt(*upstream));
  }
  if (!newest) return {};
  PartChain chain = SharedChain(
      admitted_.config->CacheScopeOf(admitted_.team, *newest), query_.parts);
  std::uint32_t tokens = 0;
  for (const PartKey& key : chain) tokens += key.tokens;
  if (tokens < kMinTokensToFind) return {};
  return chain;
}

bool ProxiedRequest::AwaitHolders() {
  const PartChain chain = ChainToFind();
  if (chain.empty()) return false;
  const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  const auto go_on = [weak] {
    if (const auto self = weak.lock()) self->OnHoldersAwaited();
  };
  if (!state_.ask_part_owner(chain, go_on)) return false;
  holders_asked_at_ = state_.Now();
  timer_.expires_at(*holders_asked_at_ + kMaxHoldersWait);
  timer_.async_wait([go_on](const asio::error_code& ec) {
    if (!ec) go_on();
  });
  return true;
}

void ProxiedRequest::OnHoldersAwaited() {
  if (done_ || !holders_asked_at_) return;
  holders_wait_ = std::chrono::duration_cast<milliseconds>(state_.Now() -
                                                           *holders_asked_at_);
  holders_asked_at_.reset();
  timer_.cancel();
  TrySend();
}

void ProxiedRequest::TellPartOwner(const PartChain& chain,
                                   const UpstreamId& upstream,
                                   bool pending) const {
  if (state_.watches_all_caches || chain.empty()) return;
  std::uint32_t tokens = 0;
  for (const PartKey& key : chain) tokens += key.tokens;
  if (tokens < kMinTokensToFind) return;
  const PartKey& last = chain.back();
  state_.tell_part_owner({last.hash, {upstream, last.tokens, pending, {}}});
}

}  // namespace yuccapick
