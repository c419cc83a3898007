#include "yuccapick/part_directory.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const UpstreamId kA("a");
const UpstreamId kB("b");
const std::string kStore = "10.0.1.1:80";
const std::vector<PromptPart> kPrompt{
    {"guide", 2'500}, {"log", 3'800}, {"own", 2'900}};

TEST_CASE("The request's own part is not shared") {
  const PartChain chain = SharedChain("v1", kPrompt);
  REQUIRE(chain.size() == 2);
  CHECK(chain[1].tokens == 3'800);
  CHECK(chain[0].hash != SharedChain("v2", kPrompt)[0].hash);
}

TEST_CASE("A part counts only if all parts before it are held") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnEngineChange(kA, {chain[1].hash, true, 3'800}, kStart);
  CHECK(directory.TokensAt(chain, kA, kStart) == 0);
  directory.OnEngineChange(kA, {chain[0].hash, true, 2'500}, kStart);
  CHECK(directory.TokensAt(chain, kA, kStart) == 6'300);
  REQUIRE(directory.Holders(chain, kStart).size() == 1);
  CHECK(directory.Holders(chain, kStart)[0].upstream == kA);
  CHECK(directory.Holders(chain, kStart)[0].importable_tokens == 6'300);
}

TEST_CASE("An eviction of a part, or of its end only, is applied") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnUsed(chain, kA, kStart);
  directory.OnEngineChange(kA, {chain[1].hash, false, 1'600}, kStart);
  CHECK(directory.TokensAt(chain, kA, kStart) == 4'100);
  directory.OnEngineChange(kA, {chain[1].hash, false, 0}, kStart);
  CHECK(directory.TokensAt(chain, kA, kStart) == 2'500);
  REQUIRE(directory.Holders(chain, kStart).size() == 1);
  CHECK(directory.Holders(chain, kStart)[0].importable_tokens == 2'500);
}

TEST_CASE("A cached beginning counts when the rest of the prompt is new") {
  PartDirectory directory;
  const PartChain cached = SharedChain("v1", kPrompt);
  directory.OnUsed(cached, kA, kStart);
  directory.OnExported(cached, kStore, kStart);
  std::vector<PromptPart> other = kPrompt;
  other[1].id = "another document";
  const PartChain chain = SharedChain("v1", other);
  REQUIRE(directory.Holders(chain, kStart).size() == 1);
  CHECK(directory.Holders(chain, kStart)[0].importable_tokens == 2'500);
  CHECK(directory.TokensInStore(chain, kStore, kStart) == 2'500);
}

TEST_CASE("Parts being computed count as expected but cannot be imported") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnSent(chain, kA, kStart);
  CHECK(directory.TokensAt(chain, kA, kStart) == 6'300);
  REQUIRE(directory.Holders(chain, kStart).size() == 1);
  CHECK(directory.Holders(chain, kStart)[0].importable_tokens == 0);
  CHECK(directory.Holders(chain, kStart)[0].expected_tokens == 6'300);
  CHECK(directory.TokensAt(chain, kA, kStart + milliseconds(1'600)) == 0);
  CHECK(directory.Holders(chain, kStart + milliseconds(1'600)).empty());
  directory.OnUsed(chain, kA, kStart);
  CHECK(directory.Holders(chain, kStart)[0].importable_tokens == 6'300);
}

TEST_CASE("Of holders of equally many tokens the most recent user is first") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnUsed(chain, kA, kStart);
  directory.OnUsed(chain, kB, kStart + milliseconds(1));
  const auto holders = directory.Holders(chain, kStart + milliseconds(2));
  REQUIRE(holders.size() == 2);
  CHECK(holders[0].upstream == kB);
  CHECK(holders[1].upstream == kA);
}

TEST_CASE("A restart of an engine or of the store loses what it held") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnUsed(chain, kA, kStart);
  directory.OnExported(chain, kStore, kStart);
  CHECK(directory.TokensInStore(chain, kStore, kStart) == 6'300);
  directory.OnEngineLost(kA);
  CHECK(directory.TokensAt(chain, kA, kStart) == 0);
  directory.OnStoreLost(kStore);
  CHECK(directory.TokensInStore(chain, kStore, kStart) == 0);
}

TEST_CASE("What caches tell of a request's own part is not recorded") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnSent(chain, kA, kStart);
  const std::size_t known = directory.size();
  const std::uint64_t own = PartHash("v1", "own");
  directory.OnHolderUpdate({own, {kA, 2'900, false, {}, false}, true}, kStart);
  directory.OnHolderUpdate({own, {kA, 0, false, {}, false}, true}, kStart);
  CHECK(directory.size() == known);
  CHECK(directory.HoldersOf(own, kStart).empty());
}

TEST_CASE("What the owner of the last part knows is learned") {
  PartDirectory owner;
  PartDirectory asking;
  const PartChain chain = SharedChain("v1", kPrompt);
  owner.OnHolderUpdate({chain[1].hash, {kA, 3'800, false, {}, false}, false},
                       kStart);
  owner.OnHolderUpdate({chain[1].hash, {kB, 3'800, true, {}, false}, false},
                       kStart);
  const TimePoint now = kStart + milliseconds(200);
  asking.OnHoldersLearned(chain, owner.HoldersOf(chain[1].hash, now), now);
  CHECK(asking.TokensAt(chain, kA, now) == 6'300);
  CHECK(asking.TokensAt(chain, kB, now) == 6'300);
  REQUIRE(asking.Holders(chain, now).size() == 2);
  CHECK(asking.Holders(chain, now)[0].importable_tokens == 6'300);
  CHECK(asking.Holders(chain, now)[1].importable_tokens == 0);
  // The age of the knowledge is learned, too.
  CHECK(asking.TokensAt(chain, kB, kStart + milliseconds(1'500)) == 0);
}

TEST_CASE("Of what is known of a holder the newest counts") {
  PartDirectory owner;
  PartDirectory asking;
  const PartChain chain = SharedChain("v1", kPrompt);
  const std::uint64_t part = chain[1].hash;
  owner.OnHolderUpdate({part, {kA, 3'800, false, {}, false}, false}, kStart);
  const auto older = owner.HoldersOf(part, kStart + milliseconds(50));
  owner.OnHolderUpdate({part, {kA, 0, false, {}, false}, false},
                       kStart + milliseconds(60));
  const auto newer = owner.HoldersOf(part, kStart + milliseconds(100));
  asking.OnHoldersLearned(chain, newer, kStart + milliseconds(100));
  CHECK(asking.TokensAt(chain, kA, kStart + milliseconds(100)) == 0);
  asking.OnHoldersLearned(chain, older, kStart + milliseconds(100));
  // Only the part before the evicted one is held.
  CHECK(asking.TokensAt(chain, kA, kStart + milliseconds(100)) == 2'500);
}

TEST_CASE("A part that is computed again after an eviction is expected") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnUsed(chain, kA, kStart);
  directory.OnEngineChange(kA, {chain[1].hash, false, 0}, kStart);
  directory.OnSent(chain, kA, kStart + milliseconds(1));
  CHECK(directory.TokensAt(chain, kA, kStart + milliseconds(1)) == 6'300);
}

TEST_CASE("What an engine holds can be imported while it is used again") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  directory.OnUsed(chain, kA, kStart);
  const TimePoint now = kStart + milliseconds(10);
  directory.OnHoldersLearned(chain, {{kA, 3'800, true, milliseconds(1), false}},
                             now);
  REQUIRE(directory.Holders(chain, now).size() == 1);
  CHECK(directory.Holders(chain, now)[0].importable_tokens == 6'300);
}

TEST_CASE("Each KV store's contents are known apart") {
  PartDirectory directory;
  const PartChain chain = SharedChain("v1", kPrompt);
  const std::string other = "10.0.2.1:80";
  directory.OnExported(chain, kStore, kStart);
  CHECK(directory.TokensInStore(chain, other, kStart) == 0);
  directory.OnExported(chain, other, kStart);
  directory.OnStoreLost(kStore);
  CHECK(directory.TokensInStore(chain, kStore, kStart) == 0);
  CHECK(directory.TokensInStore(chain, other, kStart) == 6'300);
  directory.OnStoreChange(other, {chain[1].hash, false, 0}, kStart);
  CHECK(directory.TokensInStore(chain, other, kStart) == 2'500);
}

TEST_CASE("The owner of a part tells which KV stores hold it") {
  PartDirectory owner;
  PartDirectory asking;
  const PartChain chain = SharedChain("v1", kPrompt);
  const std::uint64_t part = chain[1].hash;
  owner.OnHolderUpdate(
      {part, {UpstreamId(kStore), 3'800, false, {}, true}, false}, kStart);
  asking.OnHoldersLearned(chain, owner.HoldersOf(part, kStart), kStart);
  CHECK(asking.TokensInStore(chain, kStore, kStart) == 6'300);
  CHECK(asking.Holders(chain, kStart).empty());
}

TEST_CASE("A part that is cached again after a late eviction is held") {
  PartDirectory owner;
  const PartChain chain = SharedChain("v1", kPrompt);
  const std::uint64_t part = chain[1].hash;
  owner.OnHolderUpdate({part, {kA, 3'800, false, {}, false}, false}, kStart);
  owner.OnHolderUpdate({part, {kA, 0, false, {}, false}, true}, kStart);
  owner.OnHolderUpdate({part, {kA, 3'800, false, {}, false}, true}, kStart);
  REQUIRE(owner.HoldersOf(part, kStart).size() == 1);
  CHECK(owner.HoldersOf(part, kStart)[0].tokens == 3'800);
}

TEST_CASE("The number of known parts is bounded and the newest stay") {
  PartDirectoryOptions options;
  options.max_parts = 64;
  PartDirectory directory(options);
  for (int i = 0; i < 1'000; ++i) {
    directory.OnEngineChange(kA, {PartHash("v1", std::to_string(i)), true, 100},
                             kStart + milliseconds(i));
  }
  CHECK(directory.size() <= 65);
  const PartChain newest{{PartHash("v1", "999"), 100}};
  CHECK(directory.TokensAt(newest, kA, kStart + milliseconds(1'000)) == 100);
}

}  // namespace
}  // namespace yuccapick
