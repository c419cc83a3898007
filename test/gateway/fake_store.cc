#include "test/gateway/fake_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "test/gateway/received_request.h"

namespace yuccapick {
namespace {

using Json = nlohmann::json;

bool IsFrom(const ScriptedServer& server,
            const ScriptedServer::Connection& connection) {
  return std::any_of(
      server.connections.begin(), server.connections.end(),
      [&connection](const auto& it) { return it.get() == &connection; });
}

std::string Parameter(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 1;
  return target.substr(from, target.find_first_of("& ", from) - from);
}

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      out.push_back(text[at]);
      continue;
    }
    constexpr int kHexadecimal = 16;
    out.push_back(static_cast<char>(
        std::stoi(text.substr(at + 1, 2), nullptr, kHexadecimal)));
    at += 2;
  }
  return out;
}

}  // namespace

FakeStore::FakeStore(asio::io_context& loop)
    : server_(loop, [this](ScriptedServer::Connection& c) { OnInput(c); }),
      other_server_(loop,
                    [this](ScriptedServer::Connection& c) { OnInput(c); }),
      slow_writer_(loop, kSlowLinkBytesPerSecond),
      slow_server_(loop,
                   [this](ScriptedServer::Connection& c) { OnInput(c); }) {}

std::string FakeStore::endpoint() const {
  return LoopbackEndpoint(server_.port());
}

std::string FakeStore::other_endpoint() const {
  return LoopbackEndpoint(other_server_.port());
}

std::string FakeStore::slow_endpoint() const {
  return LoopbackEndpoint(slow_server_.port());
}

bool FakeStore::IsSlow(const ScriptedServer::Connection& connection) const {
  return IsFrom(slow_server_, connection);
}

bool FakeStore::IsUp(const ScriptedServer::Connection& connection) const {
  return up_ && (other_up_ || !IsFrom(other_server_, connection));
}

void FakeStore::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  tables_[table][key] = {value, ++version_, false};
  Notify();
}

bool FakeStore::Has(const std::string& table, const std::string& key) const {
  const auto it = tables_.find(table);
  if (it == tables_.end()) return false;
  const auto row = it->second.find(key);
  return row != it->second.end() && !row->second.removed;
}

std::string FakeStore::ValueOf(const std::string& table,
                               const std::string& key) const {
  return Has(table, key) ? tables_.at(table).at(key).value : "";
}

void FakeStore::Restore(const Copy& copy) {
  tables_ = copy.tables;
  version_ = copy.version;
  ++generation_;
  for (const Watcher& watcher : watchers_) watcher.connection->Close();
  watchers_.clear();
}

std::size_t FakeStore::RowCount(const std::string& table) const {
  const auto it = tables_.find(table);
  if (it == tables_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(it->second.begin(), it->second.end(),
                    [](const auto& entry) { return !entry.second.removed; }));
}

bool FakeStore::ConditionsHold(const std::string& body) const {
  const Json transaction = Json::parse(body);
  for (const Json& row : transaction.value("expected", Json::array())) {
    std::uint64_t version = 0;
    if (Has(row["table"], row["key"])) {
      const std::string table = row["table"];
      const std::string key = row["key"];
      version = tables_.at(table).at(key).version;
    }
    if (version != row["rowVersion"].get<std::uint64_t>()) return false;
  }
  return true;
}

std::uint64_t FakeStore::VersionOf(const std::string& table,
                                   const std::string& key) const {
  return Has(table, key) ? tables_.at(table).at(key).version : 0;
}

void FakeStore::Remove(const std::string& table, const std::string& key) {
  tables_[table][key] = {"", ++version_, true};
  Notify();
}

bool FakeStore::HasPoll(const std::string& table) const {
  return std::any_of(
      watchers_.begin(), watchers_.end(),
      [&table](const Watcher& watcher) { return watcher.table == table; });
}

void FakeStore::set_other_up(bool up) {
  other_up_ = up;
  if (up) return;
  std::erase_if(watchers_, [this](const Watcher& watcher) {
    const bool lost = IsFrom(other_server_, *watcher.connection);
    if (lost) watcher.connection->Close();
    return lost;
  });
}

void FakeStore::set_silent(bool silent) {
  silent_ = silent;
  if (silent) watchers_.clear();
}

std::chrono::milliseconds FakeStore::Now() const {
  if (!clock_runs_since_) return time_;
  return time_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::steady_clock::now() - *clock_runs_since_);
}

bool FakeStore::HasRowsAfter(const std::string& table,
                             std::uint64_t after) const {
  const auto it = tables_.find(table);
  if (it == tables_.end()) return false;
  return std::any_of(
      it->second.begin(), it->second.end(),
      [after](const auto& entry) { return entry.second.version > after; });
}

std::string FakeStore::RowsAfter(const std::string& table, std::uint64_t after,
                                 bool with_removed) const {
  Json rows = Json::array();
  const auto it = tables_.find(table);
  if (it != tables_.end()) {
    for (const auto& [key, row] : it->second) {
      if (row.version <= after || (row.removed && !with_removed)) continue;
      Json json{{"table", table},
                {"part", ""},
                {"key", key},
                {"value", absl::Base64Escape(row.value)},
                {"rowVersion", row.version}};
      if (row.removed) json["tombstone"] = true;
      rows.push_back(std::move(json));
    }
  }
  return Json{{"rows", std::move(rows)},
              {"rowVersion", version_},
              {"nowMs", Now().count()}}
      .dump();
}

std::string FakeStore::RowsInRange(const std::string& target) const {
  const std::string from = PercentDecode(Parameter(target, "from"));
  const std::string to = PercentDecode(Parameter(target, "to"));
  const std::string limit = Parameter(target, "limit");
  Json answer = Json::parse(RowsAfter(Parameter(target, "table"), 0, false));
  Json rows = Json::array();
  for (const Json& row : answer["rows"]) {
    const std::string key = row["key"];
    if (key < from || (!to.empty() && key >= to)) continue;
    if (!limit.empty() && rows.size() >= std::stoull(limit)) break;
    if (page_rows_ && rows.size() >= *page_rows_) {
      answer["hasMore"] = true;
      break;
    }
    rows.push_back(row);
  }
  answer["rows"] = std::move(rows);
  return answer.dump();
}

void FakeStore::Reply(ScriptedServer::Connection& connection, int status,
                      const std::string& body) {
  std::string named;
  if (generation_ > 0) named = fmt::to_string(generation_);
  const std::string text = generation_text_.value_or(named);
  const std::string field =
      text.empty() ? "" : fmt::format("Store-Era: {}\r\n", text);
  const std::string answer =
      fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status,
                  field, body.size(), body);
  if (IsSlow(connection)) return slow_writer_.Write(connection, answer);
  connection.Write(answer);
}

void FakeStore::Notify() {
  std::vector<Watcher> waiting;
  for (Watcher& watcher : watchers_) {
    if (!HasRowsAfter(watcher.table, watcher.after)) {
      waiting.push_back(std::move(watcher));
      continue;
    }
    Reply(*watcher.connection, 200,
          RowsAfter(watcher.table, watcher.after, true));
  }
  watchers_ = std::move(waiting);
}

void FakeStore::OnFeed(ScriptedServer::Connection& connection,
                       const std::string& target) {
  const std::string table = Parameter(target, "table");
  const std::uint64_t after = std::stoull(Parameter(target, "after"));
  if (Parameter(target, "waitMs") == "0") {
    ++checks_;
    return Reply(connection, 200, RowsAfter(table, after, true));
  }
  watchers_.push_back({connection.shared_from_this(), table, after});
  Notify();
}

void FakeStore::OnInput(ScriptedServer::Connection& connection) {
  while (const auto request = TakeRequest(connection.input)) {
    if (silent_) continue;
    if (!IsUp(connection)) {
      Reply(connection, 503, "");
      continue;
    }
    const std::string target = request->path();
    const std::string table = Parameter(target, "table");
    if (target.starts_with("/rows-get") && refused_reads_[table]-- > 0) {
      Reply(connection, 503, "");
    } else if (target.starts_with("/rows-get")) {
      Reply(connection, 200, RowsInRange(target));
    } else if (target.starts_with("/rows-feed")) {
      if (std::stoull(Parameter(target, "after")) > version_) {
        Reply(connection, 410, "");
        continue;
      }
      OnFeed(connection, target);
    } else if (target == "/rows-tx") {
      const Json transaction = Json::parse(request->body);
      if (!ConditionsHold(request->body)) {
        Reply(connection, 412, "");
        continue;
      }
      for (const Json& row : transaction["remove"]) {
        Remove(row["table"], row["key"]);
      }
      if (transaction["put"].empty()) {
        Reply(connection, 200, Json{{"rowVersion", version_}}.dump());
        continue;
      }
      if (refused_[transaction["put"][0]["table"]]-- > 0) {
        Reply(connection, 503, "");
        continue;
      }
      ++version_;
      for (const Json& put : transaction["put"]) {
        std::string value;
        absl::Base64Unescape(put["value"].get<std::string>(), &value);
        tables_[put["table"]][put["key"]] = {value, version_, false};
      }
      Notify();
      Reply(connection, 200, Json{{"rowVersion", version_}}.dump());
    } else {
      Reply(connection, 404, "");
    }
  }
}

}  // namespace yuccapick
