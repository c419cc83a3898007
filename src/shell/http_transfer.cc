#include "shell/http_transfer.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <utility>

#include "gateway/http_status.h"
#include "shell/socket_state.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxResponseHeaderBytes = 64 << 10;
constexpr long kMinFinalStatus = 200;
/// Once a response has begun, it fails if nothing more arrives for this long,
/// or it has been arriving for longer than the second time.
constexpr std::chrono::milliseconds kStallTimeout{1'000};
constexpr std::chrono::milliseconds kMaxReceivingTime{30'000};

bool HasLineBreakOrNul(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

long ParseStatusLine(std::string_view line) {
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return 0;
  long status = 0;
  const char* begin = line.data() + space + 1;
  std::from_chars(begin, line.data() + line.size(), status);
  return status;
}

/// @return the local port of an IPv4 or IPv6 socket; 0 if it has none
int LocalPort(int fd) {
  sockaddr_in6 address{};
  socklen_t size = sizeof(address);
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  // The port stands at the same place in both kinds of address.
  return ntohs(address.sin6_port);
}

absl::Status StatusFromCurl(CURLcode code, const std::string& url) {
  if (code == CURLE_OK) return absl::OkStatus();
  const std::string message = fmt::format(
      "{}: {}; check that the peer is running and responds completely", url,
      curl_easy_strerror(code));
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return absl::DeadlineExceededError(message);
  }
  return absl::UnavailableError(message);
}

}  // namespace

HttpTransfer::HttpTransfer(RequestHandle id, HttpRequest request,
                           HttpCallbacks callbacks, UnreceivedPorts& unreceived)
    : id_(id),
      request_(std::move(request)),
      callbacks_(std::move(callbacks)),
      easy_(curl_easy_init()),
      unreceived_(unreceived) {}

HttpTransfer::~HttpTransfer() {
  curl_easy_cleanup(easy_);
  curl_slist_free_all(header_list_);
}

absl::Status HttpTransfer::Prepare() {
  if (easy_ == nullptr) {
    return absl::ResourceExhaustedError(
        "cannot create a libcurl handle: out of memory");
  }
  if (absl::Status status = BuildHeaderList(); !status.ok()) return status;
  SetMethodAndBody();
  curl_easy_setopt(easy_, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
  started_at_ = std::chrono::steady_clock::now();
  const long connect_ms = request_.timeouts.connect.count();
  const long total_ms = request_.timeouts.total.count();
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, total_ms);
  const long max_idle = request_.max_idle.count();
  const bool pooled = request_.repeatable && max_idle > 0;
  curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, pooled ? 0L : 1L);
  curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, pooled ? 0L : 1L);
  if (pooled) curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN, max_idle);
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, &unreceived_);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &OnBodyData);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  return absl::OkStatus();
}

absl::Status HttpTransfer::BuildHeaderList() {
  if (HasLineBreakOrNul(request_.method) || request_.method.empty()) {
    return absl::InvalidArgumentError(
        "HTTP method is empty or has control characters");
  }
  for (const Header& header : request_.headers) {
    if (header.name.empty() || HasLineBreakOrNul(header.name) ||
        header.name.find(':') != std::string::npos ||
        HasLineBreakOrNul(header.value)) {
      return absl::InvalidArgumentError(fmt::format(
          "HTTP header '{}' is malformed; remove its control characters",
          header.name));
    }
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  header_list_ = curl_slist_append(header_list_, "Expect:");
  return absl::OkStatus();
}

void HttpTransfer::SetMethodAndBody() {
  const bool has_body = !request_.body.empty() || request_.method == "POST" ||
                        request_.method == "PUT" || request_.method == "PATCH";
  if (has_body) {
    const auto size = static_cast<curl_off_t>(request_.body.size());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE, size);
  }
  if (request_.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  } else if (request_.method != "GET" || has_body) {
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  }
}

void HttpTransfer::Finish(CURLcode code) {
  if (cancelled_) return;
  cancelled_ = true;
  if (!callbacks_.on_done) return;
  HttpResult result;
  result.status = Outcome(code);
  result.http_status = http_status_;
  result.sent = times_sent_ > 0;
  callbacks_.on_done(result);
}

absl::Status HttpTransfer::Outcome(CURLcode code) const {
  if (code != CURLE_OK) return StatusFromCurl(code, request_.url);
  // libcurl takes a response that ends within its head for complete, and one
  // without a length whose server ends while it is still sent the request.
  if (head_complete_ && (!IsUnbounded() || RequestArrived())) {
    return absl::OkStatus();
  }
  if (head_complete_) {
    return absl::UnavailableError(fmt::format(
        "{}: the connection ended before the peer had the whole request; check "
        "that the peer is running",
        request_.url));
  }
  return absl::UnavailableError(fmt::format(
      "{}: the response ended within its head; check that the peer is running "
      "and responds completely",
      request_.url));
}

bool HttpTransfer::IsUnbounded() const {
  return std::none_of(response_headers_.begin(), response_headers_.end(),
                      [](const Header& header) {
                        return header.name == "content-length" ||
                               header.name == "transfer-encoding";
                      });
}

bool HttpTransfer::RequestArrived() const {
  curl_off_t sent = 0;
  curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
  return sent >= static_cast<curl_off_t>(request_.body.size()) &&
         !unreceived_.contains(local_port_);
}

int HttpTransfer::OnCloseSocket(void* unreceived, curl_socket_t fd) {
  auto& ports = *static_cast<UnreceivedPorts*>(unreceived);
  if (!PeerHasReceivedAll(fd)) ports.insert(LocalPort(fd));
  return ::close(fd);
}

void HttpTransfer::FailUnsent(const absl::Status& status) {
  if (cancelled_) return;
  cancelled_ = true;
  if (callbacks_.on_done) callbacks_.on_done({status, 0, false});
}

std::size_t HttpTransfer::OnHeader(char* data, std::size_t size,
                                   std::size_t count, void* self) {
  auto& transfer = *static_cast<HttpTransfer*>(self);
  const std::size_t n = size * count;
  return transfer.ParseHeaderLine({data, n}) ? n : 0;
}

bool HttpTransfer::ParseHeaderLine(std::string_view line) {
  response_header_bytes_ += line.size();
  if (response_header_bytes_ > kMaxResponseHeaderBytes) return false;
  const std::string_view text = Trim(line);
  if (text.substr(0, 5) == "HTTP/" &&
      text.find(':') == std::string_view::npos) {
    http_status_ = ParseStatusLine(text);
    response_headers_.clear();
    head_complete_ = false;
    return IsHttpStatus(http_status_) &&
           http_status_ != kHttpSwitchingProtocols;
  }
  if (!text.empty()) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) return true;
    response_headers_.push_back({ToLower(Trim(text.substr(0, colon))),
                                 std::string(Trim(text.substr(colon + 1)))});
    return true;
  }
  if (http_status_ < kMinFinalStatus || cancelled_) return true;
  head_complete_ = true;
  ExtendTimeout();
  if (callbacks_.on_head) callbacks_.on_head(http_status_, response_headers_);
  return true;
}

void HttpTransfer::ExtendTimeout() {
  if (!request_.timeouts.until_response) return;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - started_at_);
  const auto limit = std::min(age + kStallTimeout, kMaxReceivingTime);
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, limit.count());
  // libcurl checks a timeout that was changed only when something wakes it; it
  // looks at the speed every second.
  curl_easy_setopt(easy_, CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt(easy_, CURLOPT_LOW_SPEED_TIME, 1L);
}

std::size_t HttpTransfer::OnBodyData(char* data, std::size_t size,
                                     std::size_t count, void* self) {
  auto& transfer = *static_cast<HttpTransfer*>(self);
  const std::size_t n = size * count;
  if (transfer.cancelled_) return 0;
  if (transfer.paused_) return CURL_WRITEFUNC_PAUSE;
  transfer.ExtendTimeout();
  if (transfer.callbacks_.on_data) transfer.callbacks_.on_data({data, n});
  return transfer.cancelled_ ? 0 : n;
}

int HttpTransfer::OnBeforeRequest(void* self, char* /*peer*/, char* /*local*/,
                                  int /*peer_port*/, int local_port) {
  auto& transfer = *static_cast<HttpTransfer*>(self);
  transfer.local_port_ = local_port;
  transfer.unreceived_.erase(local_port);
  // libcurl resends a request itself if its pooled connection was closed.
  if (transfer.times_sent_ > 0 && !transfer.request_.repeatable) {
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer.times_sent_;
  return CURL_PREREQFUNC_OK;
}

}  // namespace yuccapick
