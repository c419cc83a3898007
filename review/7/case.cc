/// @file
/// A server fails part of its requests after it has begun to work on them, with
/// statuses that promise the caller that its request has not run. The gateway
/// must not pass such a promise on for requests that may run only once.

#include <unistd.h>

#include <array>
#include <cstdio>
#include <set>

#include "review/lib-2/stand_ins.h"

namespace yuccapick::review {
namespace {

constexpr int kServers = 3;
constexpr int kClients = 4;
constexpr int kBookingsPerClient = 60;
/// Of the requests that the failing server runs, in percent.
constexpr int kFailedPercent = 40;
constexpr milliseconds kWork{10};
constexpr milliseconds kPause{10};
constexpr milliseconds kTimeLimit{3'000};

/// What the failing server answers, in turn. None says `X-Not-Executed`.
constexpr std::array<const char*, 3> kFailures{
    "429 Too Many Requests", "408 Request Timeout", "503 Service Unavailable"};

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

class Case {
 public:
  Case(Record& record, std::string directory)
      : record_(record), directory_(std::move(directory)) {}

  Verdict Run();

 private:
  void StartServers();
  void WriteTables();
  bool OnRequest(int server, const Request& request, Connection& connection);
  void RunClient(int client, std::uint16_t port);
  int SendBooking(const std::string& booking, int attempt, std::uint16_t port);

  Record& record_;
  std::string directory_;
  Store store_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::mutex mutex_;
  std::map<std::string, int> runs_of_booking_;
  std::set<std::string> run_attempts_;
  std::map<int, int> answers_;  ///< Number of answers by status.
  int failing_runs_ = 0;
  int failed_ = 0;
  int false_promises_ = 0;
};

void Case::StartServers() {
  for (int i = 0; i < kServers; ++i) {
    servers_.push_back(std::make_unique<HttpServer>(
        [this, i](const Request& request, Connection& connection) {
          return OnRequest(i, request, connection);
        }));
  }
}

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
  for (int i = 0; i < kServers; ++i) {
    store_.Put("servers", "server-" + std::to_string(i),
               ServerEntry("crew-app",
                           servers_[static_cast<std::size_t>(i)]->endpoint(), 6,
                           Json::array()));
  }
  store_.Put("op", "config", Manifest(routes, services));
}

bool Case::OnRequest(int server, const Request& request,
                     Connection& connection) {
  const std::string attempt = request.head.Field("x-attempt-id");
  const std::string fields = "X-Attempt-Id: " + attempt +
                             "\r\nX-Server-Seal: seal-" +
                             std::to_string(server) + "\r\n";
  std::string status = "200 OK";
  {
    const std::scoped_lock lock(mutex_);
    run_attempts_.insert(attempt);
    ++runs_of_booking_[request.body];
    const bool fails = TroubleWanted() && server == 0 &&
                       failing_runs_++ * kFailedPercent % 100 < kFailedPercent;
    if (fails) {
      status =
          kFailures[static_cast<std::size_t>(failed_++) % kFailures.size()];
      record_.Write("server-0 runs " + attempt + " and answers " + status);
    }
  }
  std::this_thread::sleep_for(kWork);
  return Respond(connection, status, fields, "");
}

int Case::SendBooking(const std::string& booking, int attempt,
                      std::uint16_t port) {
  const std::string id = booking + "-attempt-" + std::to_string(attempt);
  const auto connection = Connection::To(port);
  if (connection == nullptr) return 0;
  connection->Send(
      "POST /booking/valve HTTP/1.1\r\nHost: crew.example\r\nX-Attempt-Id: " +
      id + "\r\nX-Deadline-Ms: " + std::to_string(kTimeLimit.count()) +
      "\r\nX-Key: key-of-crew-1\r\nContent-Length: " +
      std::to_string(booking.size()) + "\r\n\r\n" + booking);
  const Answer answer = ReadAnswer(*connection, kTimeLimit);
  record_.Write("client: sent " + id + ", answered " +
                std::to_string(answer.status));
  const std::scoped_lock lock(mutex_);
  ++answers_[answer.status];
  if (IsPromise(answer.status) && run_attempts_.contains(id)) {
    ++false_promises_;
    record_.Write("client: " + id + " is answered " +
                  std::to_string(answer.status) + ", but has run");
  }
  return answer.status;
}

void Case::RunClient(int client, std::uint16_t port) {
  for (int i = 0; i < kBookingsPerClient; ++i) {
    const std::string booking =
        "booking-" + std::to_string(client * kBookingsPerClient + i);
    // Clients try once more, on a new channel, after a promise.
    if (IsPromise(SendBooking(booking, 1, port))) SendBooking(booking, 2, port);
    std::this_thread::sleep_for(kPause);
  }
}

Verdict Case::Run() {
  StartServers();
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
  const std::scoped_lock lock(mutex_);
  for (const auto& [status, n] : answers_) {
    record_.Write("answers with status " + std::to_string(status) + ": " +
                  std::to_string(n));
  }
  int repeated = 0;
  for (const auto& [booking, runs] : runs_of_booking_) repeated += runs > 1;
  record_.Write(std::to_string(failed_) + " requests failed by server-0, " +
                std::to_string(false_promises_) +
                " answered as not run although they ran, " +
                std::to_string(repeated) + " bookings run twice");
  return false_promises_ == 0 ? Verdict::kHeld : Verdict::kBroken;
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
