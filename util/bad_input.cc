/// @file
/// Sends malformed and unauthorised requests to a router and counts those that
/// it accepts. Prints `figure,value,unit` lines.

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace {

/// A server may wait this long for the rest of a truncated request.
constexpr std::chrono::seconds kResponseTimeout{20};
constexpr std::size_t kOversizeHeader = 256 << 10;
constexpr std::size_t kOversizeBody = 8 << 20;

struct Address {
  std::string host;
  std::uint16_t port = 0;
};

/// One invalid request and its name in the report.
struct Case {
  std::string name;
  std::string bytes;
  bool close_early = false;  ///< Closes after sending without reading.
};

std::string Request(const std::string& line, const std::string& headers,
                    const std::string& body) {
  return fmt::format("{} HTTP/1.1\r\nHost: x\r\n{}Content-Length: {}\r\n\r\n{}",
                     line, headers, body.size(), body);
}

std::string Chat(const std::string& headers, const std::string& body) {
  return Request("POST /v1/chat/completions", headers, body);
}

std::vector<Case> HttpCases(const std::string& auth) {
  const std::string start = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
  return {
      {"no request line", "\r\n\r\n\r\n"},
      {"garbage", std::string("\x16\x03\x01\x02\x00\x01\x00", 7) + "\r\n\r\n"},
      {"unknown version", "GET /v1/models HTTP/9.9\r\n" + auth + "\r\n"},
      {"header without colon", start + auth + "broken header\r\n\r\n"},
      {"negative length", start + auth + "Content-Length: -5\r\n\r\n{}"},
      {"length is no number", start + auth + "Content-Length: five\r\n\r\n{}"},
      {"two lengths",
       start + auth + "Content-Length: 2\r\nContent-Length: 40\r\n\r\n{}"},
      {"length and chunks",
       start + auth +
           "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
           "zz\r\n{}\r\n0\r\n\r\n"},
      {"broken chunk size", start + auth +
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "zz\r\n{}\r\n0\r\n\r\n"},
      {"oversize header", start + auth + "X-Long: " +
                              std::string(kOversizeHeader, 'a') + "\r\n\r\n"},
      {"oversize target",
       "GET /" + std::string(kOversizeHeader, 'a') + " HTTP/1.1\r\n\r\n"},
      {"oversize body", Chat(auth, std::string(kOversizeBody, 'a'))},
      {"cut head", start + "Content-Le", true},
      {"cut body", start + auth + "Content-Length: 500\r\n\r\n{\"mo", true},
  };
}

std::vector<Case> AuthCases(const std::string& good_body) {
  const std::string bearer = "Authorization: Bearer ";
  return {
      {"no token", Chat("", good_body)},
      {"wrong token", Chat(bearer + "demo-nobody\r\n", good_body)},
      {"empty token", Chat(bearer + "\r\n", good_body)},
      {"token of another scheme",
       Chat("Authorization: Basic demo-st-anne\r\n", good_body)},
      {"token with a suffix", Chat(bearer + "demo-st-annex\r\n", good_body)},
      {"token's prefix", Chat(bearer + "demo-st-ann\r\n", good_body)},
      {"no token on a booking",
       Request("POST /services/bookings/appointments", "", "{}")},
      {"no token on models", Request("GET /v1/models", "", "")},
  };
}

std::vector<Case> ApiCases(const std::string& auth,
                           const std::string& good_body) {
  const std::string deeply_nested(1 << 16, '[');
  return {
      {"body is no JSON", Chat(auth, "{\"model\":")},
      {"body is an array", Chat(auth, "[1,2]")},
      {"deeply nested body", Chat(auth, deeply_nested)},
      {"no model", Chat(auth, R"({"messages":[]})")},
      {"model is a number", Chat(auth, R"({"model":5,"messages":[]})")},
      {"unknown model",
       Chat(auth,
            R"({"model":"x","messages":[{"role":"user","content":"a"}]})")},
      {"unknown adapter",
       Chat(auth, R"({"model":"fen-3b","adapter":"x",)"
                  R"("messages":[{"role":"user","content":"a"}]})")},
      {"no messages", Chat(auth, R"({"model":"fen-3b"})")},
      {"message is text",
       Chat(auth, R"({"model":"fen-3b","messages":["hello"]})")},
      {"stream is text",
       Chat(auth, R"({"model":"fen-3b","stream":"yes",)"
                  R"("messages":[{"role":"user","content":"a"}]})")},
      {"unknown service of a chat",
       Chat(auth + "Yuccapick-Service: nowhere\r\n", good_body)},
      {"unknown service", Request("POST /services/nowhere/x", auth, "{}")},
      {"model service called as plain",
       Request("POST /services/diary-assistant/x", auth, "{}")},
      {"key too long",
       Request("POST /services/bookings/appointments",
               auth + "Idempotency-Key: " + std::string(4096, 'k') + "\r\n",
               "{}")},
      {"unknown path", Request("GET /v2/models", auth, "")},
      {"wrong method", Request("DELETE /v1/chat/completions", auth, "")},
  };
}

/// Sends one case and reads the status line of the response.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& loop, const Case& it) : socket_(loop), case_(it) {}

  void Start(const Address& address) {
    socket_.async_connect({asio::ip::make_address(address.host), address.port},
                          [self = shared_from_this()](const auto& ec) {
                            if (!ec) self->Send();
                          });
  }

  /// Returns the HTTP status of the response; 0 if there was none.
  int status() const {
    const std::size_t blank = answer_.find(' ');
    if (blank == std::string::npos) return 0;
    return std::atoi(answer_.c_str() + blank + 1);
  }

 private:
  void Send() {
    // The server may respond and close before it has read the whole request.
    if (!case_.close_early) Receive();
    asio::async_write(socket_, asio::buffer(case_.bytes),
                      [self = shared_from_this()](const auto&, std::size_t) {
                        if (self->case_.close_early) self->socket_.close();
                      });
  }

  void Receive() {
    socket_.async_read_some(
        asio::buffer(buf_),
        [self = shared_from_this()](const auto& ec, std::size_t n) {
          self->answer_.append(self->buf_.data(), n);
          const bool have_status =
              self->answer_.find("\r\n") != std::string::npos;
          if (ec || have_status) return self->socket_.close();
          self->Receive();
        });
  }

  asio::ip::tcp::socket socket_;
  const Case& case_;
  std::array<char, 4096> buf_{};
  std::string answer_;
};

int SendCase(const Address& address, const Case& it) {
  asio::io_context loop;
  auto exchange = std::make_shared<Exchange>(loop, it);
  exchange->Start(address);
  loop.run_for(kResponseTimeout);
  return exchange->status();
}

bool ParseTarget(const std::string& text, Address& address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  address.host = text.substr(0, colon);
  const int port = std::atoi(text.c_str() + colon + 1);
  address.port = static_cast<std::uint16_t>(port);
  return port > 0 && port < 65536;
}

/// Sends all cases.
/// @return whether none was accepted and the router still responds
bool Run(const Address& address) {
  const std::string auth = "Authorization: Bearer demo-st-anne\r\n";
  const std::string body =
      R"({"model":"fen-3b","messages":[{"role":"user","content":"a"}]})";
  std::vector<Case> cases = HttpCases(auth);
  for (Case& it : AuthCases(body)) cases.push_back(std::move(it));
  for (Case& it : ApiCases(auth, body)) cases.push_back(std::move(it));
  int accepted = 0;
  for (const Case& it : cases) {
    const int status = SendCase(address, it);
    const bool bad = status >= 200 && status < 300;
    accepted += bad ? 1 : 0;
    fmt::print(stderr, "bad_input: {}: {}{}\n", it.name, status,
               bad ? " WRONGLY ACCEPTED" : "");
  }
  const Case health{"health", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"};
  const bool alive = SendCase(address, health) == 200;
  fmt::print("bad_input_tried,{},count\n", cases.size());
  fmt::print("bad_input_wrongly_accepted,{},count\n", accepted);
  fmt::print("alive_after_bad_input,{},bool\n", alive ? 1 : 0);
  return accepted == 0 && alive;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kExitUsage = 2;
  const std::array<option, 3> options{
      {{"target", required_argument, nullptr, 't'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  Address address;
  bool given = false;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", options.data(), nullptr)) != -1) {
    if (code == 't') given = ParseTarget(optarg, address);
  }
  if (!given) {
    fmt::print(stderr, "Usage: bad_input --target IP:PORT\n");
    return kExitUsage;
  }
  return Run(address) ? 0 : 1;
}
