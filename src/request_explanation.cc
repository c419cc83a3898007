#include "yuccapick/request_explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace yuccapick {
namespace {

/// Changes this long before the request's first line belong to its story.
constexpr std::int64_t kBeforeMs = 3'000;

std::size_t EndOfValue(std::string_view text, std::size_t from) {
  const bool quoted = from < text.size() && text[from] == '"';
  if (!quoted) return std::min(text.find(' ', from), text.size());
  const std::size_t end = text.find('"', from + 1);
  return end == std::string_view::npos ? text.size() : end + 1;
}

std::string Unquoted(std::string_view value) {
  if (value.size() >= 2 && value.front() == '"' && value.back() == '"') {
    value = value.substr(1, value.size() - 2);
  }
  return std::string(value);
}

/// The word before the line's own text, where collectors of several logs put
/// the process.
std::string_view LastWord(std::string_view prefix) {
  const std::size_t end = prefix.find_last_not_of(' ');
  if (end == std::string_view::npos) return {};
  prefix = prefix.substr(0, end + 1);
  return prefix.substr(prefix.find_last_of(' ') + 1);
}

/// Describes why it was not sent, or its last failed attempt; empty if neither
/// is told.
std::string CauseOf(const std::vector<LogLine>& lines) {
  std::string cause;
  for (const LogLine& line : lines) {
    if (line.Field("event") == "load_shed") {
      return fmt::format(
          "answers of {} took {} ms to begin instead of {}, so a share of {} "
          "was refused",
          line.Field("route"), line.Field("begins_ms"), line.Field("target_ms"),
          line.Field("share"));
    }
    if (line.Field("event") != "attempt_ended") continue;
    cause = fmt::format("attempt {} at {} ended as {} ({})",
                        line.Field("attempt"), line.Field("upstream"),
                        line.Field("end"), line.Field("reason"));
  }
  return cause;
}

/// Describes what happened to the upstreams or the store meanwhile.
std::string ChangeAround(const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    const std::string_view event = line.Field("event");
    if (event == "upstream_changed" && line.Field("change") != "updated" &&
        line.Field("change") != "added") {
      return fmt::format("; {} was {}", line.Field("upstream"),
                         line.Field("change"));
    }
    if (event == "store_lost") return "; the store did not answer";
    if (event == "drain_started") return "; its gateway was stopping";
  }
  return {};
}

std::string Verdict(const std::vector<LogLine>& own,
                    const std::vector<LogLine>& around) {
  if (own.empty()) return "No line names this request.";
  const LogLine& last = own.back();
  if (last.Field("event") == "request_not_admitted") {
    return fmt::format("Not admitted with status {} under configuration {}.",
                       last.Field("status"), last.Field("config"));
  }
  if (last.Field("event") != "request_done") {
    return "It has no end in these logs: the process may have been killed.";
  }
  const std::string cause = CauseOf(own);
  const std::string outcome = fmt::format(
      "Ended as {} with status {} after {} ms", last.Field("outcome"),
      last.Field("status"), last.Field("total_ms"));
  if (cause.empty()) {
    const std::string_view reason = last.Field("reason");
    if (reason.empty()) return outcome + ".";
    return fmt::format("{}: {}; {} had sent nothing for {} ms{}.", outcome,
                       reason, last.Field("upstream"), last.Field("silent_ms"),
                       ChangeAround(around));
  }
  return fmt::format("{}: {}{}.", outcome, cause, ChangeAround(around));
}

void SortByTime(std::vector<LogLine>& lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time_ms < b.time_ms; });
}

/// Lines on the upstreams that the request was sent to, and on the process's
/// dependencies, near its time.
std::vector<LogLine> Around(const std::vector<LogLine>& lines,
                            const std::vector<LogLine>& own) {
  static const std::set<std::string_view> kLifeEvents{
      "store_lost", "store_regained", "drain_started", "stopped"};
  std::vector<LogLine> around;
  if (own.empty()) return around;
  std::set<std::string> upstreams;
  for (const LogLine& line : own) {
    upstreams.emplace(line.Field("upstream"));
  }
  const std::int64_t from = own.front().time_ms - kBeforeMs;
  const std::int64_t to = own.back().time_ms;
  const std::string& source = own.front().source;
  for (const LogLine& line : lines) {
    if (line.time_ms < from || line.time_ms > to) continue;
    const bool upstream_changed =
        line.Field("event") == "upstream_changed" &&
        upstreams.contains(std::string(line.Field("upstream")));
    const bool own_process =
        line.source == source && kLifeEvents.contains(line.Field("event"));
    if (upstream_changed || own_process) {
      around.push_back(line);
    }
  }
  SortByTime(around);
  return around;
}

}  // namespace

std::string_view LogLine::Field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return {};
}

std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view file) {
  const std::size_t start = text.find("time=");
  if (start == std::string_view::npos) return std::nullopt;
  LogLine line;
  line.source = fmt::format("{}:{}", file, LastWord(text.substr(0, start)));
  line.text = std::string(text.substr(start));
  const std::string_view rest = line.text;
  std::size_t at = 0;
  while (at < rest.size()) {
    const std::size_t equals = rest.find('=', at);
    if (equals == std::string_view::npos) break;
    const std::size_t end = EndOfValue(rest, equals + 1);
    line.fields.emplace_back(
        rest.substr(at, equals - at),
        Unquoted(rest.substr(equals + 1, end - equals - 1)));
    at = end + 1;
  }
  const std::string_view time = line.Field("time");
  if (!absl::SimpleAtoi(absl::string_view(time.data(), time.size()),
                        &line.time_ms)) {
    return std::nullopt;
  }
  return line;
}

RequestExplanation ExplainRequest(const std::vector<LogLine>& lines,
                                  std::string_view id) {
  std::vector<LogLine> own;
  for (const LogLine& line : lines) {
    if (line.Field("id") == id) own.push_back(line);
  }
  SortByTime(own);
  const std::vector<LogLine> around = Around(lines, own);
  RequestExplanation explanation;
  explanation.summary = Verdict(own, around);
  explanation.lines = own;
  explanation.lines.insert(explanation.lines.end(), around.begin(),
                           around.end());
  SortByTime(explanation.lines);
  return explanation;
}

}  // namespace yuccapick
