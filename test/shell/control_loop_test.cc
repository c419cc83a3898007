#include "shell/control_loop.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

ControlLoopOptions Options() {
  ControlLoopOptions options;
  options.settings.instance = InstanceId("router-1");
  options.settings.secret = "secret";
  const std::string nowhere = "http://127.0.0.1:1";
  options.settings.platform = {nowhere, nowhere, nowhere};
  return options;
}

TEST_CASE("The control loop stops while platform calls are in flight") {
  for (int i = 0; i < 20; ++i) {
    ControlLoop loop(Options(), [](const ControlEvent&) { return true; });
    loop.Start();
    loop.Read(ReadTable{1, {"config/head"}});
    loop.OnPeerVersion(ConfigVersion(3));
    CHECK(loop.stats().config_version == 0);
  }
}

TEST_CASE("A control loop that never started can be destroyed") {
  ControlLoop loop(Options(), [](const ControlEvent&) { return true; });
  loop.Stop();
  CHECK(loop.stats().table_reads == 0);
}

}  // namespace
}  // namespace yuccapick
