#include "yuccapick/config_sync.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "yuccapick/control_message.h"
#include "yuccapick/distribution_tree.h"

namespace yuccapick {
namespace {

const TimePoint kStart{std::chrono::seconds(1000)};

struct Published {
  ConfigHead head;
  ConfigDocuments documents;
};

/// A history in which version n sets one service's limit to n.
std::vector<Published> MakeHistory(std::uint64_t versions) {
  std::vector<Published> history;
  ConfigSnapshot snapshot;
  for (const char* name : {"a", "b"}) {
    ServiceConfig service;
    service.id = ServiceId(name);
    snapshot.services.push_back(service);
  }
  ConfigIndex before;
  for (std::uint64_t v = 1; v <= versions; ++v) {
    snapshot.services[v % 2].max_concurrency = static_cast<std::uint32_t>(v);
    Published next{{}, ToDocuments(snapshot)};
    const std::string index = SerialiseIndex(next.documents.index);
    next.head.version = ConfigVersion(v);
    next.head.index_hash = Sha256Hex(index);
    if (v > 1) next.head.base_hash = Sha256Hex(SerialiseIndex(before));
    next.head.changes = Diff(before, next.documents.index);
    next.documents.contents[next.head.index_hash] = index;
    before = next.documents.index;
    history.push_back(next);
  }
  return history;
}

void Fetch(ConfigSync& sync, const Published& published) {
  for (const std::string& hash : sync.HashesToFetch(kStart)) {
    sync.OnContents({{hash, published.documents.contents.at(hash)}});
  }
}

TEST_CASE("A fresh process fetches the index, then the documents") {
  const auto history = MakeHistory(2);
  ConfigSync sync{ConfigSyncOptions{}};
  sync.OnHead(history[1].head);
  CHECK(sync.Install() == nullptr);
  Fetch(sync, history[1]);
  CHECK(sync.Install() == nullptr);
  Fetch(sync, history[1]);
  REQUIRE(sync.Install() != nullptr);
  CHECK(sync.version() == ConfigVersion(2));
  CHECK(sync.config()->content_hash == history[1].head.index_hash);
}

TEST_CASE("The next version costs one document") {
  const auto history = MakeHistory(2);
  ConfigSync sync{ConfigSyncOptions{}};
  sync.OnHead(history[0].head);
  sync.OnContents(history[0].documents.contents);
  REQUIRE(sync.Install() != nullptr);
  sync.OnHead(history[1].head);
  CHECK(sync.HashesToFetch(kStart).size() == 1);
  CHECK(sync.HashesToFetch(kStart).empty());
  CHECK(sync.HashesToFetch(kStart + std::chrono::seconds(1)).size() == 1);
}

TEST_CASE("Contents that do not match their hash are dropped") {
  const auto history = MakeHistory(1);
  ConfigSync sync{ConfigSyncOptions{}};
  sync.OnHead(history[0].head);
  ConfigContents wrong;
  for (const auto& [hash, content] : history[0].documents.contents) {
    wrong[hash] = content + " ";
  }
  sync.OnContents(wrong);
  CHECK(sync.Install() == nullptr);
}

TEST_CASE("A process without the table takes the version of a peer") {
  const std::uint64_t versions = GENERATE(1, 2, 3);
  const auto history = MakeHistory(versions);
  ConfigSync peer{ConfigSyncOptions{}};
  for (const Published& published : history) {
    peer.OnHead(published.head);
    peer.OnContents(published.documents.contents);
    peer.Install();
  }
  ConfigSync fresh{ConfigSyncOptions{}};
  fresh.OnPeerVersion(peer.version());
  CHECK(fresh.behind_peers());
  const auto message = DecodeControl(
      EncodeControl({peer.version(), peer.BundleFor(fresh.version())}));
  REQUIRE(message.ok());
  fresh.OnHead(message->bundle.head);
  fresh.OnContents(message->bundle.contents);
  REQUIRE(fresh.Install() != nullptr);
  CHECK(fresh.version() == ConfigVersion(versions));
  CHECK_FALSE(fresh.behind_peers());
  CHECK(peer.BundleFor(fresh.version()).head.version.value == 0);
}

TEST_CASE("Versions only rise, whatever arrives in whatever order") {
  const auto history = MakeHistory(6);
  rc::prop("the version in force never falls and matches its content", [&] {
    ConfigSync sync{ConfigSyncOptions{}};
    ConfigVersion before;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 6)));
    for (const auto& [kind, which] : steps) {
      const Published& published = history[which];
      if (kind == 0) sync.OnHead(published.head);
      if (kind == 1) sync.OnContents(published.documents.contents);
      if (kind == 2) sync.OnPeerVersion(published.head.version);
      const ConfigPtr installed = sync.Install();
      RC_ASSERT(sync.version() >= before);
      before = sync.version();
      if (installed == nullptr) continue;
      const Published& expected = history[installed->version.value - 1];
      RC_ASSERT(installed->content_hash == expected.head.index_hash);
    }
  });
}

TEST_CASE("A malformed control message is an error") {
  CHECK_FALSE(DecodeControl("").ok());
  CHECK_FALSE(DecodeControl("\x81\xa4have\xa1x").ok());
}

TEST_CASE("The tree reaches every one of 2,660 processes in three pushes") {
  std::vector<InstanceId> members;
  for (int i = 0; i < 2'660; ++i) {
    members.emplace_back("node-" + std::to_string(i));
  }
  const DistributionTree tree(members);
  std::vector<InstanceId> reached;
  std::size_t depth = 0;
  for (const InstanceId& id : tree.members()) {
    if (tree.IsRoot(id)) reached.push_back(id);
    for (const InstanceId& child : tree.ChildrenOf(id)) {
      reached.push_back(child);
    }
    depth = std::max(depth, tree.DepthOf(id));
  }
  CHECK(reached.size() == members.size());
  std::sort(reached.begin(), reached.end());
  CHECK(std::unique(reached.begin(), reached.end()) == reached.end());
  CHECK(depth == 3);
}

TEST_CASE("Polls of all processes stay within the read budget") {
  CHECK(ConfigPollInterval(3) == std::chrono::milliseconds(500));
  CHECK(ConfigPollInterval(660) == std::chrono::milliseconds(13'200));
}

}  // namespace
}  // namespace yuccapick
