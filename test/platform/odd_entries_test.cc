#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <string>

#include "gateway/http_connection.h"
#include "platform/engine_calls.h"
#include "platform/operator_rows.h"
#include "platform/table_calls.h"

namespace yuccapick {
namespace {

constexpr std::size_t kDeep = 300'000;

const std::vector<std::string>& OddNumbers() {
  static const std::vector<std::string> numbers{
      "-1",    "3.5",        "1e30",
      "1e300", "-1e300",     "18446744073709551615",
      "1e19",  "4294967297", "9223372036854775808",
      "true",  "null",       "\"4\""};
  return numbers;
}

std::string Nested(char open, char close, std::size_t depth) {
  return std::string(depth, open) + std::string(depth, close);
}

std::string NestedObjects(std::size_t depth) {
  std::string text;
  for (std::size_t i = 0; i < depth; ++i) text += "{\"a\":";
  return text + "1" + std::string(depth, '}');
}

struct EntryText {
  std::string address = "\"10.1.2.3:8080\"";
  std::string slots = "4";
  std::string weights = "3";
  std::string born = "1771623327000";
  std::string models;  ///< In place of the list with `weights`, unless empty.
  std::string more;    ///< Further fields.

  std::string Render() const {
    const std::string list =
        models.empty() ? R"([{"name":"m","version":)" + weights + "}]" : models;
    return R"({"service":"s","address":)" + address +
           R"(,"zone":"z","version":"v1","slots":)" + slots +
           R"(,"state":"ready","models":)" + list + R"(,"born":)" + born +
           more + "}";
  }
};

bool IsUsable(const EntryText& text) {
  return platform::DecodeUpstreamEntry("i-1", text.Render()).has_value();
}

TEST_CASE("A sound entry of an upstream is used") {
  EntryText text;
  text.more = R"(,"unknown":[1.5,{"a":null}])";
  CHECK(IsUsable(text));
}

TEST_CASE("Deeply nested entries end no reader and name no upstream") {
  EntryText list;
  list.models = Nested('[', ']', kDeep);
  CHECK_FALSE(IsUsable(list));
  EntryText objects;
  objects.models = "[" + NestedObjects(kDeep) + "]";
  CHECK_FALSE(IsUsable(objects));
  EntryText unknown;
  unknown.more = ",\"unknown\":" + Nested('[', ']', kDeep);
  CHECK_FALSE(IsUsable(unknown));
  CHECK_FALSE(platform::DecodeUpstreamEntry("i-1", Nested('[', ']', kDeep))
                  .has_value());
}

TEST_CASE("Odd numbers in an entry name no upstream") {
  for (const std::string& number : OddNumbers()) {
    CAPTURE(number);
    EntryText slots;
    slots.slots = number;
    CHECK_FALSE(IsUsable(slots));
    EntryText weights;
    weights.weights = number;
    if (number != "4294967297") CHECK_FALSE(IsUsable(weights));
    EntryText born;
    born.born = number;
    if (number != "4294967297") CHECK_FALSE(IsUsable(born));
  }
}

TEST_CASE("An entry whose address can't be connected to names no upstream") {
  for (const char* address :
       {"\"10.1.2.3:65536\"", "\"10.1.2.3:0\"", "\"10.1.2.3:-1\"",
        "\"10.1.2.3:99999999999999999999\"", "\"10.1.2.3\"", "\"host:80\"",
        "\"10.1.2.3:80 \"", "\"\"", "\":80\"", "\"10.1.2.3:+80\""}) {
    CAPTURE(address);
    EntryText text;
    text.address = address;
    CHECK_FALSE(IsUsable(text));
  }
}

TEST_CASE("A decoded entry has sound values, whatever its bytes") {
  rc::prop("mutated entries", [] {
    std::string text = EntryText().Render();
    const auto mutations =
        *rc::gen::container<std::vector<std::pair<std::size_t, std::string>>>(
            8, rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()),
                             rc::gen::elementOf(OddNumbers())));
    const auto n = *rc::gen::inRange<std::size_t>(0, mutations.size());
    for (std::size_t i = 0; i < n; ++i) {
      const auto& [at, inserted] = mutations[i];
      text.replace(at, std::min<std::size_t>(inserted.size(), 2), inserted);
    }
    const auto entry = platform::DecodeUpstreamEntry("i-1", text);
    if (!entry) return;
    RC_ASSERT(entry->slots > 0U);
    RC_ASSERT(entry->slots <= 1'000'000U);
    RC_ASSERT(ParseEndpoint(entry->endpoint).port() != 0);
    for (const auto& [model, weights] : entry->weights) {
      RC_ASSERT(weights <= (std::uint64_t{1} << 53));
    }
  });
}

TEST_CASE("Target weights of an odd number are not taken") {
  for (const std::string& number : OddNumbers()) {
    if (number == "4294967297") continue;
    CAPTURE(number);
    CHECK_FALSE(platform::DecodeTargetWeights(R"({"model":"m","version":)" +
                                              number + "}")
                    .has_value());
  }
  CHECK_FALSE(platform::DecodeTargetWeights(Nested('[', ']', kDeep)));
}

TEST_CASE("A configuration with odd numbers is an error") {
  const auto decode = [](const std::string& version, const std::string& timeout,
                         const std::string& attempts,
                         const std::string& weight) {
    return platform::DecodeConfig(
        R"({"version":)" + version +
        R"(,"services":[],"routes":[{"name":"r","host":"h","prefix":"/",)"
        R"("kind":"idempotent","timeoutMs":)" +
        timeout + R"(,"maxAttempts":)" + attempts +
        R"(,"split":[{"service":"s","weight":)" + weight + "}]}]}");
  };
  CHECK(decode("1", "1000", "2", "0.5").ok());
  for (const char* number : {"-1", "1e300", "18446744073709551615"}) {
    CAPTURE(number);
    CHECK_FALSE(decode(number, "1000", "2", "0.5").ok());
    CHECK_FALSE(decode("1", number, "2", "0.5").ok());
    CHECK_FALSE(decode("1", "1000", number, "0.5").ok());
  }
  CHECK_FALSE(decode("1", "1000", "2", "-1").ok());
  CHECK_FALSE(decode("1", "1000", "2", "\"x\"").ok());
}

TEST_CASE("Odd numbers in a status report are an error") {
  const auto decode = [](const std::string& number) {
    return platform::DecodeReport(R"({"busy":false,"sequence":)" + number +
                                  R"(,"models":[{"name":"m","version":1}]})");
  };
  CHECK(decode("2").ok());
  for (const char* number : {"-1", "1e300", "2.5"}) {
    CAPTURE(number);
    CHECK_FALSE(decode(number).ok());
  }
}

TEST_CASE("An odd cache event is left out, and the others count") {
  for (const std::string& number : {"-1", "1e300", "2.5", "\"x\"", "null"}) {
    CAPTURE(number);
    const auto events = platform::DecodeCacheEvents(
        R"({"bootEpoch":1,"next":3,"lost":false,"events":[)"
        R"([1,"+","s","1f",)" +
        number + R"(,"m"],[2],7,[2,"+","s","2f",800,"m"]]})");
    REQUIRE(events.ok());
    REQUIRE(events->changes.size() == 1);
    CHECK(events->changes[0].change.tokens == 800);
    CHECK(events->next == 3);
  }
}

}  // namespace
}  // namespace yuccapick
