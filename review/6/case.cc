/// @file
/// Clients that send a body with `Expect: 100-continue` leave before the
/// gateway has answered. No server may run one of their requests with another
/// body than the client sent.

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "review/lib-2/stand_ins.h"

namespace yuccapick::review {
namespace {

constexpr int kClients = 4;
constexpr int kRequestsPerClient = 50;
/// One request in so many is left by its client: a share of 0.2.
constexpr int kLeaveEvery = 5;
constexpr std::size_t kBodyBytes = 3'000;
constexpr milliseconds kPause{10};
constexpr milliseconds kTimeLimit{3'000};

/// Letters that differ from request to request.
std::string BodyOf(int number) {
  constexpr int kLetters = 26;
  std::string body;
  for (std::size_t i = 0; i < kBodyBytes; ++i) {
    const auto letter = (static_cast<int>(i) * 7 + number) % kLetters;
    body += static_cast<char>('a' + letter);
  }
  return body;
}

class Case {
 public:
  Case(Record& record, std::string directory)
      : record_(record),
        directory_(std::move(directory)),
        server_([this](const Request& request, Connection& connection) {
          return OnRequest(request, connection);
        }) {}

  Verdict Run();

 private:
  void WriteTables();
  bool OnRequest(const Request& request, Connection& connection);
  void Check(const std::string& attempt, const Request& request);
  void RunClient(int client, std::uint16_t port);
  std::string BookingRequest(int number) const;

  Record& record_;
  std::string directory_;
  Store store_;
  HttpServer server_;
  std::mutex mutex_;
  std::map<std::string, std::string> sent_;  ///< Bodies by attempt id.
  int left_ = 0;
  int answered_ = 0;
  int run_ = 0;
  int changed_ = 0;
};

void Case::WriteTables() {
  const Json routes = {{{"name", "booking"},
                        {"host", "crew.example"},
                        {"prefix", "/booking/"},
                        {"kind", "non_idempotent"},
                        {"timeoutMs", kTimeLimit.count()},
                        {"targetLatencyMs", 300},
                        {"priority", 2},
                        {"service", "crew-app"},
                        {"maxAttempts", 2},
                        {"authExempt", false},
                        {"resumable", false}}};
  const Json services = {{{"name", "crew-app"},
                          {"healthPath", "/health"},
                          {"maxConns", 200},
                          {"protocol", "h1"},
                          {"tls", false}}};
  store_.Put("servers", "server-1",
             ServerEntry("crew-app", server_.endpoint(), 6, Json::array()));
  store_.Put("op", "config", Manifest(routes, services));
}

bool Case::OnRequest(const Request& request, Connection& connection) {
  const std::string attempt = request.head.Field("x-attempt-id");
  Check(attempt, request);
  return Respond(connection, "200 OK",
                 "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-1\r\n",
                 "booked");
}

void Case::Check(const std::string& attempt, const Request& request) {
  const std::scoped_lock lock(mutex_);
  ++run_;
  const std::string& sent = sent_[attempt];
  if (sent == request.body) {
    return record_.Write("the server runs " + attempt + " as it was sent");
  }
  ++changed_;
  const std::size_t common = std::min(sent.size(), request.body.size());
  const auto differ =
      std::mismatch(sent.begin(), sent.begin() + static_cast<long>(common),
                    request.body.begin());
  record_.Write("the server runs " + attempt + " with a changed body: sent " +
                std::to_string(sent.size()) + " bytes, got " +
                std::to_string(request.body.size()) + ", differs from byte " +
                std::to_string(differ.first - sent.begin()));
}

std::string Case::BookingRequest(int number) const {
  return "POST /booking/valve HTTP/1.1\r\nHost: crew.example\r\n"
         "X-Attempt-Id: booking-" +
         std::to_string(number) +
         "\r\nX-Deadline-Ms: " + std::to_string(kTimeLimit.count()) +
         "\r\nX-Key: key-of-crew-1\r\nExpect: 100-continue\r\n"
         "Content-Length: " +
         std::to_string(kBodyBytes) + "\r\n\r\n";
}

void Case::RunClient(int client, std::uint16_t port) {
  for (int i = 0; i < kRequestsPerClient; ++i) {
    std::this_thread::sleep_for(kPause);
    const int number = client * kRequestsPerClient + i;
    const std::string attempt = "booking-" + std::to_string(number);
    const std::string body = BodyOf(number);
    {
      const std::scoped_lock lock(mutex_);
      sent_[attempt] = body;
    }
    const auto connection = Connection::To(port);
    if (connection == nullptr) continue;
    // It doesn't wait for the interim answer, which HTTP/1.1 allows.
    connection->Send(BookingRequest(number) + body);
    if (TroubleWanted() && i % kLeaveEvery == 0) {
      connection->Reset();
      record_.Write("client: sent " + attempt + " and left");
      const std::scoped_lock lock(mutex_);
      ++left_;
      continue;
    }
    const Answer answer = ReadAnswer(*connection, kTimeLimit);
    record_.Write("client: sent " + attempt + ", answered " +
                  std::to_string(answer.status));
    const std::scoped_lock lock(mutex_);
    if (answer.complete && answer.status == 200) ++answered_;
  }
}

Verdict Case::Run() {
  WriteTables();
  GatewayProcess gateway("front-a-1", store_.endpoint(), directory_);
  if (!gateway.AwaitReady(milliseconds(5'000))) {
    record_.Write("the gateway isn't ready");
    return Verdict::kNotRun;
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([this, i, &gateway] { RunClient(i, gateway.port()); });
  }
  for (std::thread& client : clients) client.join();
  std::this_thread::sleep_for(milliseconds(500));
  const std::scoped_lock lock(mutex_);
  record_.Write("requests: " + std::to_string(kClients * kRequestsPerClient) +
                " sent, " + std::to_string(left_) + " left by their clients, " +
                std::to_string(answered_) + " answered with 200, " +
                std::to_string(run_) + " run by the server, " +
                std::to_string(changed_) + " of these with a changed body");
  if (gateway.Ended()) record_.Write("the gateway has ended by itself");
  return changed_ == 0 && !gateway.Ended() ? Verdict::kHeld : Verdict::kBroken;
}

}  // namespace
}  // namespace yuccapick::review

int main(int argc, char** argv) {
  using yuccapick::review::Verdict;
  if (argc != 3) return static_cast<int>(Verdict::kNotRun);
  yuccapick::review::Record record(argv[1]);
  yuccapick::review::Case test(record, argv[2]);
  const Verdict verdict = test.Run();
  std::fflush(stdout);
  // Threads of the stand-ins may still wait for their clients.
  ::_exit(static_cast<int>(verdict));
}
