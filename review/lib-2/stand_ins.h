#ifndef YUCCAPICK_REVIEW_LIB_2_STAND_INS_H_
#define YUCCAPICK_REVIEW_LIB_2_STAND_INS_H_

/// @file
/// Stand-ins for the platform's store, servers and clients, and a gateway
/// process, for the cases of this review. Blocking sockets, a thread for each
/// connection. All addresses are loopback addresses.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace yuccapick::review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using std::chrono::milliseconds;

inline constexpr char kLoopback[] = "127.0.0.1";

/// Writes what happens to standard output and to the case's record.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& line);
  /// Time since the record was opened.
  milliseconds Now() const;

 private:
  std::mutex mutex_;
  Clock::time_point began_at_ = Clock::now();
  FILE* file_;
};

/// A connected socket that it owns.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @param receive_bytes size of the receive buffer; 0 for the usual one
  /// @return null if the port doesn't accept
  static std::unique_ptr<Connection> To(std::uint16_t port,
                                        int receive_bytes = 0);

  bool Send(const std::string& bytes);
  /// Receives some bytes and appends them to `bytes`.
  /// @return false at the end of the connection, or after `timeout`
  /// @param most bytes to receive at most
  bool Receive(std::string& bytes, milliseconds timeout,
               std::size_t most = 65'536);
  /// True if the peer has closed the connection.
  bool PeerClosed() const;
  void Close();
  /// Closes the connection with a reset.
  void Reset();

 private:
  int fd_;
};

/// The head of an HTTP/1.1 message. Names of fields are in lower case.
struct Head {
  std::string first_line;
  std::multimap<std::string, std::string> fields;

  /// @return the field's first value; empty if there is none
  std::string Field(const std::string& name) const;
  /// Of a request.
  std::string Method() const;
  std::string Target() const;
  /// Of an answer; 0 if it can't be read.
  int Status() const;
};

/// Parses the head at the beginning of `bytes` and removes it.
/// @return nullopt if it isn't complete yet
std::optional<Head> TakeHead(std::string& bytes);

struct Request {
  Head head;
  std::string body;
};

/// The answer as its client sees it.
struct Answer {
  int status = 0;
  std::string body;       ///< Without the framing.
  bool complete = false;  ///< Its end arrived as its framing says.
  bool ended = false;     ///< The connection ended before it was complete.
};

/// Reads one answer until it is complete, or the connection ends, or `timeout`.
Answer ReadAnswer(Connection& connection, milliseconds timeout);

/// Serves HTTP/1.1 on a free loopback port. The handler writes the answer.
/// @return false from the handler closes the connection
class HttpServer {
 public:
  using Handler = std::function<bool(const Request&, Connection&)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string endpoint() const;

 private:
  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);

  Handler handler_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::thread acceptor_;
  std::atomic<bool> stopped_{false};
};

/// Sends a complete answer with a length.
bool Respond(Connection& connection, const std::string& status,
             const std::string& fields, const std::string& body);

/// The platform's store: rows in tables, conditional writes, long polls.
class Store {
 public:
  Store();

  std::string endpoint() const { return server_->endpoint(); }
  /// Writes a row as the operator or a server would.
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Stop();

 private:
  struct Row {
    std::string value;  ///< In base64.
    std::uint64_t version = 0;
    bool removed = false;
  };
  using Table = std::map<std::string, Row>;

  bool Handle(const Request& request, Connection& connection);
  Json Get(const std::map<std::string, std::string>& query);
  Json Feed(const std::map<std::string, std::string>& query);
  Json Commit(const Json& transaction, bool& applied);
  Json RowJson(const std::string& table, const std::string& key,
               const Row& row) const;
  Json Answer(Json rows) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Table> tables_;
  std::uint64_t newest_ = 0;
  bool stopped_ = false;
  Clock::time_point began_at_ = Clock::now();
  std::unique_ptr<HttpServer> server_;
};

/// One gateway process, started with the command of the deploy file.
class GatewayProcess {
 public:
  /// @param directory temporary, for its settings and its log
  GatewayProcess(const std::string& name, const std::string& store,
                 const std::string& directory);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  std::uint16_t port() const { return front_port_; }
  /// Waits until its readiness check answers 200.
  bool AwaitReady(milliseconds timeout) const;
  void Signal(int signal) const;
  /// @return how the process ended; nullopt if it runs
  std::optional<int> Ended();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
  std::uint16_t front_port_ = 0;
  std::uint16_t ready_port_ = 0;
};

/// The part of a manifest that is the same in all cases.
Json Manifest(Json routes, Json services);
/// What a server writes to the store about itself.
Json ServerEntry(const std::string& service, const std::string& endpoint,
                 int slots, Json models);

/// Result of a case, and its exit code.
enum class Verdict : int { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// True unless the variable TROUBLE is 0.
bool TroubleWanted();

}  // namespace yuccapick::review

#endif  // YUCCAPICK_REVIEW_LIB_2_STAND_INS_H_
