#include <memory>
#include <set>

#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Parts of a prompt are looked for at their owner if they have this many
/// tokens: shorter ones are computed sooner than the owner answers.
constexpr std::uint32_t kMinTokensToFind = 1'024;
/// While weights are replaced, engines have several versions of them. Parts are
/// looked for within this many, the newest first.
constexpr std::size_t kMaxVersionsToFind = 2;

}  // namespace

std::vector<PartChain> ProxiedRequest::ChainsToFind() const {
  if (state_.watches_all_caches) return {};
  std::uint32_t tokens = 0;
  for (const PartKey& key : SharedChain("", query_.parts)) tokens += key.tokens;
  if (tokens < kMinTokensToFind) return {};
  std::set<WeightVersionNumber> versions;
  for (const UpstreamEntry* upstream : state_.roster.Usable(service_)) {
    if (const auto weights = WeightsAt(*upstream)) versions.insert(*weights);
  }
  std::vector<PartChain> chains;
  for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
    if (chains.size() == kMaxVersionsToFind) break;
    chains.push_back(SharedChain(
        admitted_.config->CacheScopeOf(admitted_.team, *it), query_.parts));
  }
  return chains;
}

bool ProxiedRequest::AwaitHolders() {
  const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  const auto on_answer = [weak] {
    const auto self = weak.lock();
    if (self != nullptr) self->OnHoldersLearned();
  };
  for (const PartChain& chain : ChainsToFind()) {
    if (state_.ask_part_owner(chain, on_answer)) ++unanswered_queries_;
  }
  if (unanswered_queries_ == 0) return false;
  holders_asked_at_ = state_.Now();
  timer_.expires_at(*holders_asked_at_ + state_.settings.max_holders_wait);
  timer_.async_wait([weak](const asio::error_code& ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->SendAfterQueries();
  });
  return true;
}

void ProxiedRequest::OnHoldersLearned() {
  if (--unanswered_queries_ == 0) SendAfterQueries();
}

void ProxiedRequest::SendAfterQueries() {
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
  state_.tell_part_owner(
      {last.hash, {upstream, last.tokens, pending, {}, false}, false});
}

void ProxiedRequest::TellExport(const PartChain& chain,
                                const std::string& store) const {
  const auto it = state_.kv_stores.find(store);
  if (it == state_.kv_stores.end()) return;
  if (state_.watches_all_caches) {
    PartChain& exports = it->second.unreported_exports;
    exports.insert(exports.end(), chain.begin(), chain.end());
    return;
  }
  const PartKey& last = chain.back();
  state_.tell_part_owner(
      {last.hash, {UpstreamId(store), last.tokens, false, {}, true}, false});
}

}  // namespace yuccapick
