/** @file stream_resume_test.cpp Streams that break off and go on, whatever ids their events have.
 */
#include "net/target_client_base.h"
#include "platform/edge_func.h"
#include "raw_http.h"
#include "service_folder.h"
#include "stream/stream_progress_func.h"

#include <absl/strings/numbers.h>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration WAIT_TIMEOUT = 5s;
constexpr Duration REQUEST_TIMEOUT = 20s; ///< Far longer than WAIT_TIMEOUT.
constexpr const char *CALLER_ID = "r-1";
constexpr int SEEDS = 4;

/** A stream as its target writes it: each block with its id, empty if it has none. */
struct Block
{
    std::string id;
    std::string text; ///< With the empty line at its end.
};

/** Target that runs a stream from the place that the request names, and may break off. */
class ResumableTarget
{
public:
    explicit ResumableTarget(std::vector<Block> blocks)
        : blocks(std::move(blocks))
        , socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound = loopbackAddress(0);
        socklen_t size = sizeof(bound);
        cr_assert_eq(bind(this->socket, reinterpret_cast<sockaddr *>(&bound), size), 0);
        cr_assert_eq(listen(this->socket, 16), 0);
        getsockname(this->socket, reinterpret_cast<sockaddr *>(&bound), &size);
        this->address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
        this->thread = std::thread([this]() { this->run(); });
    }

    ~ResumableTarget()
    {
        this->stopping = true;
        this->thread.join();
        close(this->socket);
    }

    std::string whole() const { return this->from(0); }

    std::string address;
    std::atomic<std::size_t> breakAt{std::string::npos}; ///< Bytes of the body sent at most.

private:
    void run()
    {
        while (!this->stopping) {
            pollfd waits{this->socket, POLLIN, 0};
            if (poll(&waits, 1, 5) <= 0)
                continue;
            const int connection = accept(this->socket, nullptr, nullptr);
            this->serve(connection);
            close(connection);
        }
    }

    void serve(int connection)
    {
        std::string head;
        char buffer[4096];
        while (head.find("\r\n\r\n") == std::string::npos) {
            const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
            if (size <= 0)
                return;
            head.append(buffer, static_cast<std::size_t>(size));
        }
        const std::string body = this->from(this->placeAfter(head));
        const std::string text = std::string("HTTP/1.1 200 OK\r\nX-Bilberrybend-Request-Id: ")
            + CALLER_ID + "\r\nX-Bilberrybend-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        (void)!send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        const std::size_t size = std::min(body.size(), this->breakAt.load());
        (void)!send(connection, body.data(), size, MSG_NOSIGNAL);
    }

    /** @return Index of the first block to send; the first one unless the head names another. */
    std::size_t placeAfter(const std::string &head) const
    {
        static const std::string NAME = "Last-Event-Id: ";
        const std::size_t at = head.find(NAME);
        if (at == std::string::npos)
            return 0;
        const std::size_t begin = at + NAME.size();
        const std::string id = head.substr(begin, head.find('\r', at) - begin);
        for (std::size_t i = 0; i < this->blocks.size(); ++i) {
            if (this->blocks[i].id == id)
                return i + 1;
        }
        return 0; // An id that this target has not written.
    }

    std::string from(std::size_t place) const
    {
        std::string text;
        for (std::size_t i = place; i < this->blocks.size(); ++i)
            text += this->blocks[i].text;
        return text;
    }

    const std::vector<Block> blocks;
    int socket;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/** Sends the attempts of one caller, each going on where the one before ended. */
struct ContinuedCaller
{
    ContinuedCaller()
        : exchanges(std::make_shared<ExchangeTable>())
        , exchange(exchanges->add(RequestId(1)))
        , client(
              exchanges, platformEdge(), "host",
              [this](HostEvent &&event) {
                  absl::MutexLock lock(&this->mutex);
                  if (const auto *attempt = std::get_if<AttemptEnded>(&event))
                      this->ended = *attempt;
              },
              [](ControlEvent &&) {})
    {
        this->exchange->forwarded.method = "GET";
        this->exchange->forwarded.path = "/p";
        this->exchange->forwarded.correlation = CALLER_ID;
        this->exchange->forwarded.headers = {{"X-Bilberrybend-Request-Id", CALLER_ID}};
    }

    AttemptEnded attempt(const std::string &address, const AttemptEnded &before)
    {
        const TimePoint now = MonotonicClock::now();
        {
            absl::MutexLock lock(&this->mutex);
            this->ended.reset();
        }
        StartAttempt start;
        start.attempt = AttemptId(++this->attempts);
        start.correlation = AttemptId(1);
        start.request = RequestId(1);
        start.target = TargetId("t");
        start.address = address;
        start.remaining = REQUEST_TIMEOUT;
        start.deadline = start.sendBy = now + REQUEST_TIMEOUT;
        start.firstByteLimit = start.interByteLimit = REQUEST_TIMEOUT;
        start.freshConnection = true;
        start.relayed = before.relayed;
        cr_assert(this->client.start(start));
        absl::MutexLock lock(&this->mutex);
        const auto hasEnded = [this]() { return this->ended.has_value(); };
        cr_assert(this->mutex.AwaitWithTimeout(absl::Condition(&hasEnded),
                                               absl::Microseconds(WAIT_TIMEOUT.count())));
        return *this->ended;
    }

    std::string relayed() const
    {
        absl::MutexLock lock(&this->exchange->mutex);
        return this->exchange->buffer;
    }

    bool endsAsComplete() const
    {
        absl::MutexLock lock(&this->exchange->mutex);
        return this->exchange->ended && !this->exchange->broken;
    }

    absl::Mutex mutex;
    std::optional<AttemptEnded> ended;
    std::uint64_t attempts = 0;
    std::shared_ptr<ExchangeTable> exchanges;
    std::shared_ptr<Exchange> exchange;
    TargetClient client;
};

/** @return Whether the host may have another target go on. */
bool mayGoOn(const AttemptEnded &ended)
{
    return canContinue(ended.relayed);
}

/** Ids of the blocks of a stream; an empty one for an event without an id. */
struct IdScheme
{
    const char *name;
    std::vector<std::string> ids;
    bool ordered; ///< Whether a stream that breaks behind any whole event has to go on.
};

std::vector<IdScheme> idSchemes()
{
    return {{"from 0", {"0", "1", "2", "3"}, true},
            {"from 1", {"1", "2", "3", "4"}, true},
            {"from a negative number", {"-2", "-1", "0", "1"}, true},
            {"from a large number", {"9007199254740993", "9007199254740994"}, true},
            {"that jump", {"0", "7", "8", "100"}, true},
            {"with leading zeros", {"000", "001", "002"}, true},
            {"up to the last 64-bit number", {"9223372036854775806", "9223372036854775807"}, true},
            {"past 64 bits", {"9223372036854775807", "9223372036854775808"}, false},
            {"missing on some events", {"0", "", "2", ""}, false},
            {"missing on the first event", {"", "0", "1"}, false},
            {"missing on all events", {"", "", ""}, false},
            {"that are no numbers", {"a", "b", "c"}, false},
            {"that end with letters", {"1a", "2a"}, false},
            {"that do not increase", {"1", "1", "0", "2"}, false}};
}

std::vector<Block> blocksOf(const IdScheme &scheme, bool withComments)
{
    std::vector<Block> blocks;
    for (std::size_t i = 0; i < scheme.ids.size(); ++i) {
        const std::string &id = scheme.ids[i];
        if (withComments)
            blocks.push_back({"", ": still here\n\n"});
        const std::string data = "data: x" + std::to_string(i) + "\n\n";
        blocks.push_back({id, (id.empty() ? "" : "id: " + id + "\n") + data});
    }
    return blocks;
}

/** @return @p stream without its comments, which may come twice or not at all. */
std::string withoutComments(std::string stream)
{
    static const std::string COMMENT = ": still here\n\n";
    for (std::size_t at = stream.find(COMMENT); at != std::string::npos; at = stream.find(COMMENT))
        stream.erase(at, COMMENT.size());
    return stream;
}

/** Breaks a stream off behind each of its bytes in turn, lets another target go on where that is
 * allowed, and compares what the caller has. */
void breakEverywhere(const IdScheme &scheme, bool withComments)
{
    ResumableTarget target(blocksOf(scheme, withComments));
    const std::string whole = withoutComments(target.whole());
    int continued = 0;
    for (std::size_t at = 0; at < target.whole().size(); ++at) {
        ContinuedCaller caller;
        target.breakAt = at;
        AttemptEnded ended = caller.attempt(target.address, {});
        target.breakAt = std::string::npos;
        const bool goesOn = mayGoOn(ended);
        if (goesOn) {
            ended = caller.attempt(target.address, ended);
            ++continued;
        }
        const std::string got = withoutComments(caller.relayed());
        cr_expect(whole.starts_with(got), "ids %s, broken after %zu bytes: caller has\n%s",
                  scheme.name, at, got.c_str());
        cr_expect(!caller.endsAsComplete() || got == whole,
                  "ids %s, broken after %zu bytes: ends as complete with\n%s", scheme.name, at,
                  got.c_str());
        if (scheme.ordered)
            cr_expect(goesOn && got == whole, "ids %s, broken after %zu bytes: does not go on",
                      scheme.name, at);
    }
    cr_expect_gt(continued, 0, "ids %s", scheme.name);
}

/** Host with two targets whose first attempt breaks off with @p relayed at its caller. */
struct BrokenStream
{
    explicit BrokenStream(const StreamProgress &relayed)
        : simulation(1, makeStreamFolder(), 1)
    {
        for (const char *id : {"t1", "t2"}) {
            SimulatedTarget target = makeServiceTarget(id);
            target.answer = [this, relayed](const StartAttempt &attempt) {
                this->sent.push_back(attempt);
                AttemptEnded ended;
                ended.attempt = attempt.attempt;
                ended.status = 200;
                ended.result
                    = this->sent.size() > 1 ? AttemptResult::Answered : AttemptResult::Lost;
                ended.relayed = relayed;
                return ended;
            };
            this->simulation.addTarget(target);
        }
        this->simulation.runUntil(this->simulation.now() + 3s);
        CallerRequest request;
        request.key = DecisionSimulation::keyOf(STREAM_ACCOUNT);
        request.path = "/s";
        request.byRoute = true;
        request.tag = "stream";
        request.body = digestOf({"stream"});
        const RequestId id = this->simulation.send(0, request, this->simulation.now());
        this->simulation.runUntil(this->simulation.now() + 12s);
        this->outcome = this->simulation.outcomes.at({0, id});
    }

    DecisionSimulation simulation;
    std::vector<StartAttempt> sent;
    SimulatedOutcome outcome;
};

} // namespace

// Guards against a host that lets a target begin anew behind an event with the number 0.
Test(stream_resume, host_names_the_last_event_whatever_its_number_is)
{
    for (const char *id : {"0", "-3", "007", "12"}) {
        StreamProgress relayed;
        addEvent(relayed, readEventId(id));
        const BrokenStream stream(relayed);
        cr_assert_eq(stream.sent.size(), 2, "id %s", id);
        cr_expect_eq(continuesAfter(stream.sent[1].relayed)->text, id);
        cr_expect(stream.outcome.answered);
    }
}

// Guards against a host that lets another target go on from a place that nobody can name.
Test(stream_resume, stream_whose_place_is_not_known_ends_as_broken)
{
    for (const char *id : {"", "a", "9223372036854775808"}) {
        StreamProgress relayed;
        addEvent(relayed, readEventId(id));
        const BrokenStream stream(relayed);
        cr_expect_eq(stream.sent.size(), 1, "id \"%s\"", id);
        cr_expect_not(stream.outcome.answered);
        cr_expect_eq(stream.outcome.refusal.execution, Execution::MayHaveRun);
    }
}

// Guards against a stream whose first event has the number 0, or any other that was taken for "no
// event yet", and that another target then begins anew behind that event: it came twice.
Test(stream_resume, no_event_is_missing_or_twice_wherever_a_stream_breaks, .timeout = 60)
{
    for (const IdScheme &scheme : idSchemes())
        breakEverywhere(scheme, false);
}

// Guards against a comment that is counted as an event, so that the stream goes on too late and
// lacks one.
Test(stream_resume, comments_are_no_events, .timeout = 60)
{
    for (const IdScheme &scheme : idSchemes())
        breakEverywhere(scheme, true);
}

// Guards against the same for sequences of ids that nobody has thought of.
Test(stream_resume, generated_ids_lose_and_repeat_nothing, .timeout = 60)
{
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        std::mt19937_64 random(seed);
        IdScheme scheme{"generated", {}, false};
        std::int64_t id = static_cast<std::int64_t>(random() % 5) - 2;
        for (int i = 0; i < 5; ++i) {
            const bool missing = random() % 4 == 0;
            scheme.ids.push_back(missing ? "" : std::to_string(id));
            id += static_cast<std::int64_t>(random() % 3);
        }
        breakEverywhere(scheme, seed % 2 == 0);
    }
}

// Guards against a take-up whose place the daemon replaces or drops: 0, and an id that it cannot
// order.
Test(stream_resume, place_that_the_caller_names_is_passed_on_as_it_is)
{
    for (const char *id : {"0", "-1", "a7", "99999999999999999999"}) {
        ForwardedRequest forwarded;
        forwarded.headers = {{"Last-Event-Id", id}};
        const HeaderList headers = platformEdge().attemptHeaders(forwarded, StartAttempt());
        cr_expect_eq(headerValue(headers, "Last-Event-Id"), id);
        cr_expect_eq(headerValues(headers, "Last-Event-Id").size(), 1);
    }
}
