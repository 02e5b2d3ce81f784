/** @file answer_fault_test.cpp Faulty answers of targets, and what targets state in the heads of
 * their answers, on real connections. */
#include "net/native_edge_func.h"
#include "net/target_client_base.h"
#include "platform/edge_func.h"
#include "stream/stream_progress_func.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <atomic>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration WAIT_TIMEOUT = 5s;
constexpr Duration REQUEST_TIMEOUT = 20s; ///< Far longer than WAIT_TIMEOUT.
constexpr const char *CALLER_ID = "r-1"; ///< Request id of the caller on the platform.

/** Answer to one request; "$ID" is replaced by the correlation id of the request's attempt. */
struct ScriptedAnswer
{
    std::string text;
    bool closes = false; ///< Closes the connection after the answer.
};

/** Target that answers the requests in the order of their arrival, on any connection. */
class ScriptedTarget
{
public:
    explicit ScriptedTarget(std::vector<ScriptedAnswer> script)
        : script(std::move(script))
        , socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(bound);
        cr_assert_eq(bind(this->socket, reinterpret_cast<sockaddr *>(&bound), size), 0);
        cr_assert_eq(listen(this->socket, 16), 0);
        getsockname(this->socket, reinterpret_cast<sockaddr *>(&bound), &size);
        this->address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
        this->thread = std::thread([this]() { this->run(); });
    }

    ~ScriptedTarget()
    {
        this->stopping = true;
        this->thread.join();
        close(this->socket);
    }

    std::string address;
    std::atomic<int> connections{0};
    std::atomic<std::size_t> requests{0};
    std::atomic<std::size_t> receivedBytes{0};

private:
    void run()
    {
        std::vector<pollfd> sockets{{this->socket, POLLIN, 0}};
        std::vector<std::string> got{""};
        while (!this->stopping) {
            poll(sockets.data(), sockets.size(), 10);
            if ((sockets[0].revents & POLLIN) != 0) {
                ++this->connections;
                sockets.push_back({accept(this->socket, nullptr, nullptr), POLLIN, 0});
                got.emplace_back();
            }
            for (std::size_t i = 1; i < sockets.size(); ++i)
                this->read(sockets[i], got[i]);
        }
        for (std::size_t i = 1; i < sockets.size(); ++i) {
            if (sockets[i].fd >= 0)
                close(sockets[i].fd);
        }
    }

    void read(pollfd &connection, std::string &got)
    {
        char buffer[4096];
        const ssize_t size
            = connection.fd < 0 ? -1 : recv(connection.fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        got.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        this->receivedBytes += static_cast<std::size_t>(std::max<ssize_t>(size, 0));
        if (size == 0)
            connection.events = 0;
        if (got.find("\r\n\r\n") == std::string::npos || this->requests >= this->script.size())
            return;
        const ScriptedAnswer &answer = this->script[this->requests++];
        const std::string text = withId(answer.text, got);
        (void)!write(connection.fd, text.data(), text.size());
        got.clear();
        if (answer.closes) {
            close(connection.fd);
            connection.fd = -1;
        }
    }

    static std::string withId(std::string text, const std::string &request)
    {
        static const std::string NAME = "X-Correlation-Id: ";
        const std::size_t at = request.find(NAME);
        const std::string id = at == std::string::npos
            ? CALLER_ID
            : request.substr(at + NAME.size(), request.find('\r', at) - at - NAME.size());
        for (std::size_t mark = text.find("$ID"); mark != std::string::npos;
             mark = text.find("$ID"))
            text.replace(mark, 3, id);
        return text;
    }

    std::vector<ScriptedAnswer> script;
    int socket;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/** Sends the attempts of one caller's request and records what is reported about them. */
struct Caller
{
    explicit Caller(const Edge &edge)
        : edge(edge)
        , exchanges(std::make_shared<ExchangeTable>())
        , exchange(exchanges->add(RequestId(1)))
        , client(
              exchanges, edge, "host", [this](HostEvent &&event) { this->record(event); },
              [](ControlEvent &&) {})
    {
        this->exchange->forwarded.method = "GET";
        this->exchange->forwarded.path = "/p";
        this->exchange->forwarded.correlation = CALLER_ID;
        this->exchange->forwarded.headers = {{"X-Bilberrybend-Request-Id", CALLER_ID}};
    }

    void record(const HostEvent &event)
    {
        absl::MutexLock lock(&this->mutex);
        if (const auto *attempt = std::get_if<AttemptEnded>(&event))
            this->ended = *attempt;
        else if (const auto *stated = std::get_if<TargetStated>(&event))
            this->stated = *stated;
    }

    void start(const std::string &address, std::int64_t resumeAfter = 0)
    {
        const TimePoint now = MonotonicClock::now();
        {
            absl::MutexLock lock(&this->mutex);
            this->ended.reset();
        }
        StartAttempt attempt;
        attempt.attempt = AttemptId(++this->attempts);
        attempt.correlation = resumeAfter > 0 ? AttemptId(1) : attempt.attempt;
        attempt.request = RequestId(1);
        attempt.target = TargetId("t");
        attempt.address = address;
        attempt.remaining = REQUEST_TIMEOUT;
        attempt.deadline = now + REQUEST_TIMEOUT;
        attempt.sendBy = now + REQUEST_TIMEOUT;
        attempt.firstByteLimit = attempt.interByteLimit = REQUEST_TIMEOUT;
        for (std::int64_t i = 1; i <= resumeAfter; ++i)
            addEvent(attempt.relayed, EventId{i, std::to_string(i)});
        cr_assert(this->client.start(attempt));
    }

    std::optional<AttemptEnded> waitEnded()
    {
        absl::MutexLock lock(&this->mutex);
        const auto hasEnded = [this]() { return this->ended.has_value(); };
        this->mutex.AwaitWithTimeout(absl::Condition(&hasEnded),
                                     absl::Microseconds(WAIT_TIMEOUT.count()));
        return this->ended;
    }

    /** @return How an attempt to @p address ended. */
    AttemptResult send(const std::string &address, std::int64_t resumeAfter = 0)
    {
        this->start(address, resumeAfter);
        const std::optional<AttemptEnded> end = this->waitEnded();
        cr_assert(end, "the attempt did not end");
        return end->result;
    }

    std::optional<TargetStated> waitStated()
    {
        absl::MutexLock lock(&this->mutex);
        const auto hasStated = [this]() { return this->stated.has_value(); };
        this->mutex.AwaitWithTimeout(absl::Condition(&hasStated),
                                     absl::Microseconds(WAIT_TIMEOUT.count()));
        return this->stated;
    }

    bool answerBegun() const
    {
        absl::MutexLock lock(&this->exchange->mutex);
        return this->exchange->begun;
    }

    bool answerEnded() const
    {
        absl::MutexLock lock(&this->exchange->mutex);
        return this->exchange->ended;
    }

    std::string relayed() const
    {
        absl::MutexLock lock(&this->exchange->mutex);
        return this->exchange->buffer;
    }

    const Edge &edge;
    absl::Mutex mutex;
    std::optional<AttemptEnded> ended;
    std::optional<TargetStated> stated;
    std::uint64_t attempts = 0;
    std::shared_ptr<ExchangeTable> exchanges;
    std::shared_ptr<Exchange> exchange;
    TargetClient client;
};

/** One interface towards targets, with the headers that make an answer belong to its attempt. */
struct Interface
{
    const char *name;
    const Edge &edge;
    std::string identity;
    std::string notRun;
    std::string leaving;
};

std::vector<Interface> interfaces()
{
    return {{"native", nativeEdge(), "X-Correlation-Id: $ID\r\n", "X-Execution: not-run\r\n",
             "X-Target-Leaving: 1\r\n"},
            {"platform", platformEdge(),
             "X-Bilberrybend-Request-Id: $ID\r\nX-Bilberrybend-Server-Seal: s\r\n",
             "X-Bilberrybend-Not-Executed: 1\r\n", "Server-Leaving: 1\r\n"}};
}

std::string events(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number)
        text += "id: " + std::to_string(number) + "\ndata: x" + std::to_string(number) + "\n\n";
    return text;
}

std::string streamHead(const Interface &protocol)
{
    return "HTTP/1.1 200 OK\r\n" + protocol.identity + "Content-Type: text/event-stream\r\n";
}

std::string withLength(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** @return Stream of two events that breaks off. */
ScriptedAnswer brokenStream(const Interface &protocol)
{
    return {streamHead(protocol) + "Content-Length: 1000\r\n\r\n" + events(1, 2), true};
}

/** @return Reply to an order that is sent to @p address. */
std::optional<OrderReply> replyToOrder(const std::string &address, const Edge &edge = nativeEdge(),
                                       TargetId id = TargetId("t"))
{
    absl::Mutex mutex;
    std::optional<OrderReply> reply;
    TargetClient client(
        std::make_shared<ExchangeTable>(), edge, "leader", [](HostEvent &&) {},
        [&](ControlEvent &&event) {
            absl::MutexLock lock(&mutex);
            reply = std::get<OrderReplyEvent>(event).reply;
        });
    SendOrder order;
    order.replica = "t/m:";
    order.address = address;
    order.order.variant.model = ModelId("m");
    order.order.target = std::move(id);
    order.sendBy = MonotonicClock::now() + WAIT_TIMEOUT;
    cr_assert(client.sendOrder(order));
    absl::MutexLock lock(&mutex);
    const auto replied = [&]() { return reply.has_value(); };
    mutex.AwaitWithTimeout(absl::Condition(&replied), absl::Microseconds(WAIT_TIMEOUT.count()));
    return reply;
}

} // namespace

// Guards against a complete answer with an empty body for a target that stopped in the middle of
// the head of its answer and closed.
Test(answer_fault, an_answer_that_ends_inside_its_head_is_not_complete, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + protocol.identity;
        const std::string stream = streamHead(protocol);
        for (const std::string &text :
             {std::string("HTTP/1.1 200 OK\r\n"), head, head + "Content-Ty", head + "X-A: b\r",
              stream, stream + "X-Half"}) {
            ScriptedTarget target({{text, true}});
            Caller caller(protocol.edge);
            const AttemptResult result = caller.send(target.address);
            cr_expect_neq(result, AttemptResult::Answered, "%s: %s", protocol.name, text.c_str());
            cr_expect_neq(result, AttemptResult::Refused, "%s: %s", protocol.name, text.c_str());
            cr_expect_not(caller.answerBegun(), "%s: %s", protocol.name, text.c_str());
        }
    }
}

// Guards against an order that counts as accepted although its answer broke off inside the head.
Test(answer_fault, an_order_whose_answer_ends_inside_its_head_is_undetermined, .timeout = 60)
{
    for (const std::string text :
         {"HTTP/1.1 202 Accepted\r\n", "HTTP/1.1 409 Conflict\r\nX-A: b\r\n"}) {
        ScriptedTarget target({{text, true}});
        cr_expect_eq(replyToOrder(target.address), OrderReply::Unknown, "%s", text.c_str());
    }
}

// Guards against the text of an error, or a complete end, in the middle of a caller's stream when
// the target that was to go on with it answers with something else.
Test(answer_fault, what_does_not_go_on_with_a_stream_is_not_relayed, .timeout = 120)
{
    for (const Interface &protocol : interfaces()) {
        std::vector<std::string> answers;
        for (const char *status : {"400 Bad Request", "404 Not Found", "409 Conflict",
                                   "500 Internal Server Error", "503 Service Unavailable"})
            answers.push_back(std::string("HTTP/1.1 ") + status + "\r\n" + protocol.identity
                              + withLength("error text"));
        answers.push_back("HTTP/1.1 200 OK\r\n" + protocol.identity
                          + "Content-Type: application/json\r\n" + withLength("{}"));
        answers.push_back("HTTP/1.1 200 OK\r\n" + protocol.identity + withLength(""));
        if (&protocol.edge == &platformEdge()) {
            answers.push_back(streamHead(protocol) + withLength(events(1, 4)));
            answers.push_back(streamHead(protocol) + withLength(events(2, 4)));
        }
        for (const std::string &answer : answers) {
            ScriptedTarget target({brokenStream(protocol), {answer, true}});
            Caller caller(protocol.edge);
            cr_assert_eq(caller.send(target.address), AttemptResult::Lost);
            const std::string before = caller.relayed();
            cr_assert_eq(before, events(1, 2));
            const AttemptResult result = caller.send(target.address, 2);
            cr_expect_neq(result, AttemptResult::Answered, "%s: %s", protocol.name, answer.c_str());
            cr_expect_eq(caller.relayed(), before, "%s: %s", protocol.name, answer.c_str());
            cr_expect_not(caller.answerEnded(), "%s: %s", protocol.name, answer.c_str());
        }
    }
}

// Guards against checks so strict that a stream that goes on where it stopped is broken off.
Test(answer_fault, a_stream_that_goes_on_where_it_stopped_is_relayed, .timeout = 60)
{
    const Interface protocol = interfaces()[1];
    ScriptedTarget target(
        {brokenStream(protocol), {streamHead(protocol) + withLength(events(3, 5)), false}});
    Caller caller(protocol.edge);
    cr_assert_eq(caller.send(target.address), AttemptResult::Lost);
    cr_assert_eq(caller.send(target.address, 2), AttemptResult::Answered);
    cr_assert_eq(caller.relayed(), events(1, 5));
    cr_assert(caller.answerEnded());
}

// Guards against a refusal that the target writes once more on a kept connection and that passes
// for the answer to the next request there.
Test(answer_fault, a_connection_that_carried_a_refusal_is_not_used_again, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n" + protocol.identity
            + protocol.notRun + withLength("full");
        const std::string answer = "HTTP/1.1 200 OK\r\n" + protocol.identity + withLength("ok");
        ScriptedTarget target({{refusal, false}, {answer, false}});
        Caller caller(protocol.edge);
        cr_expect_eq(caller.send(target.address), AttemptResult::Refused, "%s", protocol.name);
        cr_expect_eq(caller.send(target.address), AttemptResult::Answered, "%s", protocol.name);
        cr_expect_eq(target.connections, 2, "%s", protocol.name);
    }
}

// Guards against a refusal without the request's id on a reused connection, where it may be the
// repeat of an earlier one while the target runs the request.
Test(answer_fault, a_refusal_without_id_counts_only_on_a_new_connection, .timeout = 60)
{
    const Interface protocol = interfaces()[1];
    const std::string answer = "HTTP/1.1 200 OK\r\n" + protocol.identity + withLength("ok");
    const std::string refusal
        = "HTTP/1.1 400 Bad Request\r\n" + protocol.notRun + withLength("no id");
    ScriptedTarget fresh({{refusal, false}});
    Caller first(protocol.edge);
    cr_expect_eq(first.send(fresh.address), AttemptResult::Refused);
    ScriptedTarget kept({{answer, false}, {refusal, false}});
    Caller second(protocol.edge);
    cr_expect_eq(second.send(kept.address), AttemptResult::Answered);
    cr_expect_eq(second.send(kept.address), AttemptResult::Mismatched);
    cr_expect_eq(kept.connections, 1);
}

// Guards against bytes after a complete answer that arrive only when the next request has been sent
// on the same connection, and pass for its answer or for a refusal of it.
Test(answer_fault, late_bytes_of_an_earlier_answer_are_no_answer, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        const std::string answer = "HTTP/1.1 200 OK\r\n" + protocol.identity + withLength("ok");
        for (const std::string extra : {"more", "moremore\r\n\r\n"}) {
            ScriptedTarget target({{answer, false}, {extra + answer, false}, {answer, false}});
            Caller caller(protocol.edge);
            cr_assert_eq(caller.send(target.address), AttemptResult::Answered);
            const AttemptResult result = caller.send(target.address);
            cr_expect_eq(result, AttemptResult::InvalidResponse, "%s: %s", protocol.name,
                         extra.c_str());
            cr_expect_eq(caller.send(target.address), AttemptResult::Answered, "%s", protocol.name);
            cr_expect_eq(target.connections, 2, "%s", protocol.name);
        }
    }
}

// Guards against a statement that is noticed only at the end of a stream, seconds after its head.
Test(answer_fault, a_statement_is_reported_at_the_end_of_the_head, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        ScriptedTarget target(
            {{streamHead(protocol) + protocol.leaving + "Content-Length: 1000\r\n\r\n", false}});
        Caller caller(protocol.edge);
        caller.start(target.address);
        const std::optional<TargetStated> stated = caller.waitStated();
        cr_assert(stated, "%s", protocol.name);
        cr_expect(stated->statement.leaving, "%s", protocol.name);
        cr_expect_eq(stated->target, TargetId("t"));
        cr_expect_leq(stated->sentAt.time_since_epoch().count(),
                      stated->receivedAt.time_since_epoch().count());
        absl::MutexLock lock(&caller.mutex);
        cr_expect_not(caller.ended.has_value(), "%s", protocol.name);
    }
}

// Guards against the statement of another target, or an earlier one, in an answer that does not
// carry the request's id.
Test(answer_fault, an_answer_of_another_request_states_nothing, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        ScriptedTarget target({{"HTTP/1.1 503 Service Unavailable\r\n" + protocol.notRun
                                    + protocol.leaving + "Retry-After: 9\r\n" + withLength("full"),
                                true}});
        Caller caller(protocol.edge);
        caller.send(target.address);
        absl::MutexLock lock(&caller.mutex);
        cr_expect_not(caller.stated.has_value(), "%s", protocol.name);
    }
}

// Guards against attempts that were decided before a target's statement and are sent up to a second
// and a half after it.
Test(answer_fault, attempts_that_are_not_sent_yet_are_called_back, .timeout = 60)
{
    // The backlog of a listening socket that nobody accepts from is full after two connections, so
    // that the next one stays unconnected.
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound);
    auto *address = reinterpret_cast<sockaddr *>(&bound);
    cr_assert_eq(bind(listener, address, size), 0);
    cr_assert_eq(listen(listener, 0), 0);
    getsockname(listener, address, &size);
    int fill[2];
    for (int &connection : fill) {
        connection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(connection, address, size);
    }
    absl::SleepFor(absl::Milliseconds(50));
    Caller caller(nativeEdge());
    caller.start("127.0.0.1:" + std::to_string(ntohs(bound.sin_port)));
    absl::SleepFor(absl::Milliseconds(50));
    caller.client.callBack(TargetId("another"));
    caller.client.callBack(TargetId("t"));
    const std::optional<AttemptEnded> end = caller.waitEnded();
    cr_assert(end);
    cr_expect_eq(end->result, AttemptResult::NotSent);
    cr_expect(end->calledBack);
    for (const int connection : fill)
        close(connection);
    close(listener);
}

namespace {

/** Lines of a head that make an answer malformed, or leave two readings of its length. */
std::vector<std::string> malformedAnswerLines()
{
    const std::string nul(1, '\0');
    return {
        "Content-Length: 4\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nContent-Length: 4\r\n",
        "Content-Length: 2\r\nContent-Length: 2\r\n",
        "Content-Length: 0x2\r\n",
        "Content-Length: +2\r\n",
        "Content-Length: -2\r\n",
        "Content-Length: 2, 2\r\n",
        "Content-Length: 2 2\r\n",
        "Content-Length:\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length : 2\r\n",
        "Content-Length\t: 2\r\n",
        "Content-Length\v: 2\r\n",
        "Content-Length:\r\n 2\r\n",
        " Content-Length: 2\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 2\r\n",
        "X-A: b\rContent-Length: 1\r\nContent-Length: 2\r\n",
        "X-A: b\nContent-Length: 2\r\n",
        "X-A: b" + nul + "\r\nContent-Length: 2\r\n",
        "X-A: b\x01\r\nContent-Length: 2\r\n",
        "X-A: b\r\n c\r\nContent-Length: 2\r\n",
        "X(A: b\r\nContent-Length: 2\r\n",
        "X A: b\r\nContent-Length: 2\r\n",
        "X-A\r\nContent-Length: 2\r\n",
        ": b\r\nContent-Length: 2\r\n",
    };
}

std::vector<std::string> malformedAnswers(const Interface &protocol)
{
    std::vector<std::string> answers;
    for (const std::string &lines : malformedAnswerLines())
        answers.push_back("HTTP/1.1 200 OK\r\n" + protocol.identity + lines + "\r\nokok");
    const std::string good = protocol.identity + "Content-Length: 2\r\n\r\nok";
    for (const char *line :
         {"HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1  200 OK", "HTTP/1.2 200 OK",
          "http/1.1 200 OK", "HTTP/1.1 200OK", "HTTP/1.1 101 Switching Protocols"})
        answers.push_back(std::string(line) + "\r\n" + good);
    answers.push_back("HTTP/1.1 204 No Content\r\n" + good);
    answers.push_back("HTTP/1.0 200 OK\r\n" + protocol.identity
                      + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    const std::string chunked
        = "HTTP/1.1 200 OK\r\n" + protocol.identity + "Transfer-Encoding: chunked\r\n\r\n";
    answers.push_back(chunked + "2\r\nok\r\n0\r\nX-A : b\r\n\r\n");
    answers.push_back(chunked + "0x2\r\nok\r\n0\r\n\r\n");
    answers.push_back(chunked + "-2\r\nok\r\n0\r\n\r\n");
    answers.push_back("HTTP/1.1 200 OK\r\n" + protocol.identity + protocol.identity
                      + withLength("ok"));
    return answers;
}

} // namespace

// Guards against a part of a malformed answer that reaches the caller as a complete one, and
// against its rest that passes for the answer to the next request.
Test(answer_fault, a_malformed_answer_is_not_relayed_and_its_connection_not_used_again,
     .timeout = 120)
{
    for (const Interface &protocol : interfaces()) {
        const std::string good = "HTTP/1.1 200 OK\r\n" + protocol.identity + withLength("ok");
        for (const std::string &answer : malformedAnswers(protocol)) {
            ScriptedTarget target({{answer, false}, {good, false}});
            Caller caller(protocol.edge);
            const AttemptResult result = caller.send(target.address);
            cr_expect_neq(result, AttemptResult::Answered, "%s: %s", protocol.name, answer.c_str());
            cr_expect_neq(result, AttemptResult::Refused, "%s: %s", protocol.name, answer.c_str());
            cr_expect_neq(result, AttemptResult::NotSent, "%s: %s", protocol.name, answer.c_str());
            cr_expect_not(caller.answerBegun(), "%s: %s", protocol.name, answer.c_str());
            cr_expect_eq(caller.send(target.address), AttemptResult::Answered, "%s: %s",
                         protocol.name, answer.c_str());
            cr_expect_eq(target.connections, 2, "%s: %s", protocol.name, answer.c_str());
        }
    }
}

// Guards against a promise not to have run that is read out of a malformed answer.
Test(answer_fault, a_malformed_refusal_is_no_refusal, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        for (const std::string &lines : malformedAnswerLines()) {
            const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n" + protocol.identity
                + protocol.notRun + lines + "\r\nokok";
            ScriptedTarget target({{refusal, false}});
            Caller caller(protocol.edge);
            const AttemptResult result = caller.send(target.address);
            cr_expect_neq(result, AttemptResult::Refused, "%s: %s", protocol.name, refusal.c_str());
            cr_expect_neq(result, AttemptResult::NotSent, "%s: %s", protocol.name, refusal.c_str());
        }
    }
}

// Guards against an order that counts as accepted or refused by a malformed answer.
Test(answer_fault, an_order_with_a_malformed_answer_is_undetermined, .timeout = 60)
{
    for (const std::string &lines : malformedAnswerLines()) {
        ScriptedTarget target({{"HTTP/1.1 409 Conflict\r\n" + lines + "\r\nokok", false}});
        cr_expect_eq(replyToOrder(target.address), OrderReply::Unknown, "%s", lines.c_str());
    }
}

namespace {

/** @return Status codes that no answer has, on both sides of the range 100 to 599. */
std::vector<std::string> impossibleStatuses()
{
    return {"000", "001", "099", "600", "999"};
}

/** @return Answers with @p status in the place of the final status, and before the final answer. */
std::vector<std::string> answersWithStatus(const std::string &status, const std::string &fields)
{
    const std::string line = "HTTP/1.1 " + status + " X\r\n";
    const std::string good = "HTTP/1.1 200 OK\r\n" + fields + withLength("ok");
    return {line + fields + withLength("ok"), line + "\r\n" + good,
            "HTTP/1.1 100 Continue\r\n\r\n" + line + fields + withLength("ok"),
            "HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\n" + good};
}

} // namespace

// Guards against an answer with an impossible status that is passed on to the caller with the
// target's seal, taken for a refusal, or skipped as an interim answer.
Test(answer_fault, an_answer_with_an_impossible_status_is_no_answer, .timeout = 120)
{
    for (const Interface &protocol : interfaces()) {
        const std::string good = "HTTP/1.1 200 OK\r\n" + protocol.identity + withLength("ok");
        for (const std::string &status : impossibleStatuses()) {
            for (const std::string &fields :
                 {protocol.identity, protocol.identity + protocol.notRun,
                  protocol.identity + "Content-Type: text/event-stream\r\n"}) {
                for (const std::string &answer : answersWithStatus(status, fields)) {
                    ScriptedTarget target({{answer, false}, {good, false}});
                    Caller caller(protocol.edge);
                    cr_expect_eq(caller.send(target.address), AttemptResult::InvalidResponse,
                                 "%s: %s", protocol.name, answer.c_str());
                    cr_expect_not(caller.answerBegun(), "%s: %s", protocol.name, answer.c_str());
                    cr_expect_eq(caller.send(target.address), AttemptResult::Answered, "%s: %s",
                                 protocol.name, answer.c_str());
                    cr_expect_eq(target.connections, 2, "%s: %s", protocol.name, answer.c_str());
                }
            }
        }
    }
}

// Guards against an impossible status in the middle of a caller's stream that ends it.
Test(answer_fault, an_impossible_status_does_not_go_on_with_a_stream, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        for (const std::string &status : impossibleStatuses()) {
            const std::string answer = "HTTP/1.1 " + status + " X\r\n" + protocol.identity
                + "Content-Type: text/event-stream\r\n" + withLength(events(3, 5));
            ScriptedTarget target({brokenStream(protocol), {answer, true}});
            Caller caller(protocol.edge);
            cr_assert_eq(caller.send(target.address), AttemptResult::Lost);
            const std::string before = caller.relayed();
            cr_expect_eq(caller.send(target.address, 2), AttemptResult::InvalidResponse, "%s: %s",
                         protocol.name, answer.c_str());
            cr_expect_eq(caller.relayed(), before, "%s: %s", protocol.name, answer.c_str());
            cr_expect_not(caller.answerEnded(), "%s: %s", protocol.name, answer.c_str());
        }
    }
}

// Guards against an order that counts as accepted or refused by an answer behind an impossible
// status.
Test(answer_fault, an_order_with_an_impossible_status_is_undetermined, .timeout = 60)
{
    for (const std::string &status : impossibleStatuses()) {
        const std::string line = "HTTP/1.1 " + status + " X\r\n";
        for (const std::string &answer :
             {line + withLength("ok"), line + "\r\nHTTP/1.1 202 Accepted\r\n" + withLength(""),
              line + "\r\nHTTP/1.1 409 Conflict\r\n" + withLength("")}) {
            ScriptedTarget target({{answer, false}});
            cr_expect_eq(replyToOrder(target.address), OrderReply::Unknown, "%s", answer.c_str());
        }
    }
}

// Guards against a report on accepted orders that is read from an answer with an impossible status,
// or behind one.
Test(answer_fault, a_report_with_an_impossible_status_is_none, .timeout = 60)
{
    const std::string report = withLength("{\"seqNo\": 3, \"busy\": false}");
    const auto inspect = [](const std::string &answer) {
        absl::Mutex mutex;
        std::optional<InspectionEvent> event;
        ScriptedTarget target({{answer, false}});
        TargetClient client(
            std::make_shared<ExchangeTable>(), platformEdge(), "leader", [](HostEvent &&) {},
            [&](ControlEvent &&got) {
                absl::MutexLock lock(&mutex);
                event = std::get<InspectionEvent>(got);
            });
        InspectTarget item;
        item.target = TargetId("t");
        item.address = target.address;
        cr_assert(client.inspect(item));
        absl::MutexLock lock(&mutex);
        const auto answered = [&]() { return event.has_value(); };
        mutex.AwaitWithTimeout(absl::Condition(&answered),
                               absl::Microseconds(WAIT_TIMEOUT.count()));
        cr_assert(event.has_value());
        return event->inspection.has_value();
    };
    cr_expect(inspect("HTTP/1.1 200 OK\r\n" + report));
    for (const std::string &status : impossibleStatuses()) {
        const std::string line = "HTTP/1.1 " + status + " X\r\n";
        cr_expect_not(inspect(line + report), "%s", status.c_str());
        cr_expect_not(inspect(line + "\r\nHTTP/1.1 200 OK\r\n" + report), "%s", status.c_str());
    }
}

// Guards against a range that is too narrow: the lowest and highest status codes of answers.
Test(answer_fault, answers_at_the_ends_of_the_status_range_are_relayed, .timeout = 60)
{
    for (const Interface &protocol : interfaces()) {
        for (const std::string status : {"200", "299", "404", "599"}) {
            ScriptedTarget target({{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 "
                                        + status + " X\r\n" + protocol.identity + withLength("ok"),
                                    false}});
            Caller caller(protocol.edge);
            cr_expect_eq(caller.send(target.address), AttemptResult::Answered, "%s: %s",
                         protocol.name, status.c_str());
            cr_expect_eq(caller.relayed(), "ok", "%s: %s", protocol.name, status.c_str());
        }
    }
}

// Guards against a check that refuses well-formed answers.
Test(answer_fault, well_formed_answers_are_relayed, .timeout = 60)
{
    std::string high;
    for (int byte = 128; byte < 256; ++byte)
        high += static_cast<char>(byte);
    for (const Interface &protocol : interfaces()) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + protocol.identity;
        const std::string chunked = head + "transfer-encoding: \tChunked \r\n\r\n";
        for (const std::string &answer :
             {head + withLength("ok"), head + "content-length:002 \t\r\n\r\nok",
              "HTTP/1.1 200\r\n" + protocol.identity + withLength("ok"),
              "HTTP/1.1 200 \r\n" + protocol.identity + withLength("ok"),
              "HTTP/1.0 200 OK\r\n" + protocol.identity + withLength("ok"),
              "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n" + head + withLength("ok"),
              head + "X-A:\r\nX-B: \t\r\n!#$%&'*+-.^_`|~09aZ: b\tc \"(),/:;<=>?@[\\]{}" + high
                  + "\r\nX-A: d\r\n" + withLength("ok"),
              chunked + "2\r\nok\r\n0\r\n\r\n",
              chunked + "1;a=b\r\no\r\n01;c=\"d\"\r\nk\r\n000;e\r\nX-Trailer: f\r\n\r\n"}) {
            ScriptedTarget target({{answer, false}});
            Caller caller(protocol.edge);
            cr_expect_eq(caller.send(target.address), AttemptResult::Answered, "%s: %s",
                         protocol.name, answer.c_str());
            cr_expect_eq(caller.relayed(), "ok", "%s: %s", protocol.name, answer.c_str());
        }
        ScriptedTarget target(
            {{"HTTP/1.1 204 No Content\r\n" + protocol.identity + "Content-Length: 0\r\n\r\n",
              false},
             {head + withLength("ok"), false}});
        Caller caller(protocol.edge);
        (void)caller.send(target.address);
        cr_expect_eq(caller.send(target.address), AttemptResult::Answered, "%s", protocol.name);
    }
}

// Guards against a value from elsewhere than a checked request, such as the name of an account,
// that reaches a target as further lines of the head.
Test(answer_fault, a_malformed_request_is_not_sent, .timeout = 60)
{
    const std::vector<std::pair<std::string, std::string>> headers{
        {"X-A", "b\r\nX-Bilberrybend-Hold: 1"},
        {"X-A", std::string("b\0c", 3)},
        {"X-A", "b\n"},
        {"X-A: b\r\nX-B", "c"},
        {"X A", "b"},
        {"", "b"}};
    for (const auto &header : headers) {
        ScriptedTarget target({});
        Caller caller(platformEdge());
        caller.exchange->forwarded.headers.push_back(header);
        cr_expect_eq(caller.send(target.address), AttemptResult::NotSent, "%s",
                     header.first.c_str());
        cr_expect_eq(target.receivedBytes, 0, "%s", header.first.c_str());
    }
    for (const std::string path : {"/a b", "/a\r\nX-A: b", "a", "/a#b", ""}) {
        ScriptedTarget target({});
        Caller caller(platformEdge());
        caller.exchange->forwarded.path = path;
        cr_expect_eq(caller.send(target.address), AttemptResult::NotSent, "%s", path.c_str());
        cr_expect_eq(target.receivedBytes, 0, "%s", path.c_str());
    }
}

// Guards against an order whose target's id reaches the target as further lines of the head.
Test(answer_fault, a_malformed_order_is_not_sent, .timeout = 60)
{
    ScriptedTarget target({});
    cr_expect_eq(replyToOrder(target.address, platformEdge(), TargetId("t\r\nX-A: b")),
                 OrderReply::Unsent);
    cr_expect_eq(target.receivedBytes, 0);
}

// Guards against a stream whose last bytes are dropped, as the caller's buffer is full, and that
// ends as complete.
Test(answer_fault, a_stream_that_its_caller_reads_late_keeps_its_end, .timeout = 60)
{
    const Interface protocol = interfaces()[1];
    const std::string event = "id: 1\ndata: " + std::string(100'000, 'x') + "\n\n";
    std::string body;
    while (body.size() + event.size() < Exchange::MAX_BUFFERED_BYTES)
        body += event;
    body += "data: " + std::string(100'000, 'y');
    ScriptedTarget target({{streamHead(protocol) + withLength(body), false}});
    Caller caller(protocol.edge);
    cr_assert_eq(caller.send(target.address), AttemptResult::Answered);
    cr_expect(caller.answerEnded());
    cr_expect(caller.relayed() == body, "%zu of %zu bytes", caller.relayed().size(), body.size());
}
