#ifndef YUCCAPICK_SHELL_HTTP_TRANSFER_H_
#define YUCCAPICK_SHELL_HTTP_TRANSFER_H_

/// @file
/// One request of the HTTP client, run by a libcurl easy handle.

#include <curl/curl.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "shell/http_client.h"

namespace yuccapick {

/// Local ports of connections that were closed before their peers had received
/// all that was sent. libcurl closes a connection before it reports its request
/// as done.
using UnreceivedPorts = std::unordered_set<int>;

/// State of one request. libcurl keeps a pointer to it, so it must not move.
class HttpTransfer {
 public:
  /// @param unreceived of the client's connections; must outlive them
  HttpTransfer(RequestHandle id, HttpRequest request, HttpCallbacks callbacks,
               UnreceivedPorts& unreceived);
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  /// Validates the request and configures the easy handle.
  absl::Status Prepare();

  /// Reports the outcome to the caller, unless the request was cancelled.
  void Finish(CURLcode code);
  /// Reports a failure before anything was sent.
  void FailUnsent(const absl::Status& status);

  void Cancel() { cancelled_ = true; }
  void SetPaused(bool paused) { paused_ = paused; }

  CURL* easy() const { return easy_; }
  RequestHandle id() const { return id_; }
  bool cancelled() const { return cancelled_; }
  bool paused() const { return paused_; }

 private:
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);
  static std::size_t OnBodyData(char* data, std::size_t size, std::size_t count,
                                void* self);
  static int OnCloseSocket(void* unreceived, curl_socket_t fd);
  static int OnBeforeRequest(void* self, char* peer, char* local, int peer_port,
                             int local_port);
  bool ParseHeaderLine(std::string_view line);
  absl::Status Outcome(CURLcode code) const;
  /// True if only the end of the connection tells where the response ends.
  bool IsUnbounded() const;
  /// False if the peer is known not to have received the whole request.
  bool RequestArrived() const;
  absl::Status BuildHeaderList();
  void SetMethodAndBody();
  /// Part of the response has arrived: if its arrival isn't limited by the
  /// total timeout, more of it may follow.
  void ExtendTimeout();

  RequestHandle id_;
  HttpRequest request_;
  HttpCallbacks callbacks_;
  CURL* easy_ = nullptr;
  curl_slist* header_list_ = nullptr;
  std::vector<Header> response_headers_;
  std::size_t response_header_bytes_ = 0;
  long http_status_ = 0;
  bool head_complete_ = false;  ///< The final head's empty line has arrived.
  int times_sent_ = 0;
  UnreceivedPorts& unreceived_;
  int local_port_ = 0;  ///< Of its connection.
  std::chrono::steady_clock::time_point started_at_;
  bool cancelled_ = false;
  bool paused_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_HTTP_TRANSFER_H_
