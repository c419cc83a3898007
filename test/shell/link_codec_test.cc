#include "shell/link_codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

#include "shell/link_auth.h"
#include "shell/link_frame.h"

namespace yuccapick {
namespace {

AttemptRequest SampleRequest() {
  AttemptRequest request;
  request.attempt = AttemptId("r1-7-1");
  request.team = TeamId("moor");
  request.kind = RequestKind::kCompletion;
  request.agent_incarnation = Incarnation(7);
  request.key = IdempotencyKey("k");
  request.fence = FencingToken(3);
  request.claimed = false;
  request.chain = {1, ~0ULL};
  request.deadline = std::chrono::milliseconds(1500);
  request.resume_from = 9;
  request.continuation = "so far";
  request.headers = {{"content-type", "application/json"}};
  request.body = std::string("\0body", 5);
  return request;
}

TEST_CASE("An attempt request is unchanged by encoding and decoding") {
  const auto decoded = Decode<AttemptRequest>(Encode(SampleRequest()));
  REQUIRE(decoded.ok());
  CHECK(Encode(*decoded) == Encode(SampleRequest()));
  CHECK(decoded->chain == SampleRequest().chain);
  CHECK(decoded->body == SampleRequest().body);
  CHECK(decoded->fence == FencingToken(3));
  CHECK_FALSE(decoded->claimed);
}

TEST_CASE("An error keeps its optional retry time when encoded and decoded") {
  AttemptFailed failure;
  failure.error = {ErrorKind::kOverloaded, Execution::kNotRun, "busy",
                   std::chrono::milliseconds(250)};
  const auto decoded = Decode<AttemptFailed>(Encode(failure));
  REQUIRE(decoded.ok());
  CHECK(decoded->error.kind == ErrorKind::kOverloaded);
  CHECK(decoded->error.retry_after == std::chrono::milliseconds(250));
}

TEST_CASE("Every proper prefix of an encoded message is rejected") {
  const std::string complete = Encode(SampleRequest());
  for (std::size_t n = 0; n < complete.size(); ++n) {
    REQUIRE_FALSE(Decode<AttemptRequest>(complete.substr(0, n)).ok());
  }
}

TEST_CASE("Values outside their range are rejected") {
  AttemptFailed failure;
  failure.error.kind = static_cast<ErrorKind>(99);
  CHECK_FALSE(Decode<AttemptFailed>(Encode(failure)).ok());
  AttemptRequest request;
  request.deadline = std::chrono::milliseconds(-1);
  CHECK_FALSE(Decode<AttemptRequest>(Encode(request)).ok());
  AgentReport report;
  report.load.decode_tokens_per_second = -1;
  CHECK_FALSE(Decode<AgentReport>(Encode(report)).ok());
}

TEST_CASE("A claimed array size beyond the payload is rejected") {
  CHECK_FALSE(Decode<AnswerEnd>(std::string("\xdd\xff\xff\xff\xff", 5)).ok());
  CHECK_FALSE(Decode<AnswerEnd>(std::string("\xc6\xff\xff\xff\xff", 5)).ok());
}

TEST_CASE("Decoding malformed input never throws") {
  rc::prop("decoding is total", [](const std::string& bytes) {
    static_cast<void>(Decode<AttemptRequest>(bytes).ok());
    static_cast<void>(Decode<AgentReport>(bytes).ok());
    static_cast<void>(Decode<EngineOrder>(bytes).ok());
  });
  rc::prop("one changed byte never throws", [](std::uint8_t value) {
    std::string bytes = Encode(SampleRequest());
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(value);
    static_cast<void>(Decode<AttemptRequest>(bytes).ok());
  });
}

TEST_CASE("Frames are read back unchanged, however their bytes are split") {
  rc::prop("splitting does not matter",
           [](const std::vector<std::string>& payloads) {
             std::string bytes;
             for (const auto& payload : payloads) {
               AppendFrame(LinkMessageType::kCall, payload, bytes);
             }
             FrameReader reader;
             std::vector<std::string> read;
             while (!bytes.empty()) {
               const auto n =
                   *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
               reader.Append(bytes.substr(0, n));
               bytes.erase(0, n);
               for (auto frame = reader.Peek();
                    frame.ok() && frame->has_value(); frame = reader.Peek()) {
                 read.emplace_back((*frame)->payload);
                 reader.Pop();
               }
             }
             RC_ASSERT(read == payloads);
             RC_ASSERT(reader.buffered_bytes() == 0U);
           });
}

TEST_CASE("A frame that is empty or over the size limit is an error") {
  FrameReader reader(100);
  reader.Append(std::string("\0\0\0\x65", 4));
  CHECK_FALSE(reader.Peek().ok());
  FrameReader empty;
  empty.Append(std::string(4, '\0'));
  CHECK_FALSE(empty.Peek().ok());
}

TEST_CASE("A proof is valid for one role, secret and pair of nonces only") {
  const std::string proof = MakeProof("s", LinkRole::kClient, "a", "b");
  CHECK(proof.size() == kProofBytes);
  CHECK(
      EqualInConstantTime(proof, MakeProof("s", LinkRole::kClient, "a", "b")));
  CHECK(proof != MakeProof("s", LinkRole::kServer, "a", "b"));
  CHECK(proof != MakeProof("t", LinkRole::kClient, "a", "b"));
  CHECK(proof != MakeProof("s", LinkRole::kClient, "b", "a"));
  CHECK(MakeNonce() != MakeNonce());
}

}  // namespace
}  // namespace yuccapick
