#include "review/lib-2/stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace yuccapick::review {
namespace {

constexpr char kApiKey[] = "key-of-crew-1";
constexpr milliseconds kStopGrace{9'000};
constexpr milliseconds kPollInterval{20};

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Binds a socket to a loopback port; 0 picks a free one.
/// @return -1 if the port is in use
int BindTo(int type, std::uint16_t port) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
    return fd;
  }
  ::close(fd);
  return -1;
}

/// Finds ports that are free for TCP and UDP. They stay reserved until all are
/// found, so that they differ.
std::vector<std::uint16_t> FreePorts(std::size_t count) {
  std::vector<std::uint16_t> ports;
  std::vector<int> held;
  while (ports.size() < count) {
    const int tcp = BindTo(SOCK_STREAM, 0);
    held.push_back(tcp);
    const std::uint16_t port = PortOf(tcp);
    const int udp = BindTo(SOCK_DGRAM, port);
    if (udp < 0) continue;
    held.push_back(udp);
    ports.push_back(port);
  }
  for (const int fd : held) ::close(fd);
  return ports;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const unsigned char byte = i + j < bytes.size() ? bytes[i + j] : '\0';
      group = group << 8U | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool present = i + j <= bytes.size();
      out += present ? kDigits[group >> (18U - 6U * j) & 63U] : '=';
    }
  }
  return out;
}

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::istringstream pairs(target.substr(mark + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string value =
        equals < pair.size() ? pair.substr(equals + 1) : "";
    query[pair.substr(0, equals)] = PercentDecode(value);
  }
  return query;
}

std::uint64_t NumberOf(const std::map<std::string, std::string>& query,
                       const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() || it->second.empty() ? 0 : std::stoull(it->second);
}

std::string TextOf(const std::map<std::string, std::string>& query,
                   const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

/// Takes the chunks that have arrived.
/// @return true at the last one
bool TakeChunks(std::string& bytes, std::string& body) {
  while (true) {
    const std::size_t line_end = bytes.find("\r\n");
    if (line_end == std::string::npos) return false;
    const std::size_t size = std::stoul(bytes, nullptr, 16);
    if (bytes.size() < line_end + 2 + size + 2) return false;
    body += bytes.substr(line_end + 2, size);
    bytes.erase(0, line_end + 2 + size + 2);
    if (size == 0) return true;
  }
}

Json GatewaySettings(const std::string& name, const std::string& store,
                     const std::vector<std::uint16_t>& ports) {
  const std::string ip = kLoopback;
  const auto endpoint = [&ip](std::uint16_t port) {
    return ip + ":" + std::to_string(port);
  };
  return {{"nodeName", name},
          {"role", "gateway"},
          {"machineClass", "front"},
          {"serves", {"front", "control"}},
          {"ip", ip},
          {"zone", "zone-a"},
          {"region", "region"},
          {"listen",
           {{"front", endpoint(ports[0])},
            {"ready", endpoint(ports[1])},
            {"control", endpoint(ports[2])}}},
          {"internalPorts", {ports[3], ports[4]}},
          {"seeds", Json::array()},
          {"bootstrap", true},
          {"limits",
           {{"cpuShare", 0.13},
            {"cores", 1},
            {"memoryMb", 96},
            {"maxFds", 1000},
            {"linkMbps", 700.0},
            {"diskMb", 0}}},
          {"heartbeatMs", 1200},
          {"bounds",
           {{"contactMs", 3000},
            {"drainMs", 2000},
            {"graceS", 8},
            {"lossSlackMs", 200},
            {"configMs", 2000},
            {"retryBudgetRatio", 0.2},
            {"budgetWindowS", 10},
            {"budgetSlack", 108},
            {"leaseMs", 3000},
            {"versionMs", 12000}}},
          {"platform", {{"address", store}, {"form", "table"}}}};
}

}  // namespace

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "we")) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

milliseconds Record::Now() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - began_at_);
}

void Record::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const long long now = Now().count();
  std::printf("%6lld ms  %s\n", now, line.c_str());
  if (file_ == nullptr) return;
  std::fprintf(file_, "%6lld ms  %s\n", now, line.c_str());
  std::fflush(file_);
}

std::unique_ptr<Connection> Connection::To(std::uint16_t port,
                                           int receive_bytes) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof(receive_bytes));
  }
  const sockaddr_in address = LoopbackAddress(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::Receive(std::string& bytes, milliseconds timeout,
                         std::size_t most) {
  pollfd ready{fd_, POLLIN, 0};
  if (::poll(&ready, 1, static_cast<int>(timeout.count())) <= 0) return false;
  std::array<char, 65'536> buf{};
  const ssize_t n = ::recv(fd_, buf.data(), std::min(most, buf.size()), 0);
  if (n <= 0) return false;
  bytes.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

bool Connection::PeerClosed() const {
  char byte = 0;
  const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Connection::Reset() {
  const linger now{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

std::string Head::Field(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : it->second;
}

std::string Head::Method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Head::Target() const {
  const std::size_t from = first_line.find(' ') + 1;
  return first_line.substr(from, first_line.find(' ', from) - from);
}

int Head::Status() const {
  const std::size_t space = first_line.find(' ');
  if (!first_line.starts_with("HTTP/1.") || space == std::string::npos) {
    return 0;
  }
  return std::atoi(first_line.c_str() + space);
}

std::optional<Head> TakeHead(std::string& bytes) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  std::istringstream lines(bytes.substr(0, end));
  bytes.erase(0, end + 4);
  Head head;
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (head.first_line.empty()) {
      head.first_line = line;
      continue;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string value =
        colon < line.size() ? Trim(line.substr(colon + 1)) : "";
    head.fields.emplace(Lower(line.substr(0, colon)), value);
  }
  return head;
}

Answer ReadAnswer(Connection& connection, milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  Answer answer;
  std::string bytes;
  std::optional<Head> head;
  while (true) {
    if (!head) head = TakeHead(bytes);
    if (head && head->Status() / 100 == 1) {
      head.reset();
      continue;
    }
    if (head) {
      answer.status = head->Status();
      const std::string length = head->Field("content-length");
      if (Lower(head->Field("transfer-encoding")) == "chunked") {
        answer.complete = TakeChunks(bytes, answer.body);
      } else if (!length.empty()) {
        answer.body = bytes;
        answer.complete = bytes.size() >= std::stoul(length);
      }
      if (answer.complete) return answer;
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    if (left.count() <= 0) return answer;
    if (!connection.Receive(bytes, left)) {
      answer.ended = Clock::now() < until;
      return answer;
    }
  }
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = BindTo(SOCK_STREAM, 0);
  port_ = PortOf(listener_);
  ::listen(listener_, SOMAXCONN);
  acceptor_ = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() {
  stopped_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
}

std::string HttpServer::endpoint() const {
  return std::string(kLoopback) + ":" + std::to_string(port_);
}

void HttpServer::Accept() {
  while (!stopped_) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(fd);
    // The process ends with _exit, so that its threads need not be joined.
    std::thread([this, connection] { Serve(connection); }).detach();
  }
}

void HttpServer::Serve(const std::shared_ptr<Connection>& connection) {
  constexpr milliseconds kIdleTimeout{60'000};
  std::string bytes;
  while (!stopped_) {
    std::optional<Head> head = TakeHead(bytes);
    while (!head) {
      if (!connection->Receive(bytes, kIdleTimeout)) return;
      head = TakeHead(bytes);
    }
    Request request{*std::move(head), {}};
    const std::string length = request.head.Field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (bytes.size() < size) {
      if (!connection->Receive(bytes, kIdleTimeout)) return;
    }
    request.body = bytes.substr(0, size);
    bytes.erase(0, size);
    if (!handler_(request, *connection)) return;
  }
}

bool Respond(Connection& connection, const std::string& status,
             const std::string& fields, const std::string& body) {
  return connection.Send("HTTP/1.1 " + status + "\r\n" + fields +
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
}

Store::Store() {
  server_ = std::make_unique<HttpServer>(
      [this](const Request& request, Connection& connection) {
        return Handle(request, connection);
      });
}

void Store::Put(const std::string& table, const std::string& key,
                const Json& value) {
  const std::scoped_lock lock(mutex_);
  tables_[table][key] = {Base64(value.dump()), ++newest_, false};
  changed_.notify_all();
}

void Store::Stop() {
  const std::scoped_lock lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

Json Store::RowJson(const std::string& table, const std::string& key,
                    const Row& row) const {
  Json json{{"table", table},
            {"part", ""},
            {"key", key},
            {"rowVersion", row.version}};
  if (row.removed) {
    json["tombstone"] = true;
  } else {
    json["value"] = row.value;
  }
  return json;
}

Json Store::Answer(Json rows) const {
  const auto now =
      std::chrono::duration_cast<milliseconds>(Clock::now() - began_at_);
  return {{"rows", std::move(rows)},
          {"hasMore", false},
          {"rowVersion", newest_},
          {"nowMs", now.count()}};
}

Json Store::Get(const std::map<std::string, std::string>& query) {
  const std::scoped_lock lock(mutex_);
  const std::string table = TextOf(query, "table");
  const std::uint64_t limit = NumberOf(query, "limit");
  Json rows = Json::array();
  for (const auto& [key, row] : tables_[table]) {
    if (row.removed || key < TextOf(query, "from")) continue;
    if (limit > 0 && rows.size() == limit) break;
    rows.push_back(RowJson(table, key, row));
  }
  return Answer(std::move(rows));
}

Json Store::Feed(const std::map<std::string, std::string>& query) {
  const std::string table = TextOf(query, "table");
  const std::uint64_t after = NumberOf(query, "after");
  const auto until = Clock::now() + milliseconds(NumberOf(query, "waitMs"));
  std::unique_lock lock(mutex_);
  while (true) {
    std::map<std::uint64_t, Json> changes;
    for (const auto& [key, row] : tables_[table]) {
      if (row.version > after) changes[row.version] = RowJson(table, key, row);
    }
    if (!changes.empty() || stopped_ || Clock::now() >= until) {
      Json rows = Json::array();
      for (auto& [version, row] : changes) rows.push_back(std::move(row));
      return Answer(std::move(rows));
    }
    changed_.wait_until(lock, until);
  }
}

Json Store::Commit(const Json& transaction, bool& applied) {
  const std::scoped_lock lock(mutex_);
  Json conflicts = Json::array();
  for (const Json& check : transaction.value("expected", Json::array())) {
    const std::string table = check.at("table");
    const std::string key = check.at("key");
    const Row row = tables_[table][key];
    const bool exists = row.version > 0 && !row.removed;
    const std::uint64_t version = exists ? row.version : 0;
    if (version != check.at("rowVersion").get<std::uint64_t>()) {
      conflicts.push_back(RowJson(table, key, row));
    }
  }
  applied = conflicts.empty();
  if (!applied) return Answer(std::move(conflicts));
  ++newest_;
  for (const Json& put : transaction.value("put", Json::array())) {
    tables_[put.at("table")][put.at("key")] = {put.at("value"), newest_, false};
  }
  for (const Json& remove : transaction.value("remove", Json::array())) {
    tables_[remove.at("table")][remove.at("key")] = {"", newest_, true};
  }
  changed_.notify_all();
  return Answer(Json::array());
}

bool Store::Handle(const Request& request, Connection& connection) {
  const std::string fields =
      "Content-Type: application/json\r\nStore-Era: 1\r\n";
  const std::string target = request.head.Target();
  if (target.starts_with("/rows-get?")) {
    return Respond(connection, "200 OK", fields, Get(QueryOf(target)).dump());
  }
  if (target.starts_with("/rows-feed?")) {
    return Respond(connection, "200 OK", fields, Feed(QueryOf(target)).dump());
  }
  if (target == "/rows-tx") {
    bool applied = false;
    const Json answer = Commit(Json::parse(request.body), applied);
    return Respond(connection, applied ? "200 OK" : "412 Precondition Failed",
                   fields, answer.dump());
  }
  return Respond(connection, "404 Not Found", fields, "{}");
}

GatewayProcess::GatewayProcess(const std::string& name,
                               const std::string& store,
                               const std::string& directory) {
  const std::vector<std::uint16_t> ports = FreePorts(5);
  front_port_ = ports[0];
  ready_port_ = ports[1];
  const std::string settings = directory + "/" + name + ".json";
  const std::string log = directory + "/" + name + ".log";
  std::ofstream(settings) << GatewaySettings(name, store, ports).dump(2);
  pid_ = ::fork();
  if (pid_ != 0) return;
  // It must not outlive the case, even if that is stopped.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::setenv("YUCCAPICK_BOOT", settings.c_str(), 1);
  ::execl("target/yuccapick", "yuccapick", "gateway", nullptr);
  ::_exit(127);
}

GatewayProcess::~GatewayProcess() {
  if (pid_ <= 0 || Ended()) return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool GatewayProcess::AwaitReady(milliseconds timeout) const {
  const Clock::time_point until = Clock::now() + timeout;
  while (Clock::now() < until) {
    const auto connection = Connection::To(ready_port_);
    if (connection != nullptr &&
        connection->Send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        ReadAnswer(*connection, milliseconds(500)).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void GatewayProcess::Signal(int signal) const { ::kill(pid_, signal); }

std::optional<int> GatewayProcess::Ended() {
  int status = 0;
  if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
  return status_;
}

Json Manifest(Json routes, Json services) {
  return {{"version", 7},
          {"routes", std::move(routes)},
          {"services", std::move(services)},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "crew-1"},
             {"apiKeys", {kApiKey}},
             {"priority", 1},
             {"isolated", false}}}}};
}

Json ServerEntry(const std::string& service, const std::string& endpoint,
                 int slots, Json models) {
  const auto born = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return {{"service", service},
          {"address", endpoint},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", slots},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"stage", "colocated"},
          {"sequence", 1},
          {"born", born.count()},
          {"models", std::move(models)}};
}

bool TroubleWanted() {
  const char* wanted = std::getenv("TROUBLE");
  return wanted == nullptr || std::string(wanted) != "0";
}

}  // namespace yuccapick::review
