#ifndef YUCCAPICK_GATEWAY_CALLER_STREAM_H_
#define YUCCAPICK_GATEWAY_CALLER_STREAM_H_

/// @file
/// Bytes to and from one caller, in the clear or over TLS.

#include <asio.hpp>
#include <asio/ssl.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace yuccapick {

/// Used on one loop. Its operations keep it alive until they end.
class CallerStream {
 public:
  using OnRead = std::function<void(const asio::error_code&, std::size_t)>;
  using OnWritable = std::function<void(const asio::error_code&)>;

  virtual ~CallerStream() = default;

  /// Reads what comes next; one read at a time.
  /// @param buf lives until `done` is called
  virtual void ReadSome(asio::mutable_buffer buf, OnRead done) = 0;
  /// Takes what it can without waiting.
  /// @param ec receives `would_block` if it took less than all
  /// @return number of bytes taken
  virtual std::size_t WriteSome(std::string_view bytes,
                                asio::error_code& ec) = 0;
  /// Calls back when more can be written, or with what went wrong.
  virtual void WaitWritable(OnWritable done) = 0;
  /// Ends the sending side; the caller may still send.
  virtual void ShutdownSend() = 0;
  /// Makes `Close` look like a failure to the caller.
  virtual void ResetOnClose() = 0;
  virtual void Close() = 0;
  virtual asio::any_io_executor executor() = 0;
};

/// Makes the stream of a connection that was accepted.
using CallerStreamFactory =
    std::function<std::shared_ptr<CallerStream>(asio::ip::tcp::socket)>;

/// Bytes go over the socket as they are.
CallerStreamFactory MakePlainStreamFactory();
/// Bytes go over TLS; the handshake precedes the first read.
/// @param context holds the certificate and its key
CallerStreamFactory MakeTlsStreamFactory(
    std::shared_ptr<asio::ssl::context> context);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CALLER_STREAM_H_
