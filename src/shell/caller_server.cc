#include "shell/caller_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <restinio/all.hpp>
#include <restinio/tls.hpp>
#include <utility>

namespace yuccapick {
namespace {

namespace http = restinio;

constexpr std::size_t kMaxFieldCount = 100;
/// One request in work and one waiting: while the server can read the next
/// request, it also notices that the caller closes the connection.
constexpr std::size_t kMaxPipelinedRequests = 2;
constexpr std::size_t kConcurrentAccepts = 8;
/// Deadlines are the router core's; this only bounds leaks.
constexpr std::chrono::hours kHandlingLimit{2};
constexpr std::chrono::seconds kWriteLimit{30};
/// Bodies up to this many times the limit are read, so that the refusal
/// reaches the caller; above, the connection is closed.
constexpr std::size_t kOversizeReadFactor = 4;

struct ConnectionListener {
  CallerHandler* handler = nullptr;

  void state_changed(
      const http::connection_state::notice_t& notice) const noexcept {
    if (http::holds_alternative<http::connection_state::closed_t>(
            notice.cause())) {
      handler->OnConnectionClosed(notice.connection_id());
    }
  }
};

struct PlainTraits : http::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionListener;
  using request_handler_t =
      std::function<http::request_handling_status_t(http::request_handle_t)>;
  // NOLINTNEXTLINE(readability-identifier-naming): the library reads it.
  static constexpr bool use_connection_count_limiter = true;
};

struct TlsTraits : http::single_thread_tls_traits_t<http::asio_timer_manager_t,
                                                    http::null_logger_t> {
  using connection_state_listener_t = ConnectionListener;
  using request_handler_t =
      std::function<http::request_handling_status_t(http::request_handle_t)>;
  // NOLINTNEXTLINE(readability-identifier-naming): the library reads it.
  static constexpr bool use_connection_count_limiter = true;
};

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

HttpCall ToCall(const http::request_t& request) {
  const auto& header = request.header();
  HttpCall call;
  call.method = header.method().c_str();
  call.target = header.request_target();
  call.body = request.body();
  header.for_each_field([&call](const auto& field) {
    call.headers.push_back({LowerCase(field.name()), field.value()});
  });
  return call;
}

std::string ReasonOf(std::uint32_t status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "Success" : "Error";
  }
}

http::http_status_line_t StatusLine(std::uint32_t status) {
  return {http::http_status_code_t(static_cast<std::uint16_t>(status)),
          ReasonOf(status)};
}

class Exchange : public CallerExchange,
                 public std::enable_shared_from_this<Exchange> {
 public:
  explicit Exchange(http::request_handle_t request)
      : request_(std::move(request)),
        request_id_(request_->request_id()),
        connection_(http::impl::access_req_connection(*request_)) {}

  void Respond(std::uint32_t status, const std::vector<Header>& headers,
               std::string body) override {
    if (state_ != State::kWaiting) return;
    state_ = State::kEnded;
    auto response = request_->create_response(StatusLine(status));
    for (const Header& header : headers) {
      response.append_header(header.name, header.value);
    }
    response.set_body(std::move(body));
    response.done();
    request_.reset();
  }

  void Begin(std::uint32_t status,
             const std::vector<Header>& headers) override {
    if (state_ != State::kWaiting) return;
    state_ = State::kBegun;
    response_.emplace(
        request_->create_response<http::chunked_output_t>(StatusLine(status)));
    for (const Header& header : headers) {
      response_->append_header(header.name, header.value);
    }
    response_->flush();
    request_.reset();
  }

  void Send(std::string data) override {
    if (state_ != State::kBegun || data.empty()) return;
    const std::size_t size = data.size();
    unsent_ += size;
    response_->append_chunk(std::move(data));
    response_->flush([self = shared_from_this(), size](const auto& /*ec*/) {
      self->unsent_ -= size;
    });
  }

  void Finish() override {
    if (state_ != State::kBegun) return;
    state_ = State::kEnded;
    response_->done();
    response_.reset();
    connection_.reset();
  }

  void BreakOff() override {
    if (state_ == State::kEnded) return;
    state_ = State::kEnded;
    http::write_group_t nothing{http::writable_items_container_t{}};
    nothing.after_write_notificator([](const auto& /*ec*/) {});
    connection_->write_response_parts(
        request_id_,
        {http::response_parts_attr_t::final_parts,
         http::response_connection_attr_t::connection_close},
        std::move(nothing));
    response_.reset();
    request_.reset();
    connection_.reset();
  }

  std::size_t UnsentBytes() const override { return unsent_; }

 private:
  enum class State { kWaiting, kBegun, kEnded };

  State state_ = State::kWaiting;
  http::request_handle_t request_;
  http::request_id_t request_id_;
  http::impl::connection_handle_t connection_;
  std::optional<http::response_builder_t<http::chunked_output_t>> response_;
  std::size_t unsent_ = 0;
};

template <typename Traits>
http::server_settings_t<Traits> ServerSettings(const RouterSettings& settings,
                                               CallerHandler& handler) {
  http::server_settings_t<Traits> server;
  server.address(settings.listen.host)
      .port(settings.listen.port)
      .connection_state_listener(
          std::make_shared<ConnectionListener>(ConnectionListener{&handler}))
      .max_parallel_connections(settings.max_connections)
      .max_pipelined_requests(kMaxPipelinedRequests)
      .concurrent_accepts_count(kConcurrentAccepts)
      .read_next_http_message_timelimit(settings.read_timeout)
      .write_http_response_timelimit(kWriteLimit)
      .handle_request_timeout(kHandlingLimit)
      .incoming_http_msg_limits(
          http::incoming_http_msg_limits_t{}
              .max_url_size(settings.max_header_bytes)
              .max_field_name_size(settings.max_header_bytes)
              .max_field_value_size(settings.max_header_bytes)
              .max_field_count(kMaxFieldCount)
              .max_body_size(kOversizeReadFactor * settings.max_body_bytes))
      .request_handler([&handler](const http::request_handle_t& request) {
        auto exchange = std::make_shared<Exchange>(request);
        handler.OnCall(request->connection_id(), ToCall(*request),
                       std::move(exchange));
        return http::request_accepted();
      })
      .socket_options_setter([](auto& options) {
        options.set_option(asio::ip::tcp::no_delay(true));
      })
      .acceptor_options_setter([](auto& options) {
        options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      });
  return server;
}

template <typename Traits>
class Server : public CallerServer {
 public:
  Server(asio::io_context& loop, http::server_settings_t<Traits> settings)
      : server_(http::external_io_context(loop), std::move(settings)) {}

  absl::Status Open() override {
    try {
      server_.open_sync();
    } catch (const std::exception& error) {
      return absl::UnavailableError(fmt::format(
          "cannot listen for callers: {}; free the address or change "
          "router.listen",
          error.what()));
    }
    return absl::OkStatus();
  }

  void Close() override { server_.close_sync(); }

 private:
  http::http_server_t<Traits> server_;
};

}  // namespace

std::unique_ptr<CallerServer> CallerServer::Create(
    asio::io_context& loop, const RouterSettings& settings,
    const TlsSettings& tls, CallerHandler& handler) {
  if (!tls.enabled()) {
    return std::make_unique<Server<PlainTraits>>(
        loop, ServerSettings<PlainTraits>(settings, handler));
  }
  asio::ssl::context context(asio::ssl::context::tls_server);
  context.set_options(asio::ssl::context::default_workarounds |
                      asio::ssl::context::no_tlsv1 |
                      asio::ssl::context::no_tlsv1_1);
  context.use_certificate_chain_file(tls.certificate_file);
  context.use_private_key_file(tls.key_file, asio::ssl::context::pem);
  auto server = ServerSettings<TlsTraits>(settings, handler);
  server.tls_context(std::move(context));
  return std::make_unique<Server<TlsTraits>>(loop, std::move(server));
}

}  // namespace yuccapick
