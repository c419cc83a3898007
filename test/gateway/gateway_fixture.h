#ifndef YUCCAPICK_TEST_GATEWAY_GATEWAY_FIXTURE_H_
#define YUCCAPICK_TEST_GATEWAY_GATEWAY_FIXTURE_H_

/// @file
/// Runs a gateway on loopback with a scripted store and scripted upstreams.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_process.h"
#include "test/gateway/fake_store.h"
#include "test/gateway/fake_upstream.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {

/// A caller's connection, closed by the destructor.
class FakeCaller {
 public:
  FakeCaller(asio::io_context& loop, const std::string& endpoint);
  ~FakeCaller() { Close(); }
  FakeCaller(const FakeCaller&) = delete;
  FakeCaller& operator=(const FakeCaller&) = delete;

  void Send(const std::string& bytes);
  /// Sends bytes of any number while the loop runs.
  void SendWhileRunning(std::string bytes);
  void Close();

  const std::string& input() const { return connection_->input; }
  bool closed() const { return connection_->closed; }

 private:
  /// Outlives the caller while a read is pending.
  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(asio::io_context& loop) : socket(loop) {}
    void Read();

    asio::ip::tcp::socket socket;
    std::array<char, 4096> buf{};
    std::string input;
    bool closed = false;
  };

  std::shared_ptr<Connection> connection_;
};

/// A gateway with its store and settings, on free ports.
class GatewayFixture {
 public:
  GatewayFixture();
  ~GatewayFixture();

  /// Puts an upstream's row into the store.
  void Register(const FakeUpstream& upstream, const std::string& service,
                const std::string& state = "ready");
  /// Puts a row with another id and the upstream's address, as a restart under
  /// a new id leaves it.
  void RegisterAs(const std::string& id, const FakeUpstream& upstream,
                  const std::string& service);
  /// Puts the row of an incarnation of an upstream.
  /// @param born start of the incarnation
  void RegisterRun(const FakeUpstream& upstream, const std::string& service,
                   int born);
  /// Puts the row of an upstream that runs a software version.
  void RegisterSoftware(const FakeUpstream& upstream,
                        const std::string& service, const std::string& software,
                        const std::string& domain = "here");
  /// Puts the row of an engine that has loaded `weights` of the model "m".
  /// @param born start of the engine's incarnation
  void RegisterEngine(const FakeUpstream& upstream, int weights, int born = 1);
  /// @param key of the team "moor"
  void PutConfig(std::uint64_t version, const std::string& routes,
                 const std::string& key = "key-moor");
  /// Sets the target weights of the model "m".
  void PutTargetWeights(int weights);
  void Start();
  /// Starts a second gateway and waits until the two know each other.
  void StartPeer();
  /// Starts a third gateway.
  void StartLate();
  /// Sends a request to the first gateway on a new connection.
  /// @return the bytes received until the answer ends or the connection closes
  std::string Ask(const std::string& request);
  std::string AskPeer(const std::string& request);
  std::string AskLate(const std::string& request);
  bool RunUntilTrue(const std::function<bool()>& done) {
    return RunUntil(loop, done);
  }
  /// Makes the store silent for `duration`: it loses all open long polls.
  void SilenceStore(std::chrono::milliseconds duration);
  /// Runs the loop for `duration`.
  void Run(std::chrono::milliseconds duration);
  bool PeerHasMetric(const std::string& line) {
    return HasMetric(peer_settings, line);
  }
  bool IsReady() { return IsReady(settings); }
  /// Waits until every gateway lists `n` upstreams.
  /// @return false if they did not within `kTestTimeout`
  bool AwaitListed(std::size_t n);

  /// True if the gateway's metrics page has this line.
  bool HasMetric(const GatewaySettings& of, const std::string& line);

  asio::io_context loop;
  FakeStore store;
  GatewaySettings settings;
  GatewaySettings peer_settings;  ///< Set by `StartPeer`.
  GatewaySettings late_settings;  ///< Set by `StartLate`.
  std::unique_ptr<GatewayProcess> gateway;
  std::unique_ptr<GatewayProcess> peer;  ///< Null without a second gateway.
  std::unique_ptr<GatewayProcess> late;  ///< Null without a third gateway.

 private:
  bool IsReady(const GatewaySettings& of);
  std::string AskAt(const std::string& endpoint, const std::string& request);
};

/// @return true if the answer says that the request was not run, and when to
///   try again
bool IsRefusal(const std::string& answer);

/// @return a request for `path` with an attempt id and an API key
std::string CallerRequest(const std::string& method, const std::string& path,
                          const std::string& more_fields = "",
                          const std::string& body = "",
                          const std::string& attempt_id = "id-1");

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_GATEWAY_FIXTURE_H_
