/** @file connection_state_test.cpp What a server knows of a caller that may have left. */
#include "net/connection_state_func.h"
#include "net/http_server_base.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>

#include "raw_http.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration PAUSE = 300ms;

/** Listening socket whose connections nobody accepts until the test does. */
class SlowListener
{
public:
    SlowListener()
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in any = loopbackAddress(0);
        ::bind(this->socket, reinterpret_cast<const sockaddr *>(&any), sizeof(any));
        ::listen(this->socket, 4);
    }

    ~SlowListener() { ::close(this->socket); }
    SlowListener(const SlowListener &) = delete;
    SlowListener &operator=(const SlowListener &) = delete;

    int port() const
    {
        sockaddr_in bound{};
        socklen_t size = sizeof(bound);
        ::getsockname(this->socket, reinterpret_cast<sockaddr *>(&bound), &size);
        return ntohs(bound.sin_port);
    }

    int accept() const { return ::accept(this->socket, nullptr, nullptr); }

private:
    const int socket;
};

} // namespace

// Guards against: an order that waited in the socket of a process that stood still, and is taken
// for one that has just been sent.
Test(connection_state, data_that_waited_to_be_read_has_its_age)
{
    SlowListener listener;
    RawConnection caller(listener.port());
    caller.send("POST / HTTP/1.1\r\n\r\n");
    absl::SleepFor(absl::Microseconds(PAUSE.count()));
    const int socket = listener.accept();
    const Duration age = timeSinceLastData(socket);
    cr_expect_geq(age.count(), (PAUSE - 20ms).count()); // The kernel counts in ticks.
    cr_expect_lt(age.count(), (PAUSE + 10s).count());
    cr_expect(isPeerConnected(socket));
    caller.send("POST / HTTP/1.1\r\n\r\n");
    absl::SleepFor(absl::Milliseconds(1));
    cr_expect_lt(timeSinceLastData(socket).count(), PAUSE.count());
    ::close(socket);
}

// Guards against: a caller that has closed its connection and seems to wait, since its request has
// not been read.
Test(connection_state, closed_connection_with_unread_data_is_seen)
{
    SlowListener listener;
    auto caller = std::make_unique<RawConnection>(listener.port());
    caller->send("POST / HTTP/1.1\r\n\r\n");
    const int socket = listener.accept();
    cr_expect(isPeerConnected(socket));
    caller.reset();
    absl::SleepFor(absl::Milliseconds(20));
    cr_expect(!isPeerConnected(socket));
    ::close(socket);
}

// Guards against: a handler that cannot tell that its caller has left.
Test(connection_state, handler_learns_that_its_caller_has_left)
{
    absl::Notification asked;
    absl::Notification left;
    bool waitedBefore = false;
    Duration age{-1};
    const auto server = HttpServer::start({"127.0.0.1", 0}, [&](const HttpRequest &request) {
                            waitedBefore = request.callerWaits();
                            age = MonotonicClock::now() - request.arrivedAt;
                            asked.Notify();
                            for (int i = 0; i < 500 && request.callerWaits(); ++i)
                                absl::SleepFor(absl::Milliseconds(10));
                            if (!request.callerWaits())
                                left.Notify();
                            return HttpReply{};
                        }).value();
    auto caller = std::make_unique<RawConnection>(server->port());
    caller->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    asked.WaitForNotification();
    caller.reset();
    cr_expect(left.WaitForNotificationWithTimeout(absl::Seconds(10)));
    cr_expect(waitedBefore);
    cr_expect_geq(age.count(), 0);
    cr_expect_lt(age.count(), Duration(5s).count());
}
