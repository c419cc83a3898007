#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "yuccapick/store_generation.h"
#include "yuccapick/table_mirror.h"
#include "yuccapick/target_weights.h"

namespace yuccapick {
namespace {

const ModelId kModel("moor-8b");

/// One table of a store that comes back from copies.
struct RestorableRows {
  std::map<std::string, MirrorRow> rows;
  std::uint64_t version = 0;
  StoreGeneration generation{1};

  void Put(const std::string& key, std::uint64_t value) {
    rows[key] = {key, std::to_string(value), ++version, false};
  }
  void Restore(const RestorableRows& copy) {
    rows = copy.rows;
    version = copy.version;
    generation = generation.Next();
  }
  TableSnapshot Read() const {
    TableSnapshot snapshot;
    for (const auto& [key, row] : rows) snapshot.rows.push_back(row);
    snapshot.as_of = version;
    snapshot.generation = generation;
    return snapshot;
  }
};

/// A reader's call, whose answer may come late.
struct ReadInFlight {
  bool watch = false;
  TablePosition after;  ///< If `watch`.
  StoreGeneration asked_in;
  TableSnapshot answer;
};

/// Reads and watches the table, and keeps the newest target weights.
class Reader {
 public:
  ReadInFlight Ask(const RestorableRows& store) const {
    ReadInFlight call;
    call.asked_in = generations_.current();
    call.watch = mirror_.as_of() > 0 && mirror_.as_of() <= store.version &&
                 mirror_.generation() == call.asked_in;
    call.answer = store.Read();
    call.after = {mirror_.generation(), mirror_.as_of()};
    if (call.watch) {
      std::erase_if(call.answer.rows, [this](const MirrorRow& row) {
        return row.version <= mirror_.as_of();
      });
    }
    return call;
  }

  void OnAnswer(const ReadInFlight& call) {
    const GenerationVerdict verdict =
        generations_.OnAnswer({call.answer.generation, true}, call.asked_in);
    if (!IsUsable(verdict)) return;
    const TableSnapshot& answer = call.answer;
    const std::vector<MirrorRow> changes =
        call.watch
            ? mirror_.OnChanges(
                  {answer.rows, call.after, {answer.generation, answer.as_of}})
            : mirror_.OnSnapshot(answer);
    for (const MirrorRow& row : changes) {
      if (row.removed || row.key != "target") continue;
      weights_.OnTargetSet(kModel, std::stoull(row.value), std::nullopt, {});
    }
  }

  const TableMirror& mirror() const { return mirror_; }
  WeightVersionNumber weights() const { return weights_.Newest(kModel); }

 private:
  StoreGenerations generations_;
  TableMirror mirror_;
  TargetWeightsHistory weights_;
};

TEST_CASE("Over any restorations, weights never go back and rows end right") {
  rc::prop("copies that come back, answers that are late or lost", [] {
    RestorableRows store;
    std::vector<RestorableRows> copies{store};
    std::vector<ReadInFlight> calls;
    Reader reader;
    std::uint64_t written = 0;
    WeightVersionNumber highest = 0;
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      switch (*rc::gen::element(0, 1, 2, 3, 4, 5, 6, 7)) {
        case 0:
          store.Put("target", ++written);
          break;
        case 1:
          store.Put(std::string(1, *rc::gen::element('a', 'b')), written);
          break;
        case 2:
          copies.push_back(store);
          break;
        case 3:
          store.Restore(
              copies[*rc::gen::inRange<std::size_t>(0, copies.size())]);
          break;
        case 4:
        case 5:
          calls.push_back(reader.Ask(store));
          break;
        default: {
          if (calls.empty()) break;
          const auto n = *rc::gen::inRange<std::size_t>(0, calls.size());
          reader.OnAnswer(calls[n]);
          calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(n));
        }
      }
      RC_ASSERT(reader.weights() >= highest);
      highest = reader.weights();
    }
    // The operator writes again, and the store answers.
    if (written > 0) store.Put("target", written);
    for (const ReadInFlight& call : calls) reader.OnAnswer(call);
    for (int i = 0; i < 3; ++i) reader.OnAnswer(reader.Ask(store));
    RC_ASSERT(reader.mirror().Snapshot().rows == store.Read().rows);
    RC_ASSERT(reader.weights() == written);
    RC_CLASSIFY(store.generation > StoreGeneration(2), "several changes");
  });
}

}  // namespace
}  // namespace yuccapick
