#include <deque>
#include <map>
#include <string>

#include "standin/role.h"
#include "standin/table_store.h"

namespace yuccapick::standin {
namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr std::size_t kScanLimit = 1000;
/// More concurrent fetches than this share the weight store's bandwidth.
constexpr int kMaxFullSpeedFetches = 3;
constexpr std::chrono::minutes kListRetention{5};

/// Token bucket with a capacity of one second.
class RateLimit {
 public:
  explicit RateLimit(double per_second)
      : per_second_(per_second), tokens_(per_second) {}

  bool TryAcquire() {
    if (per_second_ <= 0) return true;
    const Clock::time_point now = Clock::now();
    const std::chrono::duration<double> elapsed = now - updated_;
    updated_ = now;
    tokens_ = std::min(per_second_, tokens_ + elapsed.count() * per_second_);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double per_second_;
  double tokens_;
  Clock::time_point updated_ = Clock::now();
};

Json RowsJson(const std::vector<TableRow>& rows) {
  Json list = Json::array();
  for (const TableRow& row : rows) {
    list.push_back(
        {{"key", row.key}, {"version", row.version}, {"value", row.value}});
  }
  return list;
}

TableTransaction ToTransaction(const Json& body) {
  TableTransaction transaction;
  for (const Json& check : body.value("checks", Json::array())) {
    transaction.checks.push_back(
        {check.value("key", ""), check.value("version", std::uint64_t{0})});
  }
  for (const Json& put : body.value("puts", Json::array())) {
    transaction.puts.push_back({put.value("key", ""), put.value("value", "")});
  }
  for (const Json& key : body.value("deletes", Json::array())) {
    transaction.deletes.push_back(key.get<std::string>());
  }
  return transaction;
}

bool IsWrite(const Request& request) {
  return request.path == "/table/commit" || request.method == "PUT";
}

/// Table service, object store, weight store and instance list.
class Platform : public Role {
 public:
  explicit Platform(Context& context)
      : context_(context),
        writes_(context.options.writes_per_second),
        reads_(context.options.reads_per_second) {}

  void Handle(const Request& request, ResponderPtr responder) override {
    if (request.path.starts_with("/instances")) {
      return HandleInstances(request, responder);
    }
    if (request.path.starts_with("/weights/")) return FetchWeights(responder);
    context_.After(context_.options.latency, [this, request, responder] {
      HandleStore(request, responder);
    });
  }

 private:
  struct InstanceList {
    Clock::time_point since;
    std::map<std::string, Json> instances;
  };

  void HandleStore(const Request& request, const ResponderPtr& responder) {
    if (context_.faults.outage) {
      return responder->SendJson(503, {{"error", "service unavailable"}});
    }
    RateLimit& limit = IsWrite(request) ? writes_ : reads_;
    if (!limit.TryAcquire()) {
      return responder->SendJson(429,
                                 {{"error", "too many requests per second"}});
    }
    try {
      Dispatch(request, responder);
    } catch (const nlohmann::json::exception& failure) {
      responder->SendJson(400, {{"error", failure.what()}});
    }
  }

  void Dispatch(const Request& request, const ResponderPtr& responder) {
    const Json body = request.Json();
    if (request.path == "/table/commit") return Commit(body, responder);
    if (request.path == "/table/read") return Read(body, responder);
    if (request.path == "/table/scan") return Scan(body, responder);
    if (request.path.starts_with("/objects/")) {
      return HandleObject(request, responder);
    }
    SendNotFound(request, responder);
  }

  void Commit(const Json& body, const ResponderPtr& responder) {
    const auto conflicts = table_.Commit(ToTransaction(body));
    if (context_.ShouldInject(context_.faults.lose_answer)) {
      return responder->Abort();
    }
    if (conflicts.empty()) return responder->SendJson(200, {{"applied", true}});
    responder->SendJson(
        409, {{"applied", false}, {"conflicts", RowsJson(conflicts)}});
  }

  void Read(const Json& body, const ResponderPtr& responder) {
    std::vector<TableRow> rows;
    for (const Json& key : body.value("keys", Json::array())) {
      TableRow row = table_.Row(key.get<std::string>());
      if (row.version != 0) rows.push_back(std::move(row));
    }
    responder->SendJson(200, {{"rows", RowsJson(rows)}});
  }

  void Scan(const Json& body, const ResponderPtr& responder) {
    const auto rows =
        table_.Scan(body.value("prefix", ""), body.value("after", ""),
                    body.value("limit", kScanLimit));
    responder->SendJson(200, {{"rows", RowsJson(rows)}});
  }

  void HandleObject(const Request& request, const ResponderPtr& responder) {
    if (request.method == "PUT") {
      const auto [it, added] = objects_.emplace(request.path, request.body);
      const bool same = added || it->second == request.body;
      return responder->SendJson(same ? 200 : 409, {{"stored", same}});
    }
    auto it = objects_.find(request.path);
    if (it == objects_.end()) return SendNotFound(request, responder);
    responder->Send(200, "application/octet-stream", it->second);
  }

  void FetchWeights(const ResponderPtr& responder) {
    ++fetches_;
    const double slowdown =
        std::max(1.0, static_cast<double>(fetches_) / kMaxFullSpeedFetches);
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
        context_.options.weights_time * slowdown);
    context_.After(time, [this, responder] {
      --fetches_;
      responder->SendJson(200, {{"fetched", true}});
    });
  }

  void HandleInstances(const Request& request, const ResponderPtr& responder) {
    const std::string root = "/instances/";
    if (request.path.size() <= root.size()) {
      return responder->SendJson(200, {{"instances", VisibleInstances()}});
    }
    const std::string id = request.path.substr(root.size());
    InstanceList next = lists_.back();
    next.since = Clock::now();
    if (request.method == "DELETE") {
      next.instances.erase(id);
    } else {
      Json instance = request.Json();
      instance["id"] = id;
      next.instances[id] = std::move(instance);
    }
    lists_.push_back(std::move(next));
    while (lists_.size() > 1 &&
           lists_[1].since + kListRetention < Clock::now()) {
      lists_.pop_front();
    }
    responder->SendJson(200, {{"id", id}});
  }

  Json VisibleInstances() const {
    const Clock::time_point visible_until =
        Clock::now() - context_.faults.list_lag;
    auto it = lists_.rbegin();
    while (std::next(it) != lists_.rend() && it->since > visible_until) ++it;
    Json list = Json::array();
    for (const auto& [id, instance] : it->instances) list.push_back(instance);
    return list;
  }

  Context& context_;
  RateLimit writes_;
  RateLimit reads_;
  TableStore table_;
  std::map<std::string, std::string> objects_;
  std::deque<InstanceList> lists_{InstanceList{}};
  int fetches_ = 0;
};

}  // namespace

std::unique_ptr<Role> MakePlatform(Context& context) {
  return std::make_unique<Platform>(context);
}

}  // namespace yuccapick::standin
