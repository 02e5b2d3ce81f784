/** @file connection_state.cpp What the kernel knows of the peer of a TCP connection. */
#include "net/connection_state_func.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace bilberry {

bool isPeerConnected(int socket)
{
    pollfd state{socket, POLLRDHUP, 0};
    if (::poll(&state, 1, 0) <= 0)
        return true;
    return (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) == 0;
}

Duration timeSinceLastData(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return Duration::zero();
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace bilberry
