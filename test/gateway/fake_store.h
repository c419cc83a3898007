#ifndef YUCCAPICK_TEST_GATEWAY_FAKE_STORE_H_
#define YUCCAPICK_TEST_GATEWAY_FAKE_STORE_H_

/// @file
/// A small store on loopback in the platform's place.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "test/gateway/paced_writer.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {

constexpr std::size_t kSlowLinkBytesPerSecond = 400'000;

/// A store whose tables can be read, watched and written.
class FakeStore {
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;

 public:
  /// The rows at one moment.
  struct Copy {
    Tables tables;
    std::uint64_t version = 0;
  };

  explicit FakeStore(asio::io_context& loop);

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Answers the next `n` writes to `table` with 503.
  void RefuseWrites(const std::string& table, int n) { refused_[table] = n; }
  /// Answers the next `n` reads of all rows of `table` with 503.
  void RefuseReads(const std::string& table, int n) {
    refused_reads_[table] = n;
  }
  /// Answers reads with at most `n` rows.
  void set_page_rows(std::size_t n) { page_rows_ = n; }
  /// True if the row was written and not removed.
  bool Has(const std::string& table, const std::string& key) const;
  /// @return empty if there is no such row
  std::string ValueOf(const std::string& table, const std::string& key) const;
  /// Number of rows that were written and not removed.
  std::size_t RowCount(const std::string& table) const;
  /// @return version of a row; 0 if there is none
  std::uint64_t VersionOf(const std::string& table,
                          const std::string& key) const;
  Copy MakeCopy() const { return {tables_, version_}; }
  /// Comes back from an older copy, with the next generation. Long polls lose
  /// their connections.
  void Restore(const Copy& copy);
  /// Names this generation in all answers.
  void set_generation(std::uint64_t generation) { generation_ = generation; }
  /// Answers with this text in place of the generation; with none if empty.
  void set_generation_text(std::optional<std::string> text) {
    generation_text_ = std::move(text);
  }
  /// Sets the store's steady clock, which stands still otherwise.
  void set_time(std::chrono::milliseconds time) { time_ = time; }
  /// Lets the store's steady clock run from now on.
  void RunClock() { clock_runs_since_ = std::chrono::steady_clock::now(); }
  /// While true, nothing is answered. Calls that arrive meanwhile, and open
  /// long polls, are never answered.
  void set_silent(bool silent);
  /// While false, every call is answered 503.
  void set_up(bool up) { up_ = up; }
  /// While false, every call to `other_endpoint` is answered 503. Its long
  /// polls lose their connections.
  void set_other_up(bool up);
  /// Reads of changes that asked for an answer at once.
  std::size_t checks() const { return checks_; }
  /// True if a long poll of `table` waits for an answer.
  bool HasPoll(const std::string& table) const;
  std::string endpoint() const;
  /// The same store at another address, which can be unavailable by itself.
  std::string other_endpoint() const;
  /// The same store behind a link of `kSlowLinkBytesPerSecond`.
  std::string slow_endpoint() const;
  /// Bytes that the slow link has carried.
  std::size_t slow_bytes() const { return slow_writer_.written(); }

 private:
  struct Watcher {
    std::shared_ptr<ScriptedServer::Connection> connection;
    std::string table;
    std::uint64_t after = 0;
  };

  void OnInput(ScriptedServer::Connection& connection);
  bool IsSlow(const ScriptedServer::Connection& connection) const;
  bool IsUp(const ScriptedServer::Connection& connection) const;
  void Reply(ScriptedServer::Connection& connection, int status,
             const std::string& body);
  bool HasRowsAfter(const std::string& table, std::uint64_t after) const;
  std::string RowsAfter(const std::string& table, std::uint64_t after,
                        bool with_removed) const;
  /// The rows whose keys are in the range that the request names.
  std::string RowsInRange(const std::string& target) const;
  void OnFeed(ScriptedServer::Connection& connection,
              const std::string& target);
  void Notify();
  std::chrono::milliseconds Now() const;

  bool ConditionsHold(const std::string& body) const;

  Tables tables_;
  std::uint64_t generation_ = 0;  ///< Not named if zero.
  std::optional<std::string> generation_text_;
  std::map<std::string, int> refused_;        ///< Writes to refuse, by table.
  std::map<std::string, int> refused_reads_;  ///< By table.
  std::uint64_t version_ = 0;
  std::optional<std::size_t> page_rows_;
  std::chrono::milliseconds time_{1'000};
  std::optional<std::chrono::steady_clock::time_point> clock_runs_since_;
  bool up_ = true;
  bool other_up_ = true;
  bool silent_ = false;
  std::size_t checks_ = 0;
  std::vector<Watcher> watchers_;
  ScriptedServer server_;
  ScriptedServer other_server_;
  PacedWriter slow_writer_;
  ScriptedServer slow_server_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_FAKE_STORE_H_
