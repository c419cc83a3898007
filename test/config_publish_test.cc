#include "yuccapick/config_publish.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "yuccapick/config_references.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// In-memory table and object store; commits check row versions.
struct FakePlatform {
  std::map<std::string, TableRow> rows;
  ConfigContents objects;

  std::vector<TableRow> Read(const std::vector<std::string>& keys) const {
    std::vector<TableRow> found;
    for (const std::string& key : keys) {
      const auto it = rows.find(key);
      if (it != rows.end()) found.push_back(it->second);
    }
    return found;
  }

  CommitResult Commit(const TableTransaction& transaction) {
    CommitResult result{WriteResult::kApplied, {}};
    for (const TableCheck& check : transaction.checks) {
      const TableRow row = rows.contains(check.key)
                               ? rows[check.key]
                               : TableRow{check.key, "", 0};
      if (row.version == check.version) continue;
      result.result = WriteResult::kNotApplied;
      result.conflicts.push_back(row);
    }
    if (result.result != WriteResult::kApplied) return result;
    for (const TablePut& put : transaction.puts) {
      TableRow& row = rows[put.key];
      row = {put.key, put.value, row.version + 1};
    }
    return result;
  }

  ConfigHead Head() const {
    const auto it = rows.find(std::string(kConfigHeadKey));
    return it == rows.end() ? ConfigHead()
                            : ParseHead(it->second.value).value();
  }
};

ConfigSnapshot Snapshot(int a, int b) {
  ConfigSnapshot snapshot;
  snapshot.teams = {{TeamId("mast-crew"), {std::string(64, 'a')}, 1}};
  snapshot.models = {{ModelId("moor-8b"), WeightVersion("1"), {}, 1}};
  ServiceConfig first;
  first.id = ServiceId("a");
  first.models = {ModelId("moor-8b")};
  first.max_concurrency = static_cast<std::uint32_t>(a);
  ServiceConfig second = first;
  second.id = ServiceId("b");
  second.max_concurrency = static_cast<std::uint32_t>(b);
  snapshot.services = {first, second};
  return snapshot;
}

/// A publish whose calls are answered step by step, with injected faults.
class SimulatedPublish {
 public:
  SimulatedPublish(FakePlatform& platform, PublishRequest request)
      : platform_(platform), publisher_(std::move(request)) {
    Process(publisher_.Start(now_));
  }

  bool done() const { return result_.has_value(); }
  const PublishResult& result() const { return *result_; }

  /// Answers the oldest call.
  /// @param fault 0: none, 1: the call fails, 2: the response to a commit is
  /// lost
  void Step(int fault) {
    if (calls_.empty()) return;
    const PublishAction call = calls_.front();
    calls_.pop_front();
    now_ += milliseconds(10);
    std::visit([&](const auto& c) { Answer(c, fault); }, call);
  }

  void Finish() {
    for (int i = 0; i < 10'000 && !done(); ++i) Step(0);
  }

 private:
  void Handle(const PublishEvent& event) {
    Process(publisher_.Handle(event, now_));
  }
  void Process(const PublishActions& actions) {
    for (const PublishAction& action : actions) {
      if (const auto* end = std::get_if<PublishFinished>(&action)) {
        result_ = end->result;
      } else {
        calls_.push_back(action);
      }
    }
  }
  void Answer(const ReadRows& call, int fault) {
    if (fault == 1) return Handle(RowsRead{});
    Handle(RowsRead{true, platform_.Read(call.keys)});
  }
  void Answer(const FetchObject& call, int fault) {
    const auto it = platform_.objects.find(call.hash);
    if (fault == 1 || it == platform_.objects.end()) {
      return Handle(ObjectFetched{call.hash, absl::UnavailableError("out")});
    }
    Handle(ObjectFetched{call.hash, it->second});
  }
  void Answer(const StoreObject& call, int fault) {
    if (fault != 1) platform_.objects[call.hash] = call.content;
    Handle(ObjectStored{call.hash, fault != 1});
  }
  void Answer(const CommitRows& call, int fault) {
    if (fault == 1) return Handle(RowsCommitted{{WriteResult::kUnknown, {}}});
    CommitResult result = platform_.Commit(call.transaction);
    if (fault == 2) result = {WriteResult::kUnknown, {}};
    Handle(RowsCommitted{result});
  }
  void Answer(const WaitUntil& call, int /*fault*/) {
    now_ = std::max(now_, call.when);
    Handle(WaitElapsed{});
  }
  void Answer(const PublishFinished& /*call*/, int /*fault*/) {}

  FakePlatform& platform_;
  TimePoint now_;
  ConfigPublisher publisher_;
  std::deque<PublishAction> calls_;
  std::optional<PublishResult> result_;
};

PublishRequest Request(const std::string& id, const ConfigSnapshot& snapshot) {
  PublishRequest request;
  request.documents = ToDocuments(snapshot);
  request.publish_id = id;
  request.operator_name = id;
  return request;
}

PublishResult Publish(FakePlatform& platform, PublishRequest request) {
  SimulatedPublish run(platform, std::move(request));
  run.Finish();
  return run.result();
}

TEST_CASE("The first publish becomes version 1 and a repeat changes nothing") {
  FakePlatform platform;
  const PublishResult first = Publish(platform, Request("ana", Snapshot(1, 1)));
  CHECK(first.outcome == PublishOutcome::kPublished);
  CHECK(first.version == ConfigVersion(1));
  CHECK(Publish(platform, Request("ben", Snapshot(1, 1))).outcome ==
        PublishOutcome::kUnchanged);
}

TEST_CASE("A commit whose response was lost is recognised by its publish id") {
  FakePlatform platform;
  SimulatedPublish run(platform, Request("ana", Snapshot(1, 1)));
  while (platform.Head().version == ConfigVersion(0)) run.Step(2);
  Publish(platform, Request("ben", Snapshot(2, 1)));
  run.Finish();
  CHECK(run.result().outcome == PublishOutcome::kPublished);
  CHECK(run.result().version == ConfigVersion(1));
  CHECK(platform.Head().version == ConfigVersion(2));
}

TEST_CASE(
    "Changes of different services are merged and of the same one conflict") {
  FakePlatform platform;
  Publish(platform, Request("start", Snapshot(1, 1)));
  Publish(platform, Request("ana", Snapshot(2, 1)));
  PublishRequest other = Request("ben", Snapshot(1, 7));
  other.base = ConfigVersion(1);
  const PublishResult merged = Publish(platform, other);
  CHECK(merged.outcome == PublishOutcome::kPublished);
  CHECK(merged.merged);
  CHECK(platform.Head().index_hash ==
        Sha256Hex(SerialiseIndex(ToDocuments(Snapshot(2, 7)).index)));
  PublishRequest same = Request("cay", Snapshot(3, 1));
  same.base = ConfigVersion(1);
  const PublishResult conflict = Publish(platform, same);
  CHECK(conflict.outcome == PublishOutcome::kConflict);
  CHECK(conflict.message ==
        "version 3 by ben was published first and also changed services/a; "
        "apply it to your files (yuccapick show configuration), then publish "
        "again with --base 3");
}

TEST_CASE("A merge that leaves a dangling reference is a conflict") {
  FakePlatform platform;
  ConfigSnapshot start = Snapshot(1, 1);
  start.models.push_back({ModelId("fen-3b"), WeightVersion("1"), {}, 1});
  std::sort(start.models.begin(), start.models.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  Publish(platform, Request("start", start));
  Publish(platform, Request("ana", Snapshot(1, 1)));
  ConfigSnapshot uses = start;
  uses.services[0].models = {ModelId("fen-3b")};
  PublishRequest request = Request("ben", uses);
  request.base = ConfigVersion(1);
  const PublishResult result = Publish(platform, request);
  CHECK(result.outcome == PublishOutcome::kConflict);
  CHECK(result.message.find("names model 'fen-3b'") != std::string::npos);
  CHECK(platform.Head().version == ConfigVersion(2));
}

TEST_CASE("Rolling forward publishes earlier content as a new version") {
  FakePlatform platform;
  Publish(platform, Request("ana", Snapshot(1, 1)));
  const std::string first = platform.Head().index_hash;
  Publish(platform, Request("ben", Snapshot(2, 1)));
  PublishRequest request;
  request.publish_id = "cay";
  request.restore = ConfigVersion(1);
  CHECK(Publish(platform, request).version == ConfigVersion(3));
  CHECK(platform.Head().index_hash == first);
  CHECK(platform.Head().restored == ConfigVersion(1));
}

TEST_CASE("A dry run writes nothing") {
  FakePlatform platform;
  PublishRequest request = Request("ana", Snapshot(1, 1));
  request.dry_run = true;
  const PublishResult result = Publish(platform, request);
  CHECK(result.outcome == PublishOutcome::kDryRun);
  CHECK(result.changes.size() == 4);
  CHECK(platform.rows.empty());
  CHECK(platform.objects.empty());
}

TEST_CASE("An outage ends as unavailable and an unresolved commit as unknown") {
  FakePlatform platform;
  SimulatedPublish unavailable(platform, Request("ana", Snapshot(1, 1)));
  for (int i = 0; i < 10'000 && !unavailable.done(); ++i) unavailable.Step(1);
  CHECK(unavailable.result().outcome == PublishOutcome::kUnavailable);
  SimulatedPublish unresolved(platform, Request("ben", Snapshot(1, 1)));
  while (platform.rows.empty()) {
    unresolved.Step(platform.objects.size() < 5 ? 0 : 2);
  }
  for (int i = 0; i < 10'000 && !unresolved.done(); ++i) unresolved.Step(1);
  CHECK(unresolved.result().outcome == PublishOutcome::kUnknown);
}

/// Checks that the history has no gaps, that each publish id occurs at most
/// once, and that each result matches the table.
void CheckHistory(
    const FakePlatform& platform,
    const std::vector<std::unique_ptr<SimulatedPublish>>& operators) {
  std::map<std::string, ConfigVersion> published;
  const ConfigHead head = platform.Head();
  std::string base;
  for (ConfigVersion v(1); v <= head.version; v = v.Next()) {
    const auto row = platform.rows.find(ConfigHistoryKey(v));
    RC_ASSERT(row != platform.rows.end());
    const ConfigHead entry = ParseHead(row->second.value).value();
    RC_ASSERT(entry.version == v);
    RC_ASSERT(entry.base_hash == base);
    RC_ASSERT(published.emplace(entry.publish_id, v).second);
    base = entry.index_hash;
  }
  for (std::size_t i = 0; i < operators.size(); ++i) {
    const PublishResult& result = operators[i]->result();
    const auto it = published.find(std::to_string(i));
    if (result.outcome == PublishOutcome::kPublished) {
      RC_ASSERT(it != published.end());
      RC_ASSERT(it->second == result.version);
    } else if (result.outcome != PublishOutcome::kUnknown) {
      RC_ASSERT(it == published.end());
    }
  }
}

TEST_CASE(
    "Results of concurrent publishes with lost responses match the table") {
  rc::prop("each publish is in the history at most once, as reported", [] {
    FakePlatform platform;
    std::vector<std::unique_ptr<SimulatedPublish>> operators;
    const int count = *rc::gen::inRange(2, 5);
    for (int i = 0; i < count; ++i) {
      const int a = *rc::gen::inRange(0, 3);
      const int b = *rc::gen::inRange(0, 3);
      operators.push_back(std::make_unique<SimulatedPublish>(
          platform, Request(std::to_string(i), Snapshot(a, b))));
    }
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, count), rc::gen::inRange(0, 3)));
    for (const auto& [index, fault] : steps) operators[index]->Step(fault);
    for (const auto& one : operators) one->Finish();
    CheckHistory(platform, operators);
  });
}

}  // namespace
}  // namespace yuccapick
