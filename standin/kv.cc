#include "standin/kv_store.h"
#include "standin/role.h"

namespace yuccapick::standin {
namespace {

/// The deployment's store of kept KV cache.
class KvStore : public Role {
 public:
  void Handle(const Request& request, ResponderPtr responder) override {
    if (request.path == "/kv/export") {
      kept_.Keep(request.Json());
      return responder->SendJson(200, {{"kept", kept_.size()}});
    }
    if (request.path == "/kv/import") {
      const std::uint64_t tokens = kept_.KeptTokens(request.Json());
      return responder->SendJson(tokens > 0 ? 200 : 404, {{"tokens", tokens}});
    }
    if (request.path == "/engine/load") {
      return responder->SendJson(200, {{"boot_id", boot_id_},
                                       {"cached_blocks", kept_.size()},
                                       {"loaded", nlohmann::json::array()}});
    }
    SendNotFound(request, responder);
  }

  void Crash() override {
    kept_.Clear();
    boot_id_ = NewBootId();
  }

 private:
  KvIndex kept_;
  std::string boot_id_ = NewBootId();
};

}  // namespace

std::unique_ptr<Role> MakeKvStore(Context& /*context*/) {
  return std::make_unique<KvStore>();
}

}  // namespace yuccapick::standin
