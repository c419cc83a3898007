#include <catch2/catch.hpp>
#include <optional>

#include "test/shell/link_pair.h"
#include "test/shell/test_certificate.h"

namespace yuccapick {
namespace {

constexpr std::chrono::seconds kCallTimeout{10};

TEST_CASE("A link over TLS carries calls both ways") {
  const TestCertificate certificate("system");
  LinkPair pair("secret", {}, certificate.SettingsTrusting(certificate));
  REQUIRE(pair.start_status.ok());
  pair.server->HandleCall("echo", [](const std::string& bytes,
                                     const CallDone& done) { done(bytes); });
  REQUIRE(pair.WaitUntilUp());
  const std::string large(1 << 20, 'x');
  std::optional<absl::StatusOr<std::string>> result;
  pair.client->Call("echo", large, kCallTimeout, [&](auto r) { result = r; });
  REQUIRE(RunUntil(pair.loop, [&] { return result.has_value(); }));
  CHECK(result->value() == large);
}

TEST_CASE("A peer without a trusted certificate never gets a link") {
  const TestCertificate ours("system");
  const TestCertificate other("other");
  TlsSettings client_tls;
  SECTION("the client's certificate is not trusted") {
    client_tls = other.SettingsTrusting(ours);
  }
  SECTION("the server's certificate is not trusted") {
    client_tls = ours.SettingsTrusting(other);
  }
  SECTION("the client speaks no TLS") {}
  LinkPair pair("secret", {}, ours.SettingsTrusting(ours), client_tls);
  REQUIRE(RunUntil(pair.loop, [&] { return pair.down_count >= 2; }));
  CHECK_FALSE(pair.client->up());
}

TEST_CASE("The error for unusable TLS settings names the file") {
  const TestCertificate certificate("system");
  TlsSettings settings = certificate.SettingsTrusting(certificate);
  settings.key_file = "/nowhere/key.pem";
  const auto context = MakeTlsContext(settings, LinkRole::kServer);
  REQUIRE_FALSE(context.ok());
  CHECK(context.status().ToString().find("/nowhere/key.pem") !=
        std::string::npos);
  settings = certificate.SettingsTrusting(certificate);
  settings.authority_file.clear();
  CHECK_FALSE(MakeTlsContext(settings, LinkRole::kClient).ok());
}

}  // namespace
}  // namespace yuccapick
