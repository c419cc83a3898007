#ifndef YUCCAPICK_TEST_GATEWAY_FAKE_STORE_H_
#define YUCCAPICK_TEST_GATEWAY_FAKE_STORE_H_

/// @file
/// A small store on loopback in the platform's place.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "test/shell/scripted_server.h"

namespace yuccapick {

/// A store whose tables can be read, watched and written.
class FakeStore {
 public:
  explicit FakeStore(asio::io_context& loop);

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Answers the next `n` writes to `table` with 503.
  void RefuseWrites(const std::string& table, int n) { refused_[table] = n; }
  bool Has(const std::string& table, const std::string& key) const;
  /// Sets the store's steady clock, which stands still otherwise.
  void set_time(std::chrono::milliseconds time) { time_ = time; }
  /// While false, every call is answered 503.
  void set_up(bool up) { up_ = up; }
  std::string endpoint() const;

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Watcher {
    std::shared_ptr<ScriptedServer::Connection> connection;
    std::string table;
    std::uint64_t after = 0;
  };

  void OnInput(ScriptedServer::Connection& connection);
  void Reply(ScriptedServer::Connection& connection, int status,
             const std::string& body);
  std::string RowsAfter(const std::string& table, std::uint64_t after,
                        bool with_removed) const;
  void Notify();

  std::map<std::string, std::map<std::string, Row>> tables_;
  std::map<std::string, int> refused_;  ///< Writes to refuse, by table.
  std::uint64_t version_ = 0;
  std::chrono::milliseconds time_{1'000};
  bool up_ = true;
  std::vector<Watcher> watchers_;
  ScriptedServer server_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_FAKE_STORE_H_
