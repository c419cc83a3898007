#include "standin/weight_loader.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>

namespace yuccapick::standin {
namespace {

/// One HTTP fetch on its own connection.
class Fetch : public std::enable_shared_from_this<Fetch> {
 public:
  Fetch(Context& context, std::string request, std::function<void(bool)> done)
      : socket_(context.loop),
        request_(std::move(request)),
        done_(std::move(done)) {}

  void Start(const asio::ip::tcp::endpoint& store) {
    socket_.async_connect(store, [self = shared_from_this()](const auto& ec) {
      if (ec) return self->done_(false);
      self->Send();
    });
  }

 private:
  void Send() {
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](const auto& ec, std::size_t) {
                        if (ec) return self->done_(false);
                        self->Receive();
                      });
  }

  void Receive() {
    asio::async_read(socket_, asio::dynamic_buffer(answer_),
                     [self = shared_from_this()](const auto&, std::size_t) {
                       self->done_(self->answer_.starts_with("HTTP/1.1 200"));
                     });
  }

  asio::ip::tcp::socket socket_;
  std::string request_;
  std::string answer_;
  std::function<void(bool)> done_;
};

}  // namespace

void LoadWeights(Context& context, const Weights& weights,
                 std::function<void(bool)> done) {
  const Options& options = context.options;
  auto finish = [&context, done = std::move(done)](bool fetched) {
    if (!fetched) return done(false);
    context.After(context.options.load_time, [done] { done(true); });
  };
  if (options.weights_port == 0) return finish(true);
  std::string request = fmt::format(
      "GET /weights/{}/{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
      weights.model, weights.version, options.weights_host);
  asio::error_code ec;
  const auto address = asio::ip::make_address(options.weights_host, ec);
  if (ec) return finish(false);
  std::make_shared<Fetch>(context, std::move(request), std::move(finish))
      ->Start({address, options.weights_port});
}

}  // namespace yuccapick::standin
