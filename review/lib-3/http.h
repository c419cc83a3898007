#ifndef YUCCAPICK_REVIEW_LIB_3_HTTP_H_
#define YUCCAPICK_REVIEW_LIB_3_HTTP_H_

/// @file
/// A small HTTP/1.1 server and client on blocking sockets, one thread for each
/// connection. For the stand-ins of the review's cases.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the program started.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

struct Endpoint {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// @return a port that is free on these addresses, and so are the next ones
int FindFreePorts(const std::vector<std::string>& ips, int count);

/// A request or a response.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// @return the value of a field, or an empty string
  std::string Find(std::string_view name) const;
  /// @return the value of a parameter in the target's query
  std::string Query(std::string_view name) const;
  std::string Path() const { return target.substr(0, target.find('?')); }
};

/// One connection. Closes its socket at the end.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return null if no connection is made in time
  static std::unique_ptr<Connection> Open(const Endpoint& to, milliseconds wait,
                                          const std::string& from = "");

  void SetReadTimeout(milliseconds timeout) const;
  /// @return false if the connection is broken
  bool Write(std::string_view bytes) const;
  bool WriteChunk(std::string_view bytes) const;
  bool ReadRequest(Message& request);
  /// Reads the head of a response.
  bool ReadResponseHead(Message& response);
  /// Reads the next piece of a chunked body, or all of one with a length.
  /// @return nothing if it broke off; an empty text at the end
  std::optional<std::string> ReadBodyPart(const Message& response);
  void Shutdown() const;

 private:
  bool Fill();
  std::optional<std::string> ReadLine();
  bool ReadFields(Message& message);
  std::optional<std::string> ReadBytes(std::size_t n);
  bool ReadBody(Message& message);

  int fd_;
  std::string input_;
  bool body_done_ = false;
};

/// @return bytes of a response with a body of known length
std::string MakeResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body);

/// Accepts connections until it is stopped.
class HttpServer {
 public:
  /// @return false if the connection is to be closed
  using Handler = std::function<bool(const Message&, Connection&)>;

  HttpServer(Endpoint endpoint, Handler handler);
  ~HttpServer() { Stop(); }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return false if the address can't be used
  bool Start();
  /// Closes the listener and all connections, like the end of a process.
  void Stop();
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  void Accept(int listener);
  void Serve(int fd);

  Endpoint endpoint_;
  Handler handler_;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<Connection*> open_;
  std::atomic<int> threads_{0};
};

}  // namespace review

#endif  // YUCCAPICK_REVIEW_LIB_3_HTTP_H_
