#ifndef YUCCAPICK_TEST_GATEWAY_FAKE_UPSTREAM_H_
#define YUCCAPICK_TEST_GATEWAY_FAKE_UPSTREAM_H_

/// @file
/// An upstream on loopback whose answers a script writes.

#include <asio.hpp>
#include <functional>
#include <string>
#include <vector>

#include "test/gateway/received_request.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {

/// An upstream that calls its script for each complete request.
class FakeUpstream {
 public:
  using Connection = ScriptedServer::Connection;
  using Script = std::function<void(Connection&, const ReceivedRequest&)>;

  FakeUpstream(asio::io_context& loop, std::string id, Script script);

  /// Writes a complete answer with the upstream's seal.
  void Answer(Connection& connection, const ReceivedRequest& request,
              int status, const std::string& body,
              const std::string& more_fields = "") const;
  /// Writes the head of an event stream.
  void BeginStream(Connection& connection,
                   const ReceivedRequest& request) const;
  std::string endpoint() const;
  const std::string& id() const { return id_; }
  /// Callers' requests, without status reports and cache event polls.
  const std::vector<ReceivedRequest>& received() const { return received_; }
  /// Status reports and orders that were asked for.
  std::size_t rollout_calls() const { return rollout_calls_; }
  ScriptedServer& server() { return server_; }

 private:
  void OnInput(Connection& connection);

  std::string id_;
  Script script_;
  std::vector<ReceivedRequest> received_;
  std::size_t rollout_calls_ = 0;
  ScriptedServer server_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_FAKE_UPSTREAM_H_
