#include "standin/http_server.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <exception>
#include <optional>
#include <restinio/all.hpp>
#include <set>
#include <utility>

namespace yuccapick::standin {
namespace {

constexpr std::chrono::hours kTimeLimit{1};
constexpr std::size_t kMaxConcurrentAccepts = 64;

/// A socket in a registry, so that fault injection can close it by its peer.
class TrackedSocket : public asio::ip::tcp::socket {
 public:
  explicit TrackedSocket(asio::io_context& loop) : asio::ip::tcp::socket(loop) {
    Sockets().insert(this);
  }
  TrackedSocket(TrackedSocket&& other) noexcept
      : asio::ip::tcp::socket(std::move(other)) {
    Sockets().insert(this);
  }
  TrackedSocket& operator=(TrackedSocket&&) = default;
  ~TrackedSocket() { Sockets().erase(this); }

  static void Shutdown(const asio::ip::tcp::endpoint& peer) {
    for (TrackedSocket* socket : Sockets()) {
      asio::error_code ec;
      if (socket->remote_endpoint(ec) == peer && !ec) socket->Shutdown();
    }
  }

  static void ShutdownAll() {
    for (TrackedSocket* socket : Sockets()) socket->Shutdown();
  }

 private:
  static std::set<TrackedSocket*>& Sockets() {
    static std::set<TrackedSocket*> sockets;
    return sockets;
  }

  void Shutdown() {
    asio::error_code ec;
    shutdown(shutdown_both, ec);
  }
};

struct Traits : restinio::default_single_thread_traits_t {
  using stream_socket_t = TrackedSocket;
};

using ChunkedResponse =
    restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t StatusLine(int status) {
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
          status < 300 ? "OK" : "Error"};
}

class RestinioResponder : public Responder,
                          public std::enable_shared_from_this<Responder> {
 public:
  explicit RestinioResponder(restinio::request_handle_t request)
      : request_(std::move(request)) {}

  void Send(int status, const std::string& type, std::string body) override {
    auto response = request_->create_response(StatusLine(status));
    response.append_header(restinio::http_field::content_type, type);
    response.set_body(std::move(body)).done();
  }

  void Begin(int status, const std::string& type) override {
    chunked_.emplace(request_->create_response<restinio::chunked_output_t>(
        StatusLine(status)));
    chunked_->append_header(restinio::http_field::content_type, type);
  }

  void Write(std::string data) override {
    if (!chunked_ || failed_) return;
    ++pending_writes_;
    auto written = [self = shared_from_this(), this](const auto& ec) {
      --pending_writes_;
      if (ec) failed_ = true;
      if (aborted_ && pending_writes_ == 0) Close();
    };
    chunked_->append_chunk(std::move(data)).flush(std::move(written));
  }

  void Finish() override {
    if (chunked_ && !failed_) chunked_->done();
    chunked_.reset();
  }

  void Abort() override {
    aborted_ = true;
    if (pending_writes_ == 0) Close();
  }

 private:
  void Close() { TrackedSocket::Shutdown(request_->remote_endpoint()); }

  restinio::request_handle_t request_;
  std::optional<ChunkedResponse> chunked_;
  std::size_t pending_writes_ = 0;
  bool failed_ = false;
  bool aborted_ = false;
};

std::string ReasonOf(const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& it) {
    return it.what();
  }
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string ToString(restinio::string_view_t view) {
  return {view.data(), view.size()};
}

Request ToRequest(const restinio::request_t& source) {
  Request request;
  request.method = source.header().method().c_str();
  request.path = ToString(source.header().path());
  const auto query =
      restinio::try_parse_query<restinio::parse_query_traits::relaxed>(
          source.header().query());
  if (query) {
    for (const auto& [name, value] : *query) {
      request.query[ToString(name)] = ToString(value);
    }
  }
  source.header().for_each_field([&request](const auto& field) {
    request.headers[ToLower(field.name())] = field.value();
  });
  request.body = source.body();
  return request;
}

}  // namespace

std::string Request::HeaderValue(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::uint64_t Request::QueryNumber(const std::string& name,
                                   std::uint64_t fallback) const {
  auto it = query.find(name);
  if (it == query.end()) return fallback;
  std::uint64_t n = fallback;
  const std::string& text = it->second;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

nlohmann::json Request::Json() const {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

class HttpServer::Impl {
 public:
  Impl(asio::io_context& loop, const std::string& host, std::uint16_t port,
       Handler handler, const std::function<void(const std::string&)>& on_error)
      : server_(restinio::external_io_context(loop), [&](auto& settings) {
          settings.address(host)
              .port(port)
              .concurrent_accepts_count(kMaxConcurrentAccepts)
              .socket_options_setter([](auto& options) {
                options.set_option(asio::ip::tcp::no_delay(true));
              })
              .read_next_http_message_timelimit(kTimeLimit)
              .write_http_response_timelimit(kTimeLimit)
              .handle_request_timeout(kTimeLimit)
              .request_handler([handler](
                                   const restinio::request_handle_t& request) {
                const Request plain = ToRequest(*request);
                handler(plain, std::make_shared<RestinioResponder>(request));
                return restinio::request_accepted();
              });
        }) {
    // RESTinio does not propagate exceptions from this callback.
    server_.open_async([] {},
                       [on_error](const std::exception_ptr& failure) {
                         on_error(ReasonOf(failure));
                       });
  }

 private:
  restinio::http_server_t<Traits> server_;
};

HttpServer::HttpServer(asio::io_context& loop, const std::string& host,
                       std::uint16_t port, Handler handler,
                       const std::function<void(const std::string&)>& on_error)
    : impl_(std::make_unique<Impl>(loop, host, port, std::move(handler),
                                   on_error)) {}

HttpServer::~HttpServer() = default;

void HttpServer::CloseConnections() { TrackedSocket::ShutdownAll(); }

}  // namespace yuccapick::standin
