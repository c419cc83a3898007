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
#include "test/shell/scripted_server.h"

namespace yuccapick {

/// A request as an upstream received it.
struct ReceivedRequest {
  std::string head;
  std::string body;

  /// @return the field's value, or empty if it is missing
  std::string Field(const std::string& name) const;
  std::string path() const;
};

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
  ScriptedServer& server() { return server_; }

 private:
  void OnInput(Connection& connection);

  std::string id_;
  Script script_;
  std::vector<ReceivedRequest> received_;
  ScriptedServer server_;
};

/// A store whose tables can be read, watched and written.
class FakeStore {
 public:
  explicit FakeStore(asio::io_context& loop);

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Answers the next `n` writes to `table` with 503.
  void RefuseWrites(const std::string& table, int n) { refused_[table] = n; }
  bool Has(const std::string& table, const std::string& key) const;
  /// Sets the store's steady clock, which stands still otherwise.
  void set_time(std::chrono::milliseconds time) { time_ = time; }
  /// While false, every call is answered 503.
  void set_up(bool up) { up_ = up; }
  std::string endpoint() const;

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Watcher {
    std::shared_ptr<ScriptedServer::Connection> connection;
    std::string table;
    std::uint64_t after = 0;
  };

  void OnInput(ScriptedServer::Connection& connection);
  void Reply(ScriptedServer::Connection& connection, int status,
             const std::string& body);
  std::string RowsAfter(const std::string& table, std::uint64_t after,
                        bool with_removed) const;
  void Notify();

  std::map<std::string, std::map<std::string, Row>> tables_;
  std::map<std::string, int> refused_;  ///< Writes to refuse, by table.
  std::uint64_t version_ = 0;
  std::chrono::milliseconds time_{1'000};
  bool up_ = true;
  std::vector<Watcher> watchers_;
  ScriptedServer server_;
};

/// A caller's connection, closed by the destructor.
class FakeCaller {
 public:
  FakeCaller(asio::io_context& loop, const std::string& endpoint);
  ~FakeCaller() { Close(); }
  FakeCaller(const FakeCaller&) = delete;
  FakeCaller& operator=(const FakeCaller&) = delete;

  void Send(const std::string& bytes);
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
  /// Puts the row of an upstream that runs a software version.
  void RegisterSoftware(const FakeUpstream& upstream,
                        const std::string& service, const std::string& software,
                        const std::string& domain = "here");
  /// Puts the row of an engine that has loaded `weights` of the model "m".
  /// @param born start of the engine's incarnation
  void RegisterEngine(const FakeUpstream& upstream, int weights, int born = 1);
  void PutConfig(std::uint64_t version, const std::string& routes);
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
  bool IsReady() { return IsReady(settings); }
  /// Waits until every gateway lists `n` upstreams.
  /// @return false if they did not within `kTestTimeout`
  bool AwaitListed(std::size_t n);

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
  bool HasMetric(const GatewaySettings& of, const std::string& line);
  std::string AskAt(const std::string& endpoint, const std::string& request);
};

/// @return a request for `path` with an attempt id and an API key
std::string CallerRequest(const std::string& method, const std::string& path,
                          const std::string& more_fields = "",
                          const std::string& body = "",
                          const std::string& attempt_id = "id-1");

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_GATEWAY_FIXTURE_H_
