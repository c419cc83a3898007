#include "yuccapick/request_explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace yuccapick {
namespace {

/// Related events are included from this long before the request's first line.
constexpr std::int64_t kContextBeforeMs = 3'000;

std::size_t FindValueEnd(std::string_view text, std::size_t from) {
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

/// Returns the last word before the line's own text, where log collectors put
/// the process name.
std::string_view LastWord(std::string_view prefix) {
  const std::size_t end = prefix.find_last_not_of(' ');
  if (end == std::string_view::npos) return {};
  prefix = prefix.substr(0, end + 1);
  return prefix.substr(prefix.find_last_of(' ') + 1);
}

/// Returns 0 if the field is missing or not a number.
std::int64_t IntegerField(const LogLine& line, std::string_view name) {
  const std::string_view text = line.Field(name);
  std::int64_t value = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value)) {
    return 0;
  }
  return value;
}

/// Returns the time at which the line's event began. A pause is logged after
/// its end.
std::int64_t BeginMs(const LogLine& line) {
  if (line.Field("event") != "process_paused") return line.time_ms;
  return line.time_ms - IntegerField(line, "duration_ms");
}

/// Describes who refused a request for its team's quota.
std::string OverQuota(const LogLine& line) {
  const std::string_view decided =
      line.Field("source") == "alone"
          ? "its gateway alone, since the coordinator did not answer"
          : "the coordinator of the quota";
  return fmt::format(
      "team {} was over its quota of configuration {}, said {}; there may be "
      "room after {} ms",
      line.Field("team"), line.Field("config"), decided,
      line.Field("retry_after_ms"));
}

/// Describes why no upstream could begin a request in time.
std::string NoRoom(const LogLine& line) {
  return fmt::format(
      "no upstream had room for {} tokens of KV memory on {} at rank {} of "
      "urgency: it waited {} ms with {} others, room was lacking for {} ms, "
      "and was expected after {} ms",
      line.Field("kv_tokens"), line.Field("route"), line.Field("rank"),
      line.Field("waited_ms"), line.Field("waiting"), line.Field("lacking_ms"),
      line.Field("expected_ms"));
}

/// Describes why the request was rejected, or else its last attempt that
/// failed. Returns an empty string if the lines contain neither.
std::string FailureCause(const std::vector<LogLine>& lines) {
  std::string cause;
  for (const LogLine& line : lines) {
    if (line.Field("event") == "over_quota") return OverQuota(line);
    if (line.Field("event") == "no_room") return NoRoom(line);
    if (line.Field("event") == "suspect_refused") {
      return fmt::format("upstreams crash on {}, which is blocked for {} ms",
                         line.Field("suspect"), line.Field("retry_after_ms"));
    }
    if (line.Field("event") == "stream_origin_lost") {
      return fmt::format(
          "the origin of the stream that {} began is lost: no gateway lives "
          "that knew it, and the store doesn't have it",
          line.Field("resumes"));
    }
    if (line.Field("event") == "stream_origin_unknown") {
      return fmt::format(
          "where the stream that {} began had its origin wasn't known yet",
          line.Field("resumes"));
    }
    if (line.Field("event") == "held_back") {
      return fmt::format(
          "the upstreams of {} took no more requests: of all upstreams {} "
          "named limits and {} had asked for a pause",
          line.Field("service"), line.Field("limited"), line.Field("paused"));
    }
    if (line.Field("event") != "attempt_ended") continue;
    cause = fmt::format("attempt {} at {} ended as {} ({})",
                        line.Field("attempt"), line.Field("upstream"),
                        line.Field("end"), line.Field("reason"));
  }
  return cause;
}

/// Describes the first related event of an upstream, the store or the process.
std::string RelatedChange(const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    const std::string_view event = line.Field("event");
    if (event == "upstream_changed" && line.Field("change") != "updated" &&
        line.Field("change") != "added") {
      return fmt::format("; {} was {}", line.Field("upstream"),
                         line.Field("change"));
    }
    if (event == "team_limited") {
      return fmt::format(
          "; its team was limited to {} a second and {} at once, with {} of {} "
          "gateways in agreement",
          line.Field("per_second"), line.Field("burst"), line.Field("agreeing"),
          line.Field("gateways"));
    }
    if (event == "store_lost") return "; the store did not answer";
    if (event == "drain_started") return "; its gateway was stopping";
  }
  return {};
}

/// Describes the age of the weights at the last attempt. Returns an empty
/// string if they had not been replaced.
std::string WeightsAge(const std::vector<LogLine>& request_lines) {
  const LogLine* sent = nullptr;
  for (const LogLine& line : request_lines) {
    if (line.Field("event") == "request_sent") sent = &line;
  }
  if (sent == nullptr || IntegerField(*sent, "replaced_ms") <= 0) return {};
  std::string age = fmt::format("; sent on weights replaced {} ms before",
                                sent->Field("replaced_ms"));
  const std::string_view use = sent->Field("overdue_use");
  if (use == "last_choice") age += ", since no other upstream was left";
  if (use == "unknown_time") age += ", at an unknown time of the store";
  if (use == "never_in_touch") age += ", before the store was in touch";
  if (use == "store_outage") {
    age += fmt::format(", {} ms after an outage of the store",
                       sent->Field("since_outage_ms"));
  }
  return age;
}

/// Describes how long the process was paused in total.
std::string Pauses(const std::vector<LogLine>& related) {
  std::int64_t duration_ms = 0;
  for (const LogLine& line : related) {
    if (line.Field("event") == "process_paused") {
      duration_ms += IntegerField(line, "duration_ms");
    }
  }
  if (duration_ms <= 0) return {};
  return fmt::format("; its gateway did not run for {} ms", duration_ms);
}

/// Describes how the request ended, without a full stop.
std::string Outcome(const std::vector<LogLine>& request_lines,
                    const std::vector<LogLine>& related) {
  const LogLine& last = request_lines.back();
  if (last.Field("event") == "request_not_admitted") {
    return fmt::format("Not admitted with status {} under configuration {}",
                       last.Field("status"), last.Field("config"));
  }
  if (last.Field("event") != "request_done") {
    return "The logs contain no end of this request: the process may have been "
           "killed";
  }
  const std::string cause = FailureCause(request_lines);
  const std::string outcome = fmt::format(
      "Ended as {} with status {} after {} ms", last.Field("outcome"),
      last.Field("status"), last.Field("total_ms"));
  if (cause.empty()) {
    const std::string_view reason = last.Field("reason");
    if (reason.empty()) return outcome;
    return fmt::format("{}: {}; {} had sent nothing for {} ms{}", outcome,
                       reason, last.Field("upstream"), last.Field("silent_ms"),
                       RelatedChange(related));
  }
  return fmt::format("{}: {}{}", outcome, cause, RelatedChange(related));
}

std::string Summarize(const std::vector<LogLine>& request_lines,
                      const std::vector<LogLine>& stream_lines,
                      const std::vector<LogLine>& related) {
  if (request_lines.empty()) {
    return stream_lines.empty()
               ? "No log line mentions this request."
               : "The logs contain only attempts that resume this one.";
  }
  return fmt::format("{}{}{}.", Outcome(request_lines, related),
                     WeightsAge(request_lines), Pauses(related));
}

void SortByTime(std::vector<LogLine>& lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time_ms < b.time_ms; });
}

/// Returns the lines near the request's time about its upstreams and about the
/// state of its process, sorted by time.
std::vector<LogLine> RelatedLines(const std::vector<LogLine>& lines,
                                  const std::vector<LogLine>& request_lines) {
  static const std::set<std::string_view> kProcessEvents{
      "store_lost", "store_regained", "drain_started", "stopped",
      "process_paused"};
  std::vector<LogLine> related;
  if (request_lines.empty()) return related;
  std::set<std::string> upstreams;
  std::set<std::string> refused_teams;
  for (const LogLine& line : request_lines) {
    upstreams.emplace(line.Field("upstream"));
    if (line.Field("event") == "over_quota") {
      refused_teams.emplace(line.Field("team"));
    }
  }
  const std::int64_t from = request_lines.front().time_ms - kContextBeforeMs;
  const std::int64_t to = request_lines.back().time_ms;
  const std::string& source = request_lines.front().source;
  for (const LogLine& line : lines) {
    if (line.time_ms < from || BeginMs(line) > to) continue;
    const bool upstream_changed =
        line.Field("event") == "upstream_changed" &&
        upstreams.contains(std::string(line.Field("upstream")));
    const bool process_event =
        line.source == source && kProcessEvents.contains(line.Field("event"));
    const bool team_limited =
        line.source == source && line.Field("event") == "team_limited" &&
        refused_teams.contains(std::string(line.Field("team")));
    if (upstream_changed || process_event || team_limited) {
      related.push_back(line);
    }
  }
  SortByTime(related);
  return related;
}

/// Returns the earlier attempt whose stream the line's attempt resumes, or an
/// empty string.
std::string_view ResumedAttempt(const LogLine& line) {
  const std::string_view attempt = line.Field("resumes");
  return attempt == "-" ? std::string_view() : attempt;
}

/// Adds the attempts that the given ones resume, and those that resume them.
void AddJoinedAttempts(const std::vector<LogLine>& lines,
                       std::set<std::string, std::less<>>& attempts) {
  for (const LogLine& line : lines) {
    const std::string_view resumed = ResumedAttempt(line);
    if (resumed.empty()) continue;
    const std::string_view id = line.Field("id");
    if (attempts.contains(id)) attempts.emplace(resumed);
    if (attempts.contains(resumed)) attempts.emplace(id);
  }
}

/// Returns the ids of all attempts of a caller at one stream.
std::set<std::string, std::less<>> StreamAttempts(
    const std::vector<LogLine>& lines, std::string_view id) {
  std::set<std::string, std::less<>> attempts{std::string(id)};
  std::size_t known = 0;
  while (known != attempts.size()) {
    known = attempts.size();
    AddJoinedAttempts(lines, attempts);
  }
  return attempts;
}

/// Returns the lines of all attempts of a caller at one stream, sorted by time.
std::vector<LogLine> StreamLines(const std::vector<LogLine>& lines,
                                 std::string_view id) {
  const auto attempts = StreamAttempts(lines, id);
  std::vector<LogLine> stream_lines;
  for (const LogLine& line : lines) {
    if (attempts.contains(line.Field("id"))) stream_lines.push_back(line);
  }
  SortByTime(stream_lines);
  return stream_lines;
}

/// Returns the software versions that the lines were sent to, in order of time.
std::vector<std::string_view> SoftwareVersions(
    const std::vector<LogLine>& stream_lines) {
  std::vector<std::string_view> versions;
  for (const LogLine& line : stream_lines) {
    if (line.Field("event") != "request_sent") continue;
    const std::string_view version = line.Field("software");
    const auto known = std::find(versions.begin(), versions.end(), version);
    if (!version.empty() && known == versions.end()) {
      versions.push_back(version);
    }
  }
  return versions;
}

/// Returns a sentence if the stream was sent to more than one software version,
/// else an empty string.
std::string MixedSoftware(const std::vector<LogLine>& stream_lines) {
  const std::vector<std::string_view> versions = SoftwareVersions(stream_lines);
  if (versions.size() < 2) return {};
  return fmt::format(" The stream was sent to software versions {}.",
                     fmt::join(versions, ", "));
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
  std::size_t position = 0;
  while (position < rest.size()) {
    const std::size_t equals = rest.find('=', position);
    if (equals == std::string_view::npos) break;
    const std::size_t end = FindValueEnd(rest, equals + 1);
    line.fields.emplace_back(
        rest.substr(position, equals - position),
        Unquoted(rest.substr(equals + 1, end - equals - 1)));
    position = end + 1;
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
  const std::vector<LogLine> stream_lines = StreamLines(lines, id);
  std::vector<LogLine> request_lines;
  for (const LogLine& line : stream_lines) {
    if (line.Field("id") == id) request_lines.push_back(line);
  }
  const std::vector<LogLine> related = RelatedLines(lines, request_lines);
  RequestExplanation explanation;
  explanation.summary = Summarize(request_lines, stream_lines, related) +
                        MixedSoftware(stream_lines);
  explanation.lines = stream_lines;
  explanation.lines.insert(explanation.lines.end(), related.begin(),
                           related.end());
  SortByTime(explanation.lines);
  return explanation;
}

}  // namespace yuccapick
