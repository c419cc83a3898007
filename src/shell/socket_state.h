#ifndef YUCCAPICK_SHELL_SOCKET_STATE_H_
#define YUCCAPICK_SHELL_SOCKET_STATE_H_

/// @file
/// What the kernel knows of a connection beyond its reads and writes.

namespace yuccapick {

/// To be asked when the end of the peer's stream was read, which acknowledges
/// all that the peer's side had received until then.
/// @param fd a connected TCP socket
/// @return false if the peer's side had not received all bytes that were
///   written, or has reset the connection since; true also if neither is known
bool PeerHasReceivedAll(int fd);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_SOCKET_STATE_H_
