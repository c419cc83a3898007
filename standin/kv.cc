#include "standin/kv_index.h"
#include "standin/role.h"

namespace yuccapick::standin {
namespace {

/// Kept-KV store of the deployment.
class KvStore : public Role {
 public:
  void Handle(const Request& request, ResponderPtr responder) override {
    if (request.path == "/kv/export") {
      index_.Add(request.Json());
      return responder->SendJson(200, {{"kept", index_.size()}});
    }
    if (request.path == "/kv/import") {
      const std::uint64_t tokens = index_.LongestPrefixTokens(request.Json());
      return responder->SendJson(tokens > 0 ? 200 : 404, {{"tokens", tokens}});
    }
    if (request.path == "/engine/load") {
      return responder->SendJson(200, {{"boot_id", boot_id_},
                                       {"cached_blocks", index_.size()},
                                       {"loaded", nlohmann::json::array()}});
    }
    SendNotFound(request, responder);
  }

  void Crash() override {
    index_.Clear();
    boot_id_ = NewBootId();
  }

 private:
  KvIndex index_;
  std::string boot_id_ = NewBootId();
};

}  // namespace

std::unique_ptr<Role> MakeKvStore(Context& /*context*/) {
  return std::make_unique<KvStore>();
}

}  // namespace yuccapick::standin
