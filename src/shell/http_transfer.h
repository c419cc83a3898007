#ifndef YUCCAPICK_SHELL_HTTP_TRANSFER_H_
#define YUCCAPICK_SHELL_HTTP_TRANSFER_H_

/// @file
/// One request of the HTTP client as a libcurl easy handle.

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "shell/http_client.h"

namespace yuccapick {

/// State of one request. It must not move while libcurl knows it.
class HttpTransfer {
 public:
  HttpTransfer(RequestHandle id, HttpRequest request, HttpCallbacks callbacks);
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  /// Checks the request and prepares the easy handle.
  absl::Status Prepare();

  /// Passes the outcome to the caller, unless it cancelled.
  void Finish(CURLcode code);
  void Refuse(const absl::Status& status);

  void Cancel() { cancelled_ = true; }
  void SetPaused(bool paused) { paused_ = paused; }

  CURL* easy() const { return easy_; }
  RequestHandle id() const { return id_; }
  bool cancelled() const { return cancelled_; }
  bool paused() const { return paused_; }

 private:
  static std::size_t HeaderArrived(char* data, std::size_t size,
                                   std::size_t count, void* self);
  static std::size_t DataArrived(char* data, std::size_t size,
                                 std::size_t count, void* self);
  static int BeforeRequest(void* self, char* peer, char* local, int peer_port,
                           int local_port);
  bool TakeHeaderLine(std::string_view line);
  absl::Status BuildHeaderList();
  void SetMethodAndBody();

  RequestHandle id_;
  HttpRequest request_;
  HttpCallbacks callbacks_;
  CURL* easy_ = nullptr;
  curl_slist* header_list_ = nullptr;
  std::vector<Header> answer_headers_;
  std::size_t answer_header_bytes_ = 0;
  long http_status_ = 0;
  int times_sent_ = 0;
  bool cancelled_ = false;
  bool paused_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_HTTP_TRANSFER_H_
