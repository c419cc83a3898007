#include <fmt/format.h>

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "gateway/gateway_state.h"

namespace yuccapick {
namespace {

constexpr int kDocuments = 200;
const std::string kFirst = "10.0.1.1:80";
const std::string kSecond = "10.0.2.1:80";

GatewayService KvStore(const std::string& endpoint) {
  GatewayService store;
  store.id = ServiceId(endpoint);
  store.kv_store_endpoint = endpoint;
  return store;
}

std::vector<PromptPart> Prompt(int document) {
  return {{"guide", 2'500}, {fmt::to_string(document), 3'800}, {"own", 700}};
}

/// A gateway's state with two KV stores.
struct TwoKvStores {
  TwoKvStores() : state(loop, {}) { Configure({kFirst, kSecond}); }

  void Configure(const std::vector<std::string>& endpoints) {
    std::vector<GatewayService> services;
    for (const std::string& it : endpoints) services.push_back(KvStore(it));
    state.config = std::make_shared<const GatewayConfig>(
        ConfigVersion(1), std::vector<GatewayRoute>(), services,
        AccessControl::kNone, std::vector<GatewayTeam>(), CallerLimits());
    state.ListKvStores();
  }

  std::map<std::string, int> Chosen() const {
    std::map<std::string, int> chosen;
    for (int i = 0; i < kDocuments; ++i) ++chosen[state.KvStoreFor(Prompt(i))];
    return chosen;
  }

  asio::io_context loop;
  GatewayState state;
};

TEST_CASE("Prompts are spread over all KV stores, by all gateways alike") {
  const TwoKvStores one;
  const TwoKvStores another;
  CHECK(one.Chosen()[kFirst] > kDocuments / 3);
  CHECK(one.Chosen()[kSecond] > kDocuments / 3);
  for (int i = 0; i < kDocuments; ++i) {
    CHECK(one.state.KvStoreFor(Prompt(i)) ==
          another.state.KvStoreFor(Prompt(i)));
  }
}

TEST_CASE("While a KV store does not answer the others get its prompts") {
  TwoKvStores stores;
  stores.state.kv_stores[kFirst].usable = false;
  CHECK(stores.Chosen()[kSecond] == kDocuments);
  stores.state.kv_stores[kSecond].usable = false;
  CHECK(stores.Chosen()[""] == kDocuments);
}

TEST_CASE("A new configuration keeps what is known of its KV stores") {
  TwoKvStores stores;
  stores.state.kv_stores[kFirst].usable = false;
  stores.Configure({kFirst});
  CHECK(stores.state.kv_stores.size() == 1);
  CHECK_FALSE(stores.state.kv_stores[kFirst].usable);
}

TEST_CASE("A prompt without shared parts has no KV store") {
  const TwoKvStores stores;
  CHECK(stores.state.KvStoreFor({}).empty());
  CHECK(stores.state.KvStoreFor({{"own", 700}}).empty());
}

}  // namespace
}  // namespace yuccapick
