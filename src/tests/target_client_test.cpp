/** @file target_client_test.cpp Orders and attempts are sent before their sendBy or not at all. */
#include "net/native_edge_func.h"
#include "net/target_client_base.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <functional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration TIME_UNTIL_SEND_BY = 300ms; ///< From the start of a test until sendBy.
constexpr Duration WAIT_TIMEOUT = 5s; ///< Longer than retransmitting a dropped SYN takes.

/** Listening socket of a target; accepts connections only when a test asks for it. */
class Listener
{
public:
    Listener()
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        this->bound.sin_family = AF_INET;
        this->bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(this->bound);
        cr_assert_eq(bind(this->socket, this->asAddress(), size), 0);
        cr_assert_eq(listen(this->socket, 0), 0);
        getsockname(this->socket, this->asAddress(), &size);
    }

    ~Listener()
    {
        for (const int backlogConnection : this->backlogConnections)
            close(backlogConnection);
        close(this->socket);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(ntohs(this->bound.sin_port));
    }

    /** Fills the accept backlog, so that the kernel drops the SYN of the next connection. */
    void fillBacklog()
    {
        for (int i = 0; i < 2; ++i) {
            const int backlogConnection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)connect(backlogConnection, this->asAddress(), sizeof(this->bound));
            this->backlogConnections.push_back(backlogConnection);
        }
        absl::SleepFor(absl::Milliseconds(50));
    }

    /**
     * Answers two requests on the same connection.
     * @param between Called after the first answer, before the second request is read.
     * @return The second request.
     */
    std::string serveTwo(const std::function<void()> &between)
    {
        const int connection = accept(this->socket, nullptr, nullptr);
        readRequest(connection);
        writeAnswer(connection);
        between();
        const std::string next = readRequest(connection);
        writeAnswer(connection);
        close(connection);
        return next;
    }

    /** Accepts connections for @p timeout. @return All bytes received on them. */
    std::string receive(Duration timeout)
    {
        const TimePoint end = MonotonicClock::now() + timeout;
        std::string got;
        std::vector<pollfd> sockets{{this->socket, POLLIN, 0}};
        while (MonotonicClock::now() < end) {
            poll(sockets.data(), sockets.size(), 10);
            if ((sockets[0].revents & POLLIN) != 0)
                sockets.push_back({accept(this->socket, nullptr, nullptr), POLLIN, 0});
            for (std::size_t i = 1; i < sockets.size(); ++i) {
                char buffer[4096];
                const ssize_t size = recv(sockets[i].fd, buffer, sizeof(buffer), MSG_DONTWAIT);
                got.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
                if (size == 0)
                    sockets[i].events = 0;
            }
        }
        for (std::size_t i = 1; i < sockets.size(); ++i)
            close(sockets[i].fd);
        return got;
    }

private:
    /** Reads until the body is complete; headers and body may arrive in several segments. */
    static std::string readRequest(int connection)
    {
        std::string got;
        while (got.find("\r\n\r\nbody") == std::string::npos) {
            char buffer[4096];
            const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
            if (size <= 0)
                break;
            got.append(buffer, static_cast<std::size_t>(size));
        }
        return got;
    }

    static void writeAnswer(int connection)
    {
        const std::string answer
            = "HTTP/1.1 200 OK\r\nX-Correlation-Id: 0\r\nContent-Length: 2\r\n\r\nok";
        cr_assert_eq(write(connection, answer.data(), answer.size()), answer.size());
    }

    sockaddr *asAddress() { return reinterpret_cast<sockaddr *>(&this->bound); }

    int socket;
    sockaddr_in bound{};
    std::vector<int> backlogConnections;
};

/** Client that records the reply to an order. */
struct OrderSender
{
    OrderSender()
        : client(
            std::make_shared<ExchangeTable>(), nativeEdge(), "leader", [](HostEvent &&) {},
            [this](ControlEvent &&event) {
                absl::MutexLock lock(&this->mutex);
                this->reply = std::get<OrderReplyEvent>(event).reply;
            })
    {
    }

    void send(const Listener &target, TimePoint sendBy)
    {
        SendOrder order;
        order.replica = "t/m:";
        order.address = target.address();
        order.order.variant.model = ModelId("m");
        order.sendBy = sendBy;
        cr_assert(this->client.sendOrder(order));
    }

    std::optional<OrderReply> waitReply(Duration timeout)
    {
        absl::MutexLock lock(&this->mutex);
        const auto replied = [this]() { return this->reply.has_value(); };
        this->mutex.AwaitWithTimeout(absl::Condition(&replied),
                                     absl::Microseconds(timeout.count()));
        return this->reply;
    }

    absl::Mutex mutex;
    std::optional<OrderReply> reply;
    TargetClient client;
};

/** Client that sends one caller's request and records how the attempt ended. */
struct AttemptSender
{
    AttemptSender()
        : exchanges(std::make_shared<ExchangeTable>())
        , exchange(exchanges->add(RequestId(1)))
        , client(
              exchanges, nativeEdge(), "host",
              [this](HostEvent &&event) {
                  absl::MutexLock lock(&this->mutex);
                  this->result = std::get<AttemptEnded>(event).result;
              },
              [](ControlEvent &&) {})
    {
        this->exchange->forwarded.path = "/p";
        this->exchange->forwarded.body = "body";
    }

    void start(const Listener &target, Duration remaining, Duration untilSendBy)
    {
        const TimePoint now = MonotonicClock::now();
        StartAttempt attempt;
        attempt.attempt = AttemptId(1);
        attempt.request = RequestId(1);
        attempt.address = target.address();
        attempt.remaining = remaining;
        attempt.deadline = now + remaining;
        attempt.sendBy = now + untilSendBy;
        attempt.firstByteLimit = attempt.interByteLimit = 2 * WAIT_TIMEOUT;
        cr_assert(this->client.start(attempt));
    }

    std::optional<AttemptResult> waitResult(Duration timeout)
    {
        absl::MutexLock lock(&this->mutex);
        const auto ended = [this]() { return this->result.has_value(); };
        this->mutex.AwaitWithTimeout(absl::Condition(&ended), absl::Microseconds(timeout.count()));
        return this->result;
    }

    absl::Mutex mutex;
    std::optional<AttemptResult> result;
    std::shared_ptr<ExchangeTable> exchanges;
    std::shared_ptr<Exchange> exchange;
    TargetClient client;
};

/** @return Time limit in the request's header, or nothing if the header is missing. */
std::optional<Duration> readTimeLimitHeader(const std::string &got)
{
    static const std::string NAME = "X-Time-Limit-Ms: ";
    const std::size_t at = got.find(NAME);
    if (at == std::string::npos)
        return std::nullopt;
    return std::chrono::milliseconds(std::stol(got.substr(at + NAME.size())));
}

} // namespace

// Guards against sending an order that waited in the sender's queue until the leader's lease
// expired.
Test(target_client, order_is_not_sent_after_the_lease_has_expired)
{
    Listener target;
    OrderSender sender;
    sender.send(target, MonotonicClock::now() - 1ms);
    cr_assert_eq(sender.waitReply(WAIT_TIMEOUT), OrderReply::Unsent);
    cr_assert_eq(target.receive(500ms), "");
}

// Guards against sending an order when its connection was established only after the leader's lease
// had expired.
Test(target_client, order_is_not_sent_when_connecting_outlasts_the_lease)
{
    Listener target;
    target.fillBacklog();
    OrderSender sender;
    sender.send(target, MonotonicClock::now() + TIME_UNTIL_SEND_BY);
    absl::SleepFor(absl::Microseconds((2 * TIME_UNTIL_SEND_BY).count()));
    const std::string got = target.receive(3s);
    cr_assert_eq(got.find("POST"), std::string::npos, "the target received: %s", got.c_str());
    cr_assert_eq(sender.waitReply(WAIT_TIMEOUT), OrderReply::Unsent);
}

// Guards against checks so strict that orders within the lease are not sent.
Test(target_client, order_within_the_lease_is_sent_immediately)
{
    Listener target;
    OrderSender sender;
    sender.send(target, MonotonicClock::now() + TIME_UNTIL_SEND_BY);
    const std::string got = target.receive(200ms);
    cr_assert_neq(got.find("POST"), std::string::npos);
}

// Guards against sending an attempt when its connection was established only after the host's view
// of targets, zones and budgets had expired.
Test(target_client, attempt_is_not_sent_when_connecting_outlasts_send_by)
{
    Listener target;
    target.fillBacklog();
    AttemptSender sender;
    sender.start(target, WAIT_TIMEOUT, TIME_UNTIL_SEND_BY);
    absl::SleepFor(absl::Microseconds((2 * TIME_UNTIL_SEND_BY).count()));
    const std::string got = target.receive(3s);
    cr_assert_eq(got.find("POST"), std::string::npos, "the target received: %s", got.c_str());
    cr_assert_eq(sender.waitResult(WAIT_TIMEOUT), AttemptResult::NotSent);
}

// Guards against sending an attempt that waited in the sender's queue until the host's view of
// targets, zones and budgets had expired.
Test(target_client, attempt_past_send_by_is_not_sent)
{
    Listener target;
    AttemptSender sender;
    sender.start(target, WAIT_TIMEOUT, -1ms);
    cr_assert_eq(sender.waitResult(WAIT_TIMEOUT), AttemptResult::NotSent);
    cr_assert_eq(target.receive(500ms), "");
}

// Guards against a time limit sent to the target that still includes the time spent on connecting.
Test(target_client, attempt_sends_the_time_remaining_after_connecting)
{
    constexpr Duration TIME_LIMIT = 5s;
    constexpr Duration CONNECT_DELAY = 600ms;
    Listener target;
    target.fillBacklog();
    AttemptSender sender;
    sender.start(target, TIME_LIMIT, TIME_LIMIT);
    absl::SleepFor(absl::Microseconds(CONNECT_DELAY.count()));
    const std::optional<Duration> sentLimit = readTimeLimitHeader(target.receive(2s));
    cr_assert(sentLimit);
    cr_assert_leq(sentLimit->count(), (TIME_LIMIT - CONNECT_DELAY).count());
    cr_assert_gt(sentLimit->count(), 0);
}

// Guards against sending the time limit of an earlier request, or none, on a reused connection.
Test(target_client, attempt_on_a_reused_connection_sends_its_own_time_limit)
{
    Listener target;
    AttemptSender sender;
    sender.start(target, 5s, 5s);
    const std::string next = target.serveTwo([&]() {
        cr_assert_eq(sender.waitResult(WAIT_TIMEOUT), AttemptResult::Answered);
        sender.start(target, 2s, 2s);
    });
    cr_assert_eq(sender.waitResult(WAIT_TIMEOUT), AttemptResult::Answered);
    const std::optional<Duration> sentLimit = readTimeLimitHeader(next);
    cr_assert(sentLimit, "the target received: %s", next.c_str());
    cr_assert_leq(sentLimit->count(), Duration(2s).count());
    cr_assert_gt(sentLimit->count(), Duration(1s).count());
}
