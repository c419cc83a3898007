#include "shell/http_client.h"

#include <curl/curl.h>

#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "shell/http_transfer.h"

namespace yuccapick {
namespace {

constexpr long kMaxPooledConnections = 256;

void InitializeCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

}  // namespace

/// Drives one libcurl multi handle from the event loop.
class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(asio::io_context& loop)
      : loop_(loop), timer_(loop), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxPooledConnections);
  }

  ~Impl() {
    for (auto& [id, transfer] : transfers_) {
      transfer->Cancel();
      curl_multi_remove_handle(multi_, transfer->easy());
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
    for (auto& [fd, watch] : watches_) watch->descriptor.release();
  }

  RequestHandle Start(HttpRequest request, HttpCallbacks callbacks) {
    const auto id = static_cast<RequestHandle>(++last_id_);
    transfers_[id] = std::make_unique<HttpTransfer>(
        id, std::move(request), std::move(callbacks), unreceived_);
    Post([id](Impl& impl) { impl.StartTransfer(id); });
    return id;
  }

  void Cancel(RequestHandle id) {
    HttpTransfer* transfer = Find(id);
    if (transfer == nullptr) return;
    transfer->Cancel();
    Post([id](Impl& impl) { impl.RemoveTransfer(id); });
  }

  void Pause(RequestHandle id) {
    if (HttpTransfer* transfer = Find(id)) transfer->SetPaused(true);
  }

  void Resume(RequestHandle id) {
    HttpTransfer* transfer = Find(id);
    if (transfer == nullptr || !transfer->paused()) return;
    transfer->SetPaused(false);
    Post([id](Impl& impl) { impl.ResumeTransfer(id); });
  }

  std::size_t active() const { return transfers_.size(); }

 private:
  struct SocketWatch {
    explicit SocketWatch(asio::io_context& loop) : descriptor(loop) {}
    asio::posix::stream_descriptor descriptor;
    int poll_events = CURL_POLL_NONE;
    bool read_wait_pending = false;
    bool write_wait_pending = false;
  };
  using SocketWatchPtr = std::shared_ptr<SocketWatch>;

  // Defers a task to the loop, because most libcurl functions must not be
  // called from within a libcurl callback.
  template <typename Task>
  void Post(Task task) {
    asio::post(loop_, [weak = weak_from_this(), task] {
      if (auto self = weak.lock()) task(*self);
    });
  }

  HttpTransfer* Find(RequestHandle id) {
    const auto it = transfers_.find(id);
    return it == transfers_.end() ? nullptr : it->second.get();
  }

  void StartTransfer(RequestHandle id) {
    HttpTransfer* transfer = Find(id);
    if (transfer == nullptr || transfer->cancelled()) return;
    const absl::Status status = transfer->Prepare();
    if (!status.ok()) {
      transfer->FailUnsent(status);
      transfers_.erase(id);
      return;
    }
    curl_multi_add_handle(multi_, transfer->easy());
    SocketAction(CURL_SOCKET_TIMEOUT, 0);
  }

  void RemoveTransfer(RequestHandle id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end()) return;
    const std::unique_ptr<HttpTransfer> transfer = std::move(it->second);
    transfers_.erase(it);
    curl_multi_remove_handle(multi_, transfer->easy());
  }

  void ResumeTransfer(RequestHandle id) {
    HttpTransfer* transfer = Find(id);
    if (transfer == nullptr || transfer->paused()) return;
    curl_easy_pause(transfer->easy(), CURLPAUSE_CONT);
    SocketAction(CURL_SOCKET_TIMEOUT, 0);
  }

  void SocketAction(curl_socket_t fd, int events) {
    int running = 0;
    curl_multi_socket_action(multi_, fd, events, &running);
    FinishCompletedTransfers();
  }

  void FinishCompletedTransfers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode code = message->data.result;
      HttpTransfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      const auto it = transfers_.find(transfer->id());
      const std::unique_ptr<HttpTransfer> owned = std::move(it->second);
      transfers_.erase(it);
      curl_multi_remove_handle(multi_, owned->easy());
      owned->Finish(code);
    }
  }

  static int OnSocketChange(CURL* /*easy*/, curl_socket_t fd, int what,
                            void* self, void* /*socket_data*/) {
    static_cast<Impl*>(self)->UpdateWatch(fd, what);
    return 0;
  }

  void UpdateWatch(curl_socket_t fd, int what) {
    const auto it = watches_.find(fd);
    if (what == CURL_POLL_REMOVE) {
      if (it == watches_.end()) return;
      it->second->descriptor.release();
      watches_.erase(it);
      return;
    }
    SocketWatchPtr watch = it == watches_.end() ? nullptr : it->second;
    if (watch == nullptr) {
      watch = std::make_shared<SocketWatch>(loop_);
      asio::error_code ec;
      watch->descriptor.assign(fd, ec);
      watches_[fd] = watch;
    }
    watch->poll_events = what;
    StartWaits(fd, watch);
  }

  void StartWaits(curl_socket_t fd, const SocketWatchPtr& watch) {
    if ((watch->poll_events & CURL_POLL_IN) != 0 && !watch->read_wait_pending) {
      watch->read_wait_pending = true;
      StartWait(fd, watch, asio::posix::stream_descriptor::wait_read);
    }
    if ((watch->poll_events & CURL_POLL_OUT) != 0 &&
        !watch->write_wait_pending) {
      watch->write_wait_pending = true;
      StartWait(fd, watch, asio::posix::stream_descriptor::wait_write);
    }
  }

  void StartWait(curl_socket_t fd, const SocketWatchPtr& watch,
                 asio::posix::stream_descriptor::wait_type type) {
    watch->descriptor.async_wait(
        type, [weak = weak_from_this(), fd, watch, type](asio::error_code ec) {
          if (auto self = weak.lock()) self->OnSocketReady(fd, watch, type, ec);
        });
  }

  void OnSocketReady(curl_socket_t fd, const SocketWatchPtr& watch,
                     asio::posix::stream_descriptor::wait_type type,
                     asio::error_code ec) {
    const bool read = type == asio::posix::stream_descriptor::wait_read;
    (read ? watch->read_wait_pending : watch->write_wait_pending) = false;
    if (!IsCurrent(fd, watch) || ec == asio::error::operation_aborted) return;
    const int poll_event = read ? CURL_POLL_IN : CURL_POLL_OUT;
    if ((watch->poll_events & poll_event) != 0) {
      int events = read ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
      if (ec) events |= CURL_CSELECT_ERR;
      SocketAction(fd, events);
    }
    if (IsCurrent(fd, watch)) StartWaits(fd, watch);
  }

  bool IsCurrent(curl_socket_t fd, const SocketWatchPtr& watch) const {
    const auto it = watches_.find(fd);
    return it != watches_.end() && it->second == watch;
  }

  static int OnTimerChange(CURLM* /*multi*/, long timeout_ms, void* self) {
    static_cast<Impl*>(self)->SetTimer(std::chrono::milliseconds(timeout_ms));
    return 0;
  }

  void SetTimer(std::chrono::milliseconds timeout) {
    if (timeout.count() < 0) {
      timer_.cancel();
      return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](asio::error_code ec) {
      if (ec) return;
      if (auto self = weak.lock()) self->SocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  asio::io_context& loop_;
  asio::steady_timer timer_;
  CURLM* multi_;
  std::uint64_t last_id_ = 0;
  UnreceivedPorts unreceived_;
  std::unordered_map<RequestHandle, std::unique_ptr<HttpTransfer>> transfers_;
  std::unordered_map<curl_socket_t, SocketWatchPtr> watches_;
};

HttpClient::HttpClient(asio::io_context& loop) {
  InitializeCurl();
  impl_ = std::make_shared<Impl>(loop);
}

HttpClient::~HttpClient() = default;

RequestHandle HttpClient::Start(HttpRequest request, HttpCallbacks callbacks) {
  return impl_->Start(std::move(request), std::move(callbacks));
}

RequestHandle HttpClient::Fetch(HttpRequest request, std::size_t max_body_bytes,
                                std::function<void(HttpResponse)> done) {
  struct Pending {
    HttpResponse response;
    RequestHandle handle{};
  };
  auto pending = std::make_shared<Pending>();
  HttpCallbacks callbacks;
  callbacks.on_head = [pending](long status, const auto& headers) {
    pending->response.result.http_status = status;
    pending->response.headers = headers;
  };
  callbacks.on_data = [pending, max_body_bytes, done,
                       weak = std::weak_ptr(impl_)](std::string_view data) {
    HttpResponse& response = pending->response;
    if (response.body.size() + data.size() <= max_body_bytes) {
      response.body.append(data);
      return;
    }
    if (auto impl = weak.lock()) impl->Cancel(pending->handle);
    response.result.sent = true;
    response.result.status = absl::ResourceExhaustedError(
        "response body exceeds the size limit; request less data at once");
    done(std::move(response));
  };
  callbacks.on_done = [pending,
                       done = std::move(done)](const HttpResult& result) {
    pending->response.result = result;
    done(std::move(pending->response));
  };
  pending->handle = Start(std::move(request), std::move(callbacks));
  return pending->handle;
}

void HttpClient::Cancel(RequestHandle handle) { impl_->Cancel(handle); }

void HttpClient::Pause(RequestHandle handle) { impl_->Pause(handle); }

void HttpClient::Resume(RequestHandle handle) { impl_->Resume(handle); }

std::size_t HttpClient::active() const { return impl_->active(); }

}  // namespace yuccapick
