#include "yuccapick/operation_record.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

TEST_CASE("An encoded operation decodes to the same record") {
  rc::prop("any answer bytes",
           [](const std::string& body, std::uint64_t fence) {
             OperationRecord record;
             record.state = OperationState::kDone;
             record.fence = FencingToken(fence);
             record.upstream = UpstreamId("booker-1");
             record.writer = "router-1-4";
             record.answer.complete = true;
             record.answer.headers = {{"content-type", "application/json"}};
             record.answer.parts = {body};
             const auto read = DecodeOperation(EncodeOperation(record));
             RC_ASSERT(read.ok());
             RC_ASSERT(*read == record);
           });
}

TEST_CASE("Operations of different teams or services have different row keys") {
  const auto key = [](const char* team, const char* service, const char* name) {
    return OperationRowKey(
        {TeamId(team), ServiceId(service), IdempotencyKey(name)});
  };
  CHECK(key("a", "b", "c") != key("a/b", "", "c"));
  CHECK(key("a", "b/c", "d") != key("a", "b", "c/d"));
  CHECK(key("a%2f", "b", "c") != key("a/", "b", "c"));
}

TEST_CASE("A malformed row is a data loss error") {
  CHECK(absl::IsDataLoss(DecodeOperation("{}").status()));
  CHECK(absl::IsDataLoss(DecodeOperation("not json").status()));
}

}  // namespace
}  // namespace yuccapick
