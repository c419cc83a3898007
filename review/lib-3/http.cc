#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <memory>

namespace review {
namespace {

const Clock::time_point kProgramStart = Clock::now();

sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

int Bind(const Endpoint& endpoint) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(endpoint);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
    return fd;
  }
  ::close(fd);
  return -1;
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kProgramStart)
      .count();
}

void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

int FindFreePorts(const std::vector<std::string>& ips, int count) {
  constexpr int kFirstPort = 21'000;
  constexpr int kLastPort = 31'000;
  const int first = kFirstPort + (::getpid() * 37) % 5'000;
  for (int port = first; port < kLastPort; port += count) {
    bool free = true;
    for (const std::string& ip : ips) {
      for (int i = 0; i < count && free; ++i) {
        const int fd = Bind({ip, port + i});
        free = fd >= 0;
        if (fd >= 0) ::close(fd);
      }
    }
    if (free) return port;
  }
  return 0;
}

std::string Message::Find(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (EqualsIgnoreCase(field, name)) return value;
  }
  return "";
}

std::string Message::Query(std::string_view name) const {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end - at - 1);
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == name && equals != std::string::npos) {
      return part.substr(equals + 1);
    }
    at = end;
  }
  return "";
}

Connection::~Connection() {
  if (fd_ >= 0) ::close(fd_);
}

std::unique_ptr<Connection> Connection::Open(const Endpoint& to,
                                             milliseconds wait,
                                             const std::string& from) {
  const int fd = from.empty() ? ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)
                              : Bind({from, 0});
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<Connection>(fd);
  const timeval limit{wait.count() / 1'000, wait.count() % 1'000 * 1'000};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = AddressOf(to);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

void Connection::SetReadTimeout(milliseconds timeout) const {
  const timeval limit{timeout.count() / 1'000, timeout.count() % 1'000 * 1'000};
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void Connection::Shutdown() const { ::shutdown(fd_, SHUT_RDWR); }

bool Connection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Connection::WriteChunk(std::string_view bytes) const {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return Write(std::string(size) + std::string(bytes) + "\r\n");
}

bool Connection::Fill() {
  char buf[16'384];
  const ssize_t n = ::recv(fd_, buf, sizeof(buf), 0);
  if (n <= 0) return false;
  input_.append(buf, static_cast<std::size_t>(n));
  return true;
}

std::optional<std::string> Connection::ReadLine() {
  std::size_t end = input_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) return std::nullopt;
    end = input_.find("\r\n");
  }
  std::string line = input_.substr(0, end);
  input_.erase(0, end + 2);
  return line;
}

std::optional<std::string> Connection::ReadBytes(std::size_t n) {
  while (input_.size() < n) {
    if (!Fill()) return std::nullopt;
  }
  std::string bytes = input_.substr(0, n);
  input_.erase(0, n);
  return bytes;
}

bool Connection::ReadFields(Message& message) {
  while (true) {
    const std::optional<std::string> line = ReadLine();
    if (!line) return false;
    if (line->empty()) return true;
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) return false;
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    message.fields.emplace_back(
        line->substr(0, colon),
        value == std::string::npos ? "" : line->substr(value));
  }
}

bool Connection::ReadBody(Message& message) {
  body_done_ = false;
  const std::string length = message.Find("Content-Length");
  if (length.empty() && message.Find("Transfer-Encoding").empty()) return true;
  while (true) {
    const std::optional<std::string> part = ReadBodyPart(message);
    if (!part) return false;
    if (part->empty()) return true;
    message.body += *part;
  }
}

bool Connection::ReadRequest(Message& request) {
  request = Message();
  const std::optional<std::string> line = ReadLine();
  if (!line) return false;
  const std::size_t space = line->find(' ');
  const std::size_t end = line->rfind(' ');
  if (space == std::string::npos || end <= space) return false;
  request.method = line->substr(0, space);
  request.target = line->substr(space + 1, end - space - 1);
  return ReadFields(request) && ReadBody(request);
}

bool Connection::ReadResponseHead(Message& response) {
  response = Message();
  body_done_ = false;
  const std::optional<std::string> line = ReadLine();
  if (!line || line->size() < 12) return false;
  response.status = std::atoi(line->c_str() + 9);
  return ReadFields(response);
}

std::optional<std::string> Connection::ReadBodyPart(const Message& response) {
  if (body_done_) return "";
  if (!response.Find("Transfer-Encoding").empty()) {
    const std::optional<std::string> line = ReadLine();
    if (!line) return std::nullopt;
    const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
    std::optional<std::string> bytes = ReadBytes(size + 2);
    if (!bytes) return std::nullopt;
    body_done_ = size == 0;
    bytes->resize(size);
    return bytes;
  }
  body_done_ = true;
  return ReadBytes(
      std::strtoul(response.Find("Content-Length").c_str(), nullptr, 10));
}

std::string MakeResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
  }
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return out + body;
}

HttpServer::HttpServer(Endpoint endpoint, Handler handler)
    : endpoint_(std::move(endpoint)), handler_(std::move(handler)) {}

bool HttpServer::Start() {
  const int fd = Bind(endpoint_);
  if (fd < 0) return false;
  ::listen(fd, SOMAXCONN);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    listener_ = fd;
  }
  ++threads_;
  std::thread([this, fd] {
    Accept(fd);
    --threads_;
  }).detach();
  return true;
}

void HttpServer::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ < 0) return;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    listener_ = -1;
    for (const Connection* connection : open_) connection->Shutdown();
  }
  while (threads_ > 0) SleepMs(1);
}

void HttpServer::Accept(int listener) {
  while (true) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ != listener) {
      if (fd >= 0) ::close(fd);
      return;
    }
    if (fd < 0) continue;
    ++threads_;
    std::thread([this, fd] {
      Serve(fd);
      --threads_;
    }).detach();
  }
}

void HttpServer::Serve(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Connection connection(fd);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ < 0) return;
    open_.insert(&connection);
  }
  Message request;
  while (connection.ReadRequest(request) && handler_(request, connection)) {
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(&connection);
}

}  // namespace review
