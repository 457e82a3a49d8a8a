//===- SocketBytes.cpp - What a socket takes and holds --------------------===//
#include "SocketBytes.h"

#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pepperlug
{

std::optional<std::size_t> writeNow(int socket, std::string_view bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return std::nullopt;
        }
        if (n <= 0) {
            break;
        }
        done += static_cast<std::size_t>(n);
    }
    return done;
}

std::uint64_t unacknowledged(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? static_cast<std::uint64_t>(std::max(bytes, 0)) : 0;
}

// After a plain close the system goes on sending.
bool closeUndelivered(int socket)
{
    const bool isUndelivered = unacknowledged(socket) > 0;
    if (isUndelivered) {
        const linger reset{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    ::close(socket);
    return isUndelivered;
}

} // namespace pepperlug
