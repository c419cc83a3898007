#include "yuccapick/engine_protocol.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace yuccapick {
namespace {

TEST_CASE("The request body contains salt, priority and continuation") {
  AttemptRequest request;
  request.model = ModelId("moor-8b");
  request.adapter = AdapterId("notes");
  request.cache_salt = ~0ULL;
  request.urgent = true;
  request.streamed = true;
  request.continuation = "so far";
  request.resume_from = 4;
  request.body = R"({"model":"alias","first_position":99,"max_tokens":7})";
  const auto body = nlohmann::json::parse(EngineRequestBody(request).value());
  CHECK(body["model"] == "moor-8b");
  CHECK(body["adapter"] == "notes");
  CHECK(body["cache_salt"] == "18446744073709551615");
  CHECK(body["priority"] == 0);
  CHECK(body["continuation"] == "so far");
  CHECK(body["first_position"] == 4);
  CHECK(body["max_tokens"] == 7);
  request.continuation.clear();
  CHECK_FALSE(nlohmann::json::parse(EngineRequestBody(request).value())
                  .contains("first_position"));
  request.body = "[1,";
  CHECK_FALSE(EngineRequestBody(request).ok());
  request.body = "[1]";
  CHECK_FALSE(EngineRequestBody(request).ok());
}

TEST_CASE("Answers of the chat and the completion API are parsed") {
  const auto chat = ParseEngineAnswer(
      R"({"id":"a","position":3,"choices":[{"delta":{"content":"hi"}}]})");
  CHECK(chat->position == 3);
  CHECK(chat->text == "hi");
  CHECK_FALSE(chat->usage.has_value());
  const auto last = ParseEngineAnswer(
      R"({"id":"a","choices":[{"text":"","finish_reason":"length"}],"usage":{
        "prompt_tokens":9,"completion_tokens":2,
        "prompt_tokens_details":{"cached_tokens":8}}})");
  CHECK_FALSE(last->position.has_value());
  CHECK(last->usage->cached_tokens == 8);
  CHECK_FALSE(ParseEngineAnswer(R"({"error":"busy"})").ok());
  CHECK_FALSE(ParseEngineAnswer(R"({"id":"a","position":-1})").ok());
}

TEST_CASE("Load and cache events are parsed and unknown kinds skipped") {
  const auto load = ParseEngineLoad(
      R"({"boot_id":"b1","running":2,"loaded":[{"model":"m","weights":"v1"}]})");
  CHECK(load->boot_id == "b1");
  CHECK(load->load.running == 2);
  CHECK(load->loaded.at(0).weights == WeightVersion("v1"));
  const auto events = ParseEngineEvents(
      R"({"boot_id":"b1","next":9,"events":[
        {"sequence":8,"kind":"stored","block":"x","request":"a","end_token":5},
        {"sequence":9,"kind":"other"}]})");
  CHECK(events->next_sequence == 9);
  REQUIRE(events->events.size() == 1);
  CHECK(events->events[0].attempt == AttemptId("a"));
}

TEST_CASE("Parsing arbitrary text of an upstream never throws") {
  rc::prop("parsing never throws", [](const std::string& text) {
    static_cast<void>(ParseEngineAnswer(text).ok());
    static_cast<void>(ParseEngineLoad(text).ok());
    static_cast<void>(ParseEngineEvents(text).ok());
  });
}

}  // namespace
}  // namespace yuccapick
