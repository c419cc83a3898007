#include "util/detail/stream_check.h"

#include <catch2/catch.hpp>

namespace yuccapick::load {
namespace {

std::string Event(const std::string& text, bool last = false) {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + text +
         (last ? R"("},"finish_reason":"length"}]})" : R"("}}]})") + "\n\n";
}

CheckResult Check(const std::string& stream) {
  StreamCheck check(" abc def", [] {});
  for (const char c : stream) check.Add({&c, 1});
  return check.Finish();
}

TEST_CASE("Only a stream with every token and its end marker is complete") {
  const std::string done = "data: [DONE]\n\n";
  const std::string whole =
      Event(" abc") + Event(" def") + Event("", true) + done;
  CHECK(Check(whole) == CheckResult::kComplete);
  CHECK(Check(Event(" abc") + Event(" def") + Event("", true)) ==
        CheckResult::kIncomplete);
  CHECK(Check(Event(" abc")) == CheckResult::kIncomplete);
  CHECK(Check(Event(" abc") + Event("", true) + done) == CheckResult::kWrong);
  CHECK(Check(Event(" def") + Event(" abc") + Event("", true) + done) ==
        CheckResult::kWrong);
  CHECK(Check(whole + Event(" abc")) == CheckResult::kWrong);
}

}  // namespace
}  // namespace yuccapick::load
