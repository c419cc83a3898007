#ifndef YUCCAPICK_REVIEW_LIB_3_FLEET_H_
#define YUCCAPICK_REVIEW_LIB_3_FLEET_H_

/// @file
/// The platform's store, gateway processes and the case's record.

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http.h"

namespace review {

using Json = nlohmann::json;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

/// Writes lines with their times to a file.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// The platform's store: tables of rows with the empty part.
class Store {
 public:
  explicit Store(const Endpoint& endpoint);
  ~Store() { Stop(); }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  bool Start() { return server_.Start(); }
  void Stop();
  const Endpoint& endpoint() const { return server_.endpoint(); }
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Remove(const std::string& table, const std::string& key);
  /// Keeps a copy of all rows as they are now.
  void TakeCopy();
  /// Is away for a moment and comes back from the copy. What was written since
  /// is gone, versions go back, and the era rises.
  void Restore(std::int64_t away_ms);
  /// Values of a table's rows, by key.
  std::map<std::string, std::string> Rows(const std::string& table);

 private:
  struct Row {
    std::string value;  ///< In base64.
    std::uint64_t version = 0;
    bool removed = false;
  };
  using Table = std::map<std::string, Row>;

  bool Handle(const Message& request, Connection& connection);
  std::string Get(const Message& request);
  std::string Feed(const Message& request);
  std::string Transact(const Message& request);
  std::string Answer(int status, Json body) const;
  static Json RowJson(const std::string& table, const std::string& key,
                      const Row& row);
  void Set(const std::string& table, const std::string& key, Row row);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Table> tables_;
  std::uint64_t version_ = 0;
  std::map<std::string, Table> copied_tables_;
  std::uint64_t copied_version_ = 0;
  std::uint64_t era_ = 1;
  bool stopped_ = false;
  HttpServer server_;
};

std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

struct GatewayOptions {
  std::string name;
  std::string ip;
  int first_port = 0;  ///< Of six: callers, readiness, control, internal.
  std::string store;
  std::vector<std::string> seeds;
  std::string directory;  ///< For settings and log.
  std::string program;
  Json bounds = Json::object();
};

/// One gateway process.
class Gateway {
 public:
  explicit Gateway(GatewayOptions options);
  ~Gateway() { Kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  bool Start();
  void Signal(int signal) const;
  /// SIGKILL; waits for the end.
  void Kill();
  /// @return true if the process has ended by itself
  bool HasEnded();
  bool IsReady() const;
  bool AwaitReady(std::int64_t limit_ms) const;
  Endpoint callers() const { return {options_.ip, options_.first_port}; }
  std::int64_t started_at() const { return started_at_; }
  pid_t pid() const { return pid_; }

 private:
  GatewayOptions options_;
  pid_t pid_ = -1;
  std::int64_t started_at_ = 0;
};

/// Bounds like those of a small installation.
Json SmallBounds();

/// What a case's program is started with.
struct CaseOptions {
  std::string directory;  ///< Temporary.
  std::string program;    ///< The deploy file's.
  std::string record;
  bool trouble = true;
};

/// Reads the arguments DIRECTORY PROGRAM RECORD and the variable TROUBLE.
std::optional<CaseOptions> ReadCaseOptions(int argc, char** argv);

}  // namespace review

#endif  // YUCCAPICK_REVIEW_LIB_3_FLEET_H_
