#ifndef YUCCAPICK_GATEWAY_CALLER_STREAM_H_
#define YUCCAPICK_GATEWAY_CALLER_STREAM_H_

/// @file
/// Byte stream to and from one caller, over plain TCP or TLS.

#include <asio.hpp>
#include <asio/ssl.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace yuccapick {

/// Used on one event loop. Pending operations keep the stream alive.
class CallerStream {
 public:
  using OnRead = std::function<void(const asio::error_code&, std::size_t)>;
  using OnWritable = std::function<void(const asio::error_code&)>;

  virtual ~CallerStream() = default;

  /// Reads the available bytes; one read at a time.
  /// @param buf must stay valid until `done` is called
  virtual void ReadSome(asio::mutable_buffer buf, OnRead done) = 0;
  /// Writes as many bytes as possible without blocking.
  /// @param ec receives `would_block` if not all bytes were written
  /// @return number of bytes written
  virtual std::size_t WriteSome(std::string_view bytes,
                                asio::error_code& ec) = 0;
  /// Calls `done` when more can be written, or with the write error.
  virtual void WaitWritable(OnWritable done) = 0;
  /// Shuts down the sending side; the caller may still send.
  virtual void ShutdownSend() = 0;
  /// Whether the connection is reset when it is closed, also by the end of the
  /// process.
  virtual void SetResetOnClose(bool reset) = 0;
  virtual void Close() = 0;
  virtual asio::any_io_executor executor() = 0;
};

/// Makes the stream of an accepted connection.
using CallerStreamFactory =
    std::function<std::shared_ptr<CallerStream>(asio::ip::tcp::socket)>;

/// @return a factory of streams without encryption
CallerStreamFactory MakePlainStreamFactory();
/// @return a factory of TLS streams; the first read performs the handshake
/// @param context holds the certificate and its key
CallerStreamFactory MakeTlsStreamFactory(
    std::shared_ptr<asio::ssl::context> context);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CALLER_STREAM_H_
