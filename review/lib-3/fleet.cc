#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

std::uint64_t NumberOf(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << NowMs() << " " << line << std::endl;
}

std::string EncodeBase64(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group <<= 8;
      if (i + k < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[i + k]);
      }
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool padding = i + k > bytes.size();
      out.push_back(padding ? '=' : kBase64[(group >> (18 - 6 * k)) & 63]);
    }
  }
  return out;
}

std::string DecodeBase64(const std::string& text) {
  std::string out;
  unsigned group = 0;
  int bits = 0;
  const std::string alphabet(kBase64);
  for (const char c : text) {
    const std::size_t value = alphabet.find(c);
    if (value == std::string::npos) break;
    group = (group << 6) | static_cast<unsigned>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out.push_back(static_cast<char>((group >> bits) & 255));
  }
  return out;
}

Store::Store(const Endpoint& endpoint)
    : server_(endpoint, [this](const Message& request, Connection& connection) {
        return Handle(request, connection);
      }) {}

void Store::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  server_.Stop();
}

void Store::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copied_tables_ = tables_;
  copied_version_ = version_;
}

void Store::Restore(std::int64_t away_ms) {
  Stop();
  SleepMs(away_ms);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_ = copied_tables_;
    version_ = copied_version_;
    ++era_;
    stopped_ = false;
  }
  Start();
}

void Store::Set(const std::string& table, const std::string& key, Row row) {
  row.version = version_;
  tables_[table][key] = std::move(row);
}

void Store::Put(const std::string& table, const std::string& key,
                const Json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++version_;
  Set(table, key, {EncodeBase64(value.dump()), 0, false});
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!tables_[table].contains(key)) return;
  ++version_;
  Set(table, key, {"", 0, true});
  changed_.notify_all();
}

std::map<std::string, std::string> Store::Rows(const std::string& table) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, std::string> rows;
  for (const auto& [key, row] : tables_[table]) {
    if (!row.removed) rows[key] = DecodeBase64(row.value);
  }
  return rows;
}

Json Store::RowJson(const std::string& table, const std::string& key,
                    const Row& row) {
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

std::string Store::Answer(int status, Json body) const {
  body["rowVersion"] = version_;
  body["nowMs"] = NowMs() + 1'000'000;
  return MakeResponse(status,
                      {{"Content-Type", "application/json"},
                       {"Store-Era", std::to_string(era_)}},
                      body.dump());
}

std::string Store::Get(const Message& request) {
  const std::string table = PercentDecode(request.Query("table"));
  const std::string from = PercentDecode(request.Query("from"));
  const std::string limit = request.Query("limit");
  const std::size_t most = limit.empty() ? 500 : NumberOf(limit);
  const std::lock_guard<std::mutex> lock(mutex_);
  Json rows = Json::array();
  bool more = false;
  for (const auto& [key, row] : tables_[table]) {
    if (row.removed || key < from) continue;
    more = rows.size() == most;
    if (more) break;
    rows.push_back(RowJson(table, key, row));
  }
  return Answer(kOk, {{"rows", rows}, {"hasMore", more}});
}

std::string Store::Feed(const Message& request) {
  const std::string table = PercentDecode(request.Query("table"));
  const std::uint64_t after = NumberOf(request.Query("after"));
  const auto until =
      Clock::now() + milliseconds(NumberOf(request.Query("waitMs")));
  std::unique_lock<std::mutex> lock(mutex_);
  if (after > version_) return Answer(kGone, {{"rows", Json::array()}});
  while (true) {
    std::vector<std::pair<std::uint64_t, Json>> found;
    for (const auto& [key, row] : tables_[table]) {
      if (row.version <= after) continue;
      found.emplace_back(row.version, RowJson(table, key, row));
    }
    if (!found.empty() || stopped_ || Clock::now() >= until) {
      std::sort(found.begin(), found.end(),
                [](const auto& a, const auto& b) { return a.first < b.first; });
      Json rows = Json::array();
      for (auto& [version, row] : found) rows.push_back(std::move(row));
      return Answer(kOk, {{"rows", rows}, {"hasMore", false}});
    }
    changed_.wait_until(lock, until);
  }
}

std::string Store::Transact(const Message& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded()) return MakeResponse(kBadRequest, {}, "");
  const std::lock_guard<std::mutex> lock(mutex_);
  Json conflicts = Json::array();
  for (const Json& it : body.value("expected", Json::array())) {
    const std::string table = it.at("table");
    const std::string key = it.at("key");
    const auto row = tables_[table].find(key);
    const bool exists = row != tables_[table].end() && !row->second.removed;
    const std::uint64_t version = exists ? row->second.version : 0;
    if (version == it.at("rowVersion").get<std::uint64_t>()) continue;
    Json conflict{{"table", table}, {"key", key}};
    if (exists) conflict = RowJson(table, key, row->second);
    conflicts.push_back(std::move(conflict));
  }
  if (!conflicts.empty()) {
    return Answer(kPreconditionFailed, {{"rows", conflicts}});
  }
  ++version_;
  for (const Json& it : body.value("put", Json::array())) {
    Set(it.at("table"), it.at("key"), {it.at("value"), 0, false});
  }
  for (const Json& it : body.value("remove", Json::array())) {
    Set(it.at("table"), it.at("key"), {"", 0, true});
  }
  changed_.notify_all();
  return Answer(kOk, {{"rows", Json::array()}});
}

bool Store::Handle(const Message& request, Connection& connection) {
  constexpr std::int64_t kCallMs = 4;
  SleepMs(kCallMs);
  if (request.Path() == "/rows-get") return connection.Write(Get(request));
  if (request.Path() == "/rows-feed") return connection.Write(Feed(request));
  if (request.Path() == "/rows-tx") return connection.Write(Transact(request));
  return connection.Write(MakeResponse(kBadRequest, {}, ""));
}

Json SmallBounds() {
  return {{"seedLagS", 3},         {"reuseAfterS", 2},
          {"contactMs", 3000},     {"ackMs", 4000},
          {"catchUpS", 4},         {"drainMs", 2000},
          {"graceS", 8},           {"lossSlackMs", 200},
          {"configMs", 2000},      {"downgradeSlackMs", 250},
          {"outerMs", 5000},       {"retryBudgetRatio", 0.2},
          {"budgetWindowS", 10},   {"budgetSlack", 104},
          {"recoveryS", 12},       {"transitMs", 120},
          {"reuseWindowS", 10},    {"fencingEnforced", false},
          {"leaseMs", 3000},       {"thawMs", 300},
          {"versionMs", 8000},     {"versionAllMs", 11000},
          {"revokeStrict", false}, {"revokeMs", 5000}};
}

Gateway::Gateway(GatewayOptions options) : options_(std::move(options)) {}

bool Gateway::Start() {
  const std::string& ip = options_.ip;
  const auto at = [&](int n) {
    return ip + ":" + std::to_string(options_.first_port + n);
  };
  const Json settings{
      {"nodeName", options_.name},
      {"role", "gateway"},
      {"machineClass", "front"},
      {"serves", {"front", "control"}},
      {"ip", ip},
      {"zone", "zone-a"},
      {"region", "region"},
      {"zones", {{"zone-a", "region"}}},
      {"listen", {{"front", at(0)}, {"ready", at(1)}, {"control", at(2)}}},
      {"internalPorts", {options_.first_port + 3, options_.first_port + 5}},
      {"seeds", options_.seeds},
      {"bootstrap", true},
      {"lossCounted", false},
      {"limits",
       {{"cpuShare", 0.13},
        {"cores", 1},
        {"memoryMb", 182},
        {"maxFds", 2940},
        {"linkMbps", 700.0},
        {"diskMb", 0}}},
      {"dataDir", nullptr},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeatMs", 1200},
      {"bounds", options_.bounds},
      {"platform",
       {{"address", options_.store},
        {"form", "table"},
        {"writesPerS", 400},
        {"readsPerS", 2000},
        {"historyS", 20}}}};
  const std::string base = options_.directory + "/" + options_.name;
  std::ofstream(base + ".json") << settings.dump(1) << "\n";
  const std::string variable = "YUCCAPICK_BOOT=" + base + ".json";
  const std::string log = base + ".out";
  started_at_ = NowMs();
  pid_ = ::fork();
  if (pid_ < 0) return false;
  if (pid_ > 0) return true;
  // The process ends with the one that started it.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(fd, STDOUT_FILENO);
  ::dup2(fd, STDERR_FILENO);
  std::string name = options_.program;
  std::string role = "gateway";
  std::string env = variable;
  char* argv[] = {name.data(), role.data(), nullptr};
  char* envp[] = {env.data(), nullptr};
  ::execve(name.c_str(), argv, envp);
  ::_exit(kExitNotRun);
}

void Gateway::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

void Gateway::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool Gateway::HasEnded() {
  if (pid_ <= 0) return true;
  if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

bool Gateway::IsReady() const {
  constexpr milliseconds kWait{500};
  const auto connection =
      Connection::Open({options_.ip, options_.first_port + 1}, kWait);
  if (connection == nullptr) return false;
  connection->SetReadTimeout(kWait);
  Message response;
  return connection->Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->ReadResponseHead(response) && response.status == kOk;
}

bool Gateway::AwaitReady(std::int64_t limit_ms) const {
  constexpr std::int64_t kPollMs = 50;
  const std::int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (IsReady()) return true;
    SleepMs(kPollMs);
  }
  return false;
}

std::optional<CaseOptions> ReadCaseOptions(int argc, char** argv) {
  if (argc != 4) return std::nullopt;
  const char* trouble = std::getenv("TROUBLE");
  return CaseOptions{argv[1], argv[2], argv[3],
                     trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace review
