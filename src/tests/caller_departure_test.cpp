/** @file caller_departure_test.cpp Callers that leave, in every state of their request. */
#include "net/caller_server_base.h"
#include "net/edge_type.h"
#include "platform/edge_func.h"
#include "stream/stream_progress_func.h"

#include "raw_http.h"
#include "service_folder.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration NOTICE_BOUND = 500ms; ///< From the rule on callers that leave.
constexpr Duration PROBE_INTERVAL = 50ms;
constexpr std::size_t LARGE_HEAD_BYTES = 40 << 10; ///< More than the library sends.
constexpr const char *EVENT = "id: 0\ndata: x\n\n";
constexpr const char *REQUEST = "POST /path/x HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Bilberrybend-Request-Id: r1\r\n"
                                "X-Bilberrybend-Deadline-Ms: 15000\r\n\r\n";

/** Server whose requests are answered by the test. */
struct Site
{
    Site()
        : exchanges(std::make_shared<ExchangeTable>())
    {
        Settings settings;
        settings.callers = {"127.0.0.1", 0};
        this->server = CallerServer::start(settings, platformEdge(), this->exchanges,
                                           [this](HostEvent &&event) { return this->take(event); })
                           .value();
        cr_assert(this->server->open());
    }
    ~Site() { this->server->stop(); }

    bool take(const HostEvent &event)
    {
        absl::MutexLock lock(&this->mutex);
        if (const auto *gone = std::get_if<CallerDisconnected>(&event))
            this->left.push_back(gone->request);
        if (const auto *request = std::get_if<CallerRequest>(&event))
            this->asked.push_back(request->request);
        return true;
    }

    /** Sends a request. @return Its exchange, once the server has passed it on. */
    std::shared_ptr<Exchange> send(RawConnection &client)
    {
        std::size_t before = 0;
        {
            absl::MutexLock lock(&this->mutex);
            before = this->asked.size();
        }
        client.send(REQUEST);
        absl::MutexLock lock(&this->mutex);
        const auto arrived = [&]() { return this->asked.size() > before; };
        cr_assert(this->mutex.AwaitWithTimeout(absl::Condition(&arrived), absl::Seconds(5)));
        return this->exchanges->find(this->asked.back());
    }

    bool hasLeft(RequestId id)
    {
        absl::MutexLock lock(&this->mutex);
        return std::find(this->left.begin(), this->left.end(), id) != this->left.end();
    }

    /** Looks for callers that left, as the daemon does. @return Whether @p id has been reported
     * within the bound. */
    bool notices(RequestId id)
    {
        const TimePoint end = MonotonicClock::now() + NOTICE_BOUND;
        while (!this->hasLeft(id) && MonotonicClock::now() < end) {
            this->server->detectDisconnectedCallers();
            std::this_thread::sleep_for(PROBE_INTERVAL);
        }
        return this->hasLeft(id);
    }

    absl::Mutex mutex;
    std::vector<RequestId> asked;
    std::vector<RequestId> left;
    std::shared_ptr<ExchangeTable> exchanges;
    std::unique_ptr<CallerServer> server;
};

/** States of a request while its caller is connected. */
enum class Phase {
    NotBegun,
    BegunAndSilent,
    BegunWithLargeHead, ///< The answer is written past the library.
    BufferFull, ///< The caller does not read.
    LargeHeadAndBufferFull,
    RequestsBehind, ///< Further requests wait on the connection.
};

void bring(const std::shared_ptr<Exchange> &exchange, RawConnection &client, Phase phase)
{
    if (phase == Phase::NotBegun)
        return;
    const bool large = phase == Phase::BegunWithLargeHead || phase == Phase::LargeHeadAndBufferFull;
    HeaderList headers{{"X-Fill", std::string(large ? LARGE_HEAD_BYTES : 1, 'v')}};
    exchange->begin(200, "text/event-stream", std::move(headers), "", true);
    if (phase == Phase::BufferFull || phase == Phase::LargeHeadAndBufferFull) {
        const std::string piece(64 << 10, 'x');
        const TimePoint end = MonotonicClock::now() + 300ms;
        while (MonotonicClock::now() < end) {
            if (!exchange->append(piece))
                std::this_thread::sleep_for(1ms);
        }
        return;
    }
    if (phase == Phase::RequestsBehind)
        client.send(std::string(REQUEST) + REQUEST);
    exchange->append(EVENT);
    client.readUntil([&]() { return client.received.find(EVENT) != std::string::npos; });
    cr_assert(client.received.find(EVENT) != std::string::npos);
}

} // namespace

// Guards against a caller that leaves while nothing is written to it: its request went on to
// further targets seconds later, and the target that worked on it was not told.
Test(caller_departure, close_is_noticed_in_every_state_of_a_request, .timeout = 60)
{
    for (const Phase phase :
         {Phase::NotBegun, Phase::BegunAndSilent, Phase::BegunWithLargeHead, Phase::BufferFull,
          Phase::LargeHeadAndBufferFull, Phase::RequestsBehind}) {
        Site site;
        auto client = std::make_unique<RawConnection>(site.server->port());
        const std::shared_ptr<Exchange> exchange = site.send(*client);
        bring(exchange, *client, phase);
        site.server->detectDisconnectedCallers();
        cr_expect_not(site.hasLeft(exchange->id), "phase %d: too early", static_cast<int>(phase));
        client.reset();
        cr_expect(site.notices(exchange->id), "phase %d", static_cast<int>(phase));
    }
}

// Guards against a request that goes on to a target after its caller was seen to leave, and against
// a target that is not told, whatever the request waits for.
Test(caller_departure, no_target_gets_or_goes_on_with_a_request_whose_caller_left, .timeout = 60)
{
    for (Duration left = 0ms; left <= 900ms; left += 10ms) {
        DecisionSimulation simulation(1, makeStreamFolder(), 1);
        std::vector<TimePoint> starts;
        SimulatedTarget target = makeServiceTarget("t1");
        target.announcement.maxConcurrent = 1;
        target.serviceTime = 250ms;
        target.answer = [&](const StartAttempt &attempt) {
            AttemptEnded ended;
            ended.attempt = attempt.attempt;
            ended.status = 200;
            ended.result = AttemptResult::Lost; // Begun, then it waits for its next attempt.
            addEvent(ended.relayed, EventId{0, "0"});
            return ended;
        };
        simulation.addTarget(target);
        simulation.runUntil(simulation.now() + 3s);
        int cancelled = 0;
        simulation.dropEffect = [&](const HostEffect &effect) {
            if (std::holds_alternative<StartAttempt>(effect))
                starts.push_back(simulation.now());
            cancelled += std::holds_alternative<CancelAttempt>(effect) ? 1 : 0;
            return false;
        };
        for (int i = 0; i < 3; ++i) { // Each after the first waits for the place of the one before.
            CallerRequest request;
            request.key = DecisionSimulation::keyOf(STREAM_ACCOUNT);
            request.path = "/s";
            request.byRoute = true;
            request.tag = "stream-" + std::to_string(i);
            request.body = digestOf({request.tag});
            simulation.send(0, request, simulation.now());
        }
        simulation.runUntil(simulation.now() + left);
        Host &host = simulation.hosts[0].host;
        std::vector<RequestId> open;
        int running = 0;
        for (const auto &[id, request] : host.requests) {
            open.push_back(id);
            running += request.state == RequestState::Running ? 1 : 0;
        }
        for (const RequestId id : open)
            simulation.disconnect(0, id);
        const TimePoint gone = simulation.now();
        starts.clear();
        simulation.runUntil(gone + 6s);
        cr_expect(starts.empty(), "left after %lld ms",
                  static_cast<long long>(toMilliseconds(left)));
        cr_expect_geq(cancelled, running);
        cr_expect(host.requests.empty(), "left after %lld ms: requests stay",
                  static_cast<long long>(toMilliseconds(left)));
    }
}

// Guards against a departure that is reported for a request whose answer is whole: a caller that
// has closed its sending side alone still gets it.
Test(caller_departure, whole_answer_is_delivered_to_a_caller_that_closed_its_sending_side)
{
    Site site;
    RawConnection client(site.server->port());
    const std::shared_ptr<Exchange> exchange = site.send(client);
    exchange->begin(200, "text/event-stream", {}, "", true);
    exchange->append(EVENT);
    exchange->end(false);
    client.endSending();
    site.server->detectDisconnectedCallers();
    client.readUntil([&]() { return client.received.find("\r\n0\r\n") != std::string::npos; });
    cr_expect(client.received.find(EVENT) != std::string::npos);
    cr_expect(client.received.find("\r\n0\r\n") != std::string::npos);
    cr_expect_not(site.hasLeft(exchange->id));
}

// Guards against a departure that is charged to another request, whose connection was given the
// descriptor of the one that ended.
Test(caller_departure, reused_descriptors_name_no_other_request, .timeout = 60)
{
    Site site;
    RawConnection steady(site.server->port());
    const std::shared_ptr<Exchange> kept = site.send(steady);
    kept->begin(200, "text/event-stream", {}, "", true);
    for (int i = 0; i < 50; ++i) {
        auto client = std::make_unique<RawConnection>(site.server->port());
        const std::shared_ptr<Exchange> exchange = site.send(*client);
        if (i % 2 == 0)
            exchange->begin(200, "", {}, "done", false);
        client.reset();
        site.server->detectDisconnectedCallers();
    }
    cr_expect_not(site.hasLeft(kept->id));
    kept->append(EVENT);
    steady.readUntil([&]() { return steady.received.find(EVENT) != std::string::npos; });
    cr_expect(steady.received.find(EVENT) != std::string::npos);
}

// Guards against a stop that ends the process with a fatal error of the HTTP library, since callers
// still wait for an answer, or for the next event of one.
Test(caller_departure, server_stops_while_callers_wait)
{
    Site site;
    RawConnection waiting(site.server->port());
    RawConnection begun(site.server->port());
    site.send(waiting);
    const std::shared_ptr<Exchange> stream = site.send(begun);
    bring(stream, begun, Phase::BegunAndSilent);
    site.server->stop();
    begun.read(0);
    cr_expect(begun.closed);
    cr_expect_not(begun.received.ends_with("0\r\n\r\n"), "a broken stream ends as complete");
}
