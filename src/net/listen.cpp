/** @file listen.cpp Listening TCP sockets. */
#include "net/listen_func.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberry {

namespace {

constexpr int BACKLOG = 1'024;

} // namespace

Result<int> bindTo(const Endpoint &endpoint)
{
    sockaddr_in v4{};
    sockaddr_in6 v6{};
    sockaddr *address = nullptr;
    socklen_t length = 0;
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
        address = reinterpret_cast<sockaddr *>(&v4);
        length = sizeof v4;
    } else if (inet_pton(AF_INET6, endpoint.ip.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(static_cast<std::uint16_t>(endpoint.port));
        address = reinterpret_cast<sockaddr *>(&v6);
        length = sizeof v6;
    } else {
        return Errc::InvalidSettings;
    }
    const int fd = ::socket(address->sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    const bool bound = fd >= 0 && ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
        && ::bind(fd, address, length) == 0;
    if (bound)
        return fd;
    if (fd >= 0)
        ::close(fd);
    return Errc::AddressInUse;
}

Result<void> startListening(int socket)
{
    if (::listen(socket, BACKLOG) != 0)
        return Errc::AddressInUse;
    return boost::outcome_v2::success();
}

Result<int> listenOn(const Endpoint &endpoint)
{
    BOOST_OUTCOME_TRY(socket, bindTo(endpoint));
    const Result<void> listening = startListening(socket);
    if (listening)
        return socket;
    ::close(socket);
    return listening.error();
}

int boundPort(int socket)
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.ss_family == AF_INET
                     ? reinterpret_cast<sockaddr_in *>(&address)->sin_port
                     : reinterpret_cast<sockaddr_in6 *>(&address)->sin6_port);
}

} // namespace bilberry
