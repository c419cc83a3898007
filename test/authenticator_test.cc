#include "yuccapick/authenticator.h"

#include <catch2/catch.hpp>

#include "yuccapick/sha256.h"

namespace yuccapick {
namespace {

TEST_CASE("A token authenticates the team that lists its digest") {
  ConfigSnapshot config;
  config.teams = {{TeamId("a"), {Sha256Hex("token-a"), Sha256Hex("old")}, 1.0},
                  {TeamId("b"), {Sha256Hex("token-b")}, 1.0}};
  const Authenticator authenticator(config);
  CHECK(authenticator.Authenticate("token-a") == TeamId("a"));
  CHECK(authenticator.Authenticate("old") == TeamId("a"));
  CHECK(authenticator.Authenticate("token-b") == TeamId("b"));
  CHECK_FALSE(authenticator.Authenticate("token-c").has_value());
  CHECK_FALSE(authenticator.Authenticate("").has_value());
}

TEST_CASE("Sha256Hex returns the lower-case hex digest") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace yuccapick
