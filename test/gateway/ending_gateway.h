#ifndef YUCCAPICK_TEST_GATEWAY_ENDING_GATEWAY_H_
#define YUCCAPICK_TEST_GATEWAY_ENDING_GATEWAY_H_

/// @file
/// A gateway that can end without notice.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "gateway/gateway_process.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {

/// A gateway on an event loop of its own, beside the fixture's. Once that loop
/// isn't run any more, it has ended without notice, as far as the others can
/// tell.
class EndingGateway {
 public:
  explicit EndingGateway(GatewayFixture& fixture);

  /// Runs this gateway and the fixture's loop until `done`.
  /// @return false if it wasn't within `kTestTimeout`
  bool RunUntilTrue(const std::function<bool()>& done);
  /// Takes its row out of the store.
  void Unregister();

  asio::io_context& loop() { return loop_; }
  const GatewaySettings& settings() const { return settings_; }

 private:
  GatewayFixture& fixture_;
  asio::io_context loop_;
  GatewaySettings settings_;
  std::unique_ptr<GatewayProcess> process_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_ENDING_GATEWAY_H_
