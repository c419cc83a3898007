#ifndef YUCCAPICK_STANDIN_HTTP_SERVER_H_
#define YUCCAPICK_STANDIN_HTTP_SERVER_H_

/// @file
/// Minimal HTTP/1.1 server for the stand-ins, implemented with RESTinio.

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace yuccapick::standin {

/// A complete request.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// Returns a header's value, or an empty string.
  std::string HeaderValue(const std::string& name) const;
  /// Returns a query parameter as a number, or `fallback` if it is absent or no
  /// number.
  std::uint64_t QueryNumber(const std::string& name,
                            std::uint64_t fallback) const;
  /// Returns the body as a JSON object; an empty object if it is not one.
  nlohmann::json Json() const;
};

/// Responds to one request. Calls after a connection loss have no effect.
class Responder {
 public:
  virtual ~Responder() = default;

  /// Sends a complete response.
  virtual void Send(int status, const std::string& type, std::string body) = 0;
  /// Begins a chunked response.
  virtual void Begin(int status, const std::string& type) = 0;
  virtual void Write(std::string data) = 0;
  virtual void Finish() = 0;
  /// Closes the connection after all written data has been sent.
  virtual void Abort() = 0;

  void SendJson(int status, const nlohmann::json& body) {
    Send(status, "application/json", body.dump());
  }
};

using ResponderPtr = std::shared_ptr<Responder>;
using Handler = std::function<void(const Request&, ResponderPtr)>;

/// Listens on one address and runs on the caller's event loop.
class HttpServer {
 public:
  /// @param on_error called with the reason if the address cannot be bound
  HttpServer(asio::io_context& loop, const std::string& host,
             std::uint16_t port, Handler handler,
             const std::function<void(const std::string&)>& on_error);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Closes all connections immediately.
  void CloseConnections();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_HTTP_SERVER_H_
