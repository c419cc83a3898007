#include "test/gateway/software_versions.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace yuccapick {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string Event(int id) { return fmt::format("id: {}\ndata: x\n\n", id); }

std::string NewStream(const std::string& attempt_id) {
  return CallerRequest("POST", "/tell/1", "", "", attempt_id);
}

std::string ResumedStream(const std::string& attempt_id,
                          const std::string& first_attempt) {
  return CallerRequest(
      "POST", "/tell/1",
      fmt::format("Resumes: {}\r\nLast-Event-Id: 2\r\n", first_attempt), "",
      attempt_id);
}

bool HasRestOfStream(const std::string& answer) {
  return Contains(answer, Event(3)) && Contains(answer, Event(4)) &&
         answer.ends_with(kEndOfStream);
}

bool HasReceived(const FakeUpstream& upstream, const std::string& attempt_id,
                 const std::string& last_event_id) {
  const std::vector<ReceivedRequest>& received = upstream.received();
  return std::any_of(received.begin(), received.end(),
                     [&](const ReceivedRequest& request) {
                       return request.Field("X-Attempt-Id") == attempt_id &&
                              request.Field("Last-Event-Id") == last_event_id;
                     });
}

}  // namespace yuccapick
