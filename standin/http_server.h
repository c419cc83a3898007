#ifndef YUCCAPICK_STANDIN_HTTP_SERVER_H_
#define YUCCAPICK_STANDIN_HTTP_SERVER_H_

/// @file
/// Small HTTP/1.1 server for the stand-ins; hides RESTinio from the roles.

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace yuccapick::standin {

/// A whole request.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// Returns a header's value, or an empty text.
  std::string HeaderOr(const std::string& name) const;
  /// Returns a query parameter as a number.
  std::uint64_t QueryNumber(const std::string& name,
                            std::uint64_t fallback) const;
  /// Returns the body as a JSON object; empty if it is none.
  nlohmann::json Json() const;
};

/// Answers one request. Calls after the connection broke have no effect.
class Responder {
 public:
  virtual ~Responder() = default;

  /// Sends a whole answer.
  virtual void Send(int status, const std::string& type, std::string body) = 0;
  /// Begins an answer in chunks.
  virtual void Begin(int status, const std::string& type) = 0;
  virtual void Write(std::string data) = 0;
  virtual void Finish() = 0;
  /// Closes the connection once what was written has left.
  virtual void Abort() = 0;

  void SendJson(int status, const nlohmann::json& body) {
    Send(status, "application/json", body.dump());
  }
};

using ResponderPtr = std::shared_ptr<Responder>;
using Handler = std::function<void(const Request&, ResponderPtr)>;

/// Serves one address on the caller's event loop.
class HttpServer {
 public:
  /// @param failed gets the reason if the address cannot be served
  HttpServer(asio::io_context& loop, const std::string& host,
             std::uint16_t port, Handler handler,
             const std::function<void(const std::string&)>& failed);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Closes every connection at once.
  void CloseConnections();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_HTTP_SERVER_H_
