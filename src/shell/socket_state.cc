#include "shell/socket_state.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace yuccapick {

bool PeerHasReceivedAll(int fd) {
  // A reset after the end of the stream is told by this only.
  int error = 0;
  socklen_t size = sizeof(error);
  const bool known = ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
  if (known && error != 0) return false;
  int unacknowledged = 0;
  return ::ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

}  // namespace yuccapick
