#include <catch2/catch.hpp>
#include <optional>

#include "test/shell/link_pair.h"
#include "test/shell/test_certificate.h"

namespace yuccapick {
namespace {

constexpr std::chrono::seconds kCallTimeout{10};

TEST_CASE("A link over TLS carries calls both ways") {
  const TestCertificate certificate("system");
  LinkPair pair("secret", {}, certificate.Trusting(certificate));
  REQUIRE(pair.started.ok());
  pair.server->HandleCall("echo", [](const std::string& bytes,
                                     const CallDone& done) { done(bytes); });
  REQUIRE(pair.WaitUp());
  const std::string large(1 << 20, 'x');
  std::optional<absl::StatusOr<std::string>> result;
  pair.client->Call("echo", large, kCallTimeout, [&](auto r) { result = r; });
  REQUIRE(RunUntil(pair.loop, [&] { return result.has_value(); }));
  CHECK(result->value() == large);
}

TEST_CASE("A peer of another authority never gets a link") {
  const TestCertificate ours("system");
  const TestCertificate other("other");
  TlsSettings client_tls;
  SECTION("the client's certificate is not trusted") {
    client_tls = other.Trusting(ours);
  }
  SECTION("the server's certificate is not trusted") {
    client_tls = ours.Trusting(other);
  }
  SECTION("the client speaks no TLS") {}
  LinkPair pair("secret", {}, ours.Trusting(ours), client_tls);
  REQUIRE(RunUntil(pair.loop, [&] { return pair.downs >= 2; }));
  CHECK_FALSE(pair.client->up());
}

TEST_CASE("TLS settings that cannot be used name the file") {
  const TestCertificate certificate("system");
  TlsSettings settings = certificate.Trusting(certificate);
  settings.key_file = "/nowhere/key.pem";
  const auto context = MakeTlsContext(settings, LinkRole::kServer);
  REQUIRE_FALSE(context.ok());
  CHECK(context.status().ToString().find("/nowhere/key.pem") !=
        std::string::npos);
  settings = certificate.Trusting(certificate);
  settings.authority_file.clear();
  CHECK_FALSE(MakeTlsContext(settings, LinkRole::kClient).ok());
}

}  // namespace
}  // namespace yuccapick
