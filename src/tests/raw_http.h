/** @file raw_http.h Callers that send raw bytes, and a target that reads leniently, for tests. */
#pragma once

#include "core/time_type.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bilberry {

inline sockaddr_in loopbackAddress(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** Connection of a client that sends raw bytes. */
class RawConnection
{
public:
    explicit RawConnection(int port)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = loopbackAddress(port);
        this->connected
            = ::connect(this->socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            == 0;
    }

    ~RawConnection() { ::close(this->socket); }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(std::string_view bytes)
    {
        (void)!::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /** Tells the server that no more bytes follow. */
    void endSending() { ::shutdown(this->socket, SHUT_WR); }

    /** Reads until the server closes, or until @p heads status lines and a pause have arrived. */
    void read(std::size_t heads, Duration timeout = 5s)
    {
        const TimePoint end = MonotonicClock::now() + timeout;
        while (!this->closed && MonotonicClock::now() < end) {
            const bool complete = heads > 0 && this->statuses().size() >= heads;
            if (!this->receive(complete ? 20 : 200) && complete)
                return;
        }
    }

    /** Reads until the server closes, or @p done says that all has arrived. */
    void readUntil(const std::function<bool()> &done, Duration timeout = 5s)
    {
        const TimePoint end = MonotonicClock::now() + timeout;
        while (!this->closed && !done() && MonotonicClock::now() < end)
            this->receive(200);
    }

    /** @return Status codes of the answers so far; interim (1xx) answers are left out. */
    std::vector<int> statuses() const
    {
        std::vector<int> found;
        const std::string mark = "HTTP/1.1 ";
        for (std::size_t at = this->received.find(mark); at != std::string::npos;
             at = this->received.find(mark, at + 1)) {
            const int status = std::atoi(this->received.c_str() + at + mark.size());
            if (status >= 200)
                found.push_back(status);
        }
        return found;
    }

    std::string received;
    bool connected = false;
    bool closed = false; ///< The server has closed or reset the connection.

private:
    /** Receives what arrives within @p waitMs. @return Whether something has happened. */
    bool receive(int waitMs)
    {
        pollfd waiting{this->socket, POLLIN, 0};
        if (::poll(&waiting, 1, waitMs) == 0)
            return false;
        char buffer[8192];
        const ssize_t size = ::recv(this->socket, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size > 0)
            this->received.append(buffer, static_cast<std::size_t>(size));
        else if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            this->closed = true;
        return true;
    }

    int socket;
};

/** Request as a lenient reader takes it. */
struct LenientRequest
{
    std::string bytes; ///< Head and body as received.
    std::string line; ///< First line.
    /** Names in lower case without blanks around them, and values. */
    std::vector<std::pair<std::string, std::string>> headers;

    std::string header(std::string_view name) const
    {
        std::string value;
        for (const auto &[key, text] : this->headers) {
            if (key == name)
                value = text;
        }
        return value;
    }
};

/**
 * Reads a request that begins at the start of @p bytes as a lenient server does: a bare CR or LF
 * ends a line, blanks around a name are dropped, and the last of several lengths counts.
 * @return Whether a whole request was read.
 */
inline bool readLeniently(const std::string &bytes, LenientRequest &request)
{
    std::size_t at = 0;
    bool first = true;
    while (true) {
        const std::size_t end = bytes.find_first_of("\r\n", at);
        if (end == std::string::npos || (bytes[end] == '\r' && end + 1 == bytes.size()))
            return false;
        const std::string line = bytes.substr(at, end - at);
        at = end + (bytes.compare(end, 2, "\r\n") == 0 ? 2 : 1);
        if (line.empty() && !first)
            break;
        const std::size_t colon = line.find(':');
        if (first)
            request.line = line;
        else if (colon != std::string::npos)
            request.headers.emplace_back(
                absl::AsciiStrToLower(absl::StripAsciiWhitespace(line.substr(0, colon))),
                std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
        first = false;
    }
    const std::size_t length = std::strtoul(request.header("content-length").c_str(), nullptr, 0);
    if (bytes.size() < at + length)
        return false;
    request.bytes = bytes.substr(0, at + length);
    return true;
}

/** Target that reads leniently, records what reaches it and answers each request with 200. */
class LenientTarget
{
public:
    LenientTarget()
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound = loopbackAddress(0);
        socklen_t size = sizeof(bound);
        ::bind(this->socket, reinterpret_cast<sockaddr *>(&bound), size);
        ::listen(this->socket, 64);
        ::getsockname(this->socket, reinterpret_cast<sockaddr *>(&bound), &size);
        this->address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
        this->thread = std::thread([this]() { this->run(); });
    }

    ~LenientTarget()
    {
        this->stopping = true;
        this->thread.join();
        ::close(this->socket);
    }

    /** @return Requests received since the previous call. */
    std::vector<LenientRequest> take()
    {
        absl::MutexLock lock(&this->mutex);
        return std::exchange(this->requests, {});
    }

    std::string address;

private:
    void run()
    {
        std::vector<pollfd> sockets{{this->socket, POLLIN, 0}};
        std::vector<std::string> unread{""};
        while (!this->stopping) {
            ::poll(sockets.data(), sockets.size(), 10);
            if ((sockets[0].revents & POLLIN) != 0) {
                sockets.push_back({::accept(this->socket, nullptr, nullptr), POLLIN, 0});
                unread.emplace_back();
            }
            for (std::size_t i = 1; i < sockets.size(); ++i)
                this->serve(sockets[i], unread[i]);
        }
        for (std::size_t i = 1; i < sockets.size(); ++i)
            ::close(sockets[i].fd);
    }

    void serve(pollfd &connection, std::string &unread)
    {
        char buffer[32768];
        const ssize_t size = ::recv(connection.fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size == 0)
            connection.events = 0;
        if (size <= 0)
            return;
        unread.append(buffer, static_cast<std::size_t>(size));
        for (LenientRequest request; readLeniently(unread, request); request = {}) {
            unread.erase(0, request.bytes.size());
            const std::string answer = absl::StrCat(
                "HTTP/1.1 200 OK\r\nX-Correlation-Id: ", request.header("x-correlation-id"),
                "\r\nX-Bilberrybend-Request-Id: ", request.header("x-bilberrybend-request-id"),
                "\r\nX-Bilberrybend-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
            {
                absl::MutexLock lock(&this->mutex);
                this->requests.push_back(std::move(request));
            }
            (void)!::send(connection.fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
    }

    absl::Mutex mutex;
    std::vector<LenientRequest> requests ABSL_GUARDED_BY(mutex);
    int socket;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bilberry
