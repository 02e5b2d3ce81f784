/** @file request_memory_test.cpp Bounds of the bodies of requests that a process holds, and of its
 * connections. */
#include "net/request_memory_base.h"

#include "net/caller_server_base.h"
#include "net/edge_type.h"
#include "net/http_server_base.h"
#include "net/native_edge_func.h"
#include "platform/edge_func.h"

#include <absl/time/clock.h>

#include "raw_http.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr std::size_t KIB = 1 << 10;
constexpr std::size_t MIB = 1 << 20;
constexpr TimePoint START = TimePoint(Duration(3600s));

std::shared_ptr<RequestMemory> memoryOf(std::size_t largeBytes, std::size_t smallBytes,
                                        std::size_t connections = 100)
{
    RequestLimits limits;
    limits.largeBytes = largeBytes;
    limits.smallBytes = smallBytes;
    limits.callerConnections = limits.portConnections = connections;
    return std::make_shared<RequestMemory>(limits);
}

} // namespace

// Guards against a body that makes progress and yields to a newer one, and against one that yields
// before another that has stood still for longer.
Test(request_memory, body_without_progress_for_longest_yields_first)
{
    const std::shared_ptr<RequestMemory> memory = memoryOf(3 * MIB, MIB);
    std::vector<int> yielded;
    std::vector<HeldBody> bodies;
    for (int i = 0; i < 3; ++i) {
        bodies.push_back(memory->add([&yielded, i]() { yielded.push_back(i); }, START + i * 1ms));
        cr_assert(bodies.back().grow(MIB, START + i * 1ms));
    }
    cr_assert(bodies[0].progress(MIN_PROGRESS_BYTES, START + 600ms));
    // Single bytes are no progress.
    cr_assert(bodies[1].progress(1, START + 600ms));
    HeldBody fourth = memory->add([]() {}, START + 600ms);
    cr_assert(fourth.grow(MIB, START + 600ms));
    cr_expect_eq(yielded, std::vector<int>{1});
    cr_expect_not(bodies[1].progress(MIN_PROGRESS_BYTES, START + 601ms),
                  "a body that has yielded goes on");
    cr_expect_not(bodies[1].complete(), "a body that has yielded is complete");
    HeldBody fifth = memory->add([]() {}, START + 600ms);
    cr_assert(fifth.grow(MIB, START + 601ms));
    cr_expect_eq(yielded, (std::vector<int>{1, 2}));
    HeldBody sixth = memory->add([]() {}, START + 600ms);
    cr_expect_not(sixth.grow(MIB, START + 602ms), "a body with progress has yielded");
    cr_expect_eq(memory->heldLarge(), 3 * MIB);
}

// Guards against a body that has been received, whose request may run already, and yields.
Test(request_memory, body_that_is_complete_does_not_yield)
{
    const std::shared_ptr<RequestMemory> memory = memoryOf(MIB, MIB);
    HeldBody first = memory->add([]() { cr_assert_fail("yields"); }, START);
    cr_assert(first.grow(MIB, START));
    cr_assert(first.complete());
    HeldBody second = memory->add([]() {}, START);
    cr_expect_not(second.grow(MIB, START + 3600s));
    first.release();
    cr_expect(second.grow(MIB, START + 3600s));
}

// Guards against large bodies that displace small ones, or take their room.
Test(request_memory, small_bodies_have_room_of_their_own)
{
    const std::shared_ptr<RequestMemory> memory = memoryOf(MIB, 2 * SMALL_BODY_BYTES);
    HeldBody large = memory->add([]() {}, START);
    cr_assert(large.grow(MIB, START));
    HeldBody first = memory->add([]() { cr_assert_fail("a small body yields"); }, START);
    HeldBody second = memory->add([]() {}, START);
    cr_expect(first.grow(SMALL_BODY_BYTES, START));
    cr_expect(second.grow(SMALL_BODY_BYTES, START));
    cr_assert(first.progress(MIN_PROGRESS_BYTES, START + 1s));
    // The second one outgrows the small ones: the large one yields, the small one does not.
    cr_expect(second.grow(SMALL_BODY_BYTES + 1, START + 1s));
    cr_expect_not(large.progress(MIN_PROGRESS_BYTES, START + 1s));
    cr_expect_eq(memory->heldSmall(), SMALL_BODY_BYTES);
    cr_expect_eq(memory->heldLarge(), SMALL_BODY_BYTES + 1);
}

// Guards against bytes that stay counted after their owner has ended.
Test(request_memory, bytes_are_given_back)
{
    const std::shared_ptr<RequestMemory> memory = memoryOf(4 * MIB, MIB);
    {
        HeldBody body = memory->add([]() {}, START);
        cr_assert(body.grow(2 * MIB, START));
        HeldBody moved = std::move(body);
        cr_expect_eq(memory->heldLarge(), 2 * MIB);
        HeldBody other = memory->add([]() {}, START);
        cr_assert(other.grow(MIB, START));
        other = std::move(moved);
        cr_expect_eq(memory->heldLarge(), 2 * MIB);
    }
    cr_expect_eq(memory->heldLarge(), 0);
    cr_expect_eq(memory->heldSmall(), 0);
}

// Guards against the memory of a string that doubles and is not counted.
Test(request_memory, what_a_string_allocates_is_counted)
{
    const std::shared_ptr<RequestMemory> memory = memoryOf(64 * MIB, MIB);
    const std::string piece(10 * KIB, 'x');
    std::string announced;
    HeldBody held = memory->add([]() {}, START);
    cr_assert_eq(appendBody(announced, held, piece, 2 * MIB, 4 * MIB, START), BodyAppend::Appended);
    cr_expect_eq(memory->heldLarge(), 2 * MIB);
    cr_expect_eq(announced.capacity(), 2 * MIB);
    std::string chunked;
    HeldBody other = memory->add([]() {}, START);
    for (int i = 0; i < 100; ++i) {
        cr_assert_eq(appendBody(chunked, other, piece, {}, 4 * MIB, START), BodyAppend::Appended);
        const std::size_t counted = memory->heldLarge() - 2 * MIB + memory->heldSmall();
        cr_expect_geq(counted, chunked.capacity());
    }
}

// Guards against a body that is read on past its limit.
Test(request_memory, body_over_its_limit_is_too_large)
{
    const std::shared_ptr<RequestMemory> memory = memoryOf(64 * MIB, MIB);
    std::string body;
    HeldBody held = memory->add([]() {}, START);
    const std::string piece(MIB, 'x');
    cr_expect_eq(appendBody(body, held, piece, {}, 2 * MIB, START), BodyAppend::Appended);
    cr_expect_eq(appendBody(body, held, piece, {}, 2 * MIB, START), BodyAppend::Appended);
    cr_expect_eq(appendBody(body, held, "x", {}, 2 * MIB, START), BodyAppend::TooLarge);
    cr_expect_leq(body.capacity(), 2 * MIB);
}

// Guards against bounds that do not fit a machine, or that a lone request inside the limits meets.
Test(request_memory, bounds_follow_memory_and_descriptors)
{
    Settings settings;
    for (const std::size_t memoryMb : {0, 8, 120, 260, 400}) {
        for (const std::size_t descriptors : {64, 1'024, 3'075, 10'250, 1'048'576}) {
            settings.memoryMb = memoryMb;
            settings.maxDescriptors = 0;
            const RequestLimits limits = requestLimits(settings, descriptors);
            cr_expect_geq(limits.largeBytes, settings.maxBodyBytes);
            cr_expect_geq(limits.callerConnections, 16);
            cr_expect_leq(limits.callerConnections, 20'000);
            cr_expect_geq(limits.smallBytes, SMALL_BODY_BYTES);
            if (memoryMb >= 120) {
                cr_expect_leq(limits.largeBytes + limits.smallBytes, memoryMb * MIB / 2);
            }
            // Each caller's connection may need one to a target.
            if (descriptors >= 1'024) {
                cr_expect_leq(2 * limits.callerConnections, descriptors);
            }
            settings.maxDescriptors = 512;
            cr_expect_leq(requestLimits(settings, descriptors).callerConnections, 512 * 2 / 5);
        }
    }
    settings = {};
    const RequestLimits usual = requestLimits(settings, 1'048'576);
    cr_expect_eq(usual.callerConnections, 20'000);
    cr_expect_geq(usual.largeBytes, 20 * settings.maxBodyBytes);
    cr_expect_eq(receiveBufferFor(usual, 0), 0);
}

// Guards against connections whose unread bytes fill the machine's memory beside the process.
Test(request_memory, receive_buffers_of_all_connections_stay_within_a_share_of_the_memory)
{
    for (const std::size_t memoryMb : {48, 160, 260, 400}) {
        Settings settings;
        settings.memoryMb = memoryMb;
        const RequestLimits limits = requestLimits(settings, 4'100);
        std::size_t granted = 0;
        for (std::size_t i = 0; i < limits.callerConnections; ++i)
            granted += receiveBufferFor(limits, granted);
        cr_expect_leq(granted, memoryMb * MIB / 4);
        cr_expect_leq(limits.portConnections * limits.portReceiveBufferBytes, memoryMb * MIB / 16);
        cr_expect_geq(receiveBufferFor(limits, 0), 64 << 10, "a few clients get large buffers");
    }
}

namespace {

/** Callers' server that answers each request with 404, and whose bounds a test chooses. */
class BoundedServer
{
public:
    explicit BoundedServer(std::shared_ptr<RequestMemory> memory, std::size_t maxBodyBytes = MIB)
        : memory(std::move(memory))
        , exchanges(std::make_shared<ExchangeTable>())
    {
        Settings settings;
        settings.callers = {"127.0.0.1", 0};
        settings.maxBodyBytes = maxBodyBytes;
        this->server = CallerServer::start(
                           settings, platformEdge(), this->exchanges,
                           [this](HostEvent &&event) { return this->answer(event); }, this->memory)
                           .value();
        cr_assert(this->server->open());
    }

    ~BoundedServer() { this->server->stop(); }

    int port() const { return this->server->port(); }

    std::shared_ptr<RequestMemory> memory;
    std::atomic<int> taken{0};

private:
    bool answer(const HostEvent &event)
    {
        const auto *request = std::get_if<CallerRequest>(&event);
        if (request == nullptr)
            return true;
        ++this->taken;
        const std::shared_ptr<Exchange> exchange = this->exchanges->find(request->request);
        exchange->begin(404, "text/plain", {}, "none", false);
        return true;
    }

    std::shared_ptr<ExchangeTable> exchanges;
    std::unique_ptr<CallerServer> server;
};

std::string headWith(const std::string &framing)
{
    return "POST /hold/a HTTP/1.1\r\nHost: h.example\r\nX-Bilberrybend-Request-Id: id-1\r\n"
        + framing + "\r\n\r\n";
}

std::string announcing(std::size_t bytes)
{
    return headWith("Content-Length: " + std::to_string(bytes));
}

std::string chunkOf(std::size_t bytes)
{
    return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'x'), "\r\n");
}

void waitUntil(const std::function<bool()> &condition)
{
    const TimePoint end = MonotonicClock::now() + 5s;
    while (!condition() && MonotonicClock::now() < end)
        absl::SleepFor(absl::Milliseconds(5));
    cr_expect(condition());
}

} // namespace

// Guards against a body over the limit that is read to its end, or without end, before it is
// refused.
Test(request_memory, body_over_the_limit_is_refused_before_its_end, .timeout = 60)
{
    BoundedServer server(memoryOf(16 * MIB, MIB));
    for (const std::string &sent :
         {announcing(MIB + 1), announcing(MIB + 1) + "x", announcing(999'999'999'999),
          headWith("Transfer-Encoding: chunked") + chunkOf(MIB) + chunkOf(1)}) {
        RawConnection connection(server.port());
        connection.send(sent);
        connection.read(0);
        cr_expect_eq(connection.statuses(), std::vector<int>{413}, "%s",
                     connection.received.c_str());
        cr_expect(connection.closed);
        cr_expect(connection.received.find("Connection: close\r\n") != std::string::npos);
        cr_expect(connection.received.find("body_too_large") != std::string::npos);
        cr_expect(connection.received.find("X-Bilberrybend-Request-Id: id-1\r\n")
                  != std::string::npos);
    }
    cr_expect_eq(server.taken, 0);
    waitUntil([&]() { return server.memory->heldLarge() == 0; });
    RawConnection connection(server.port());
    connection.send(announcing(MIB) + std::string(MIB, 'x'));
    connection.read(1);
    cr_expect_eq(connection.statuses(), std::vector<int>{404});
}

// Guards against a body of standing clients that keeps its room while others ask for it, and
// against a refusal of a body that would find room.
Test(request_memory, standing_body_yields_with_an_answer, .timeout = 60)
{
    BoundedServer server(memoryOf(2 * MIB, MIB));
    RawConnection first(server.port());
    RawConnection second(server.port());
    RawConnection third(server.port());
    first.send(announcing(MIB) + std::string(MIB - 1, 'x'));
    waitUntil([&]() { return server.memory->heldLarge() == MIB; });
    second.send(headWith("Transfer-Encoding: chunked") + chunkOf(MIB));
    waitUntil([&]() { return server.memory->heldLarge() == 2 * MIB; });
    third.send(announcing(MIB) + "x");
    third.read(0);
    cr_expect_eq(third.statuses(), std::vector<int>{503}, "%s", third.received.c_str());
    cr_expect(third.received.find("Retry-After: 1") != std::string::npos);
    cr_expect_not(first.closed);
    absl::SleepFor(absl::Milliseconds(700));
    RawConnection fourth(server.port());
    fourth.send(announcing(MIB) + std::string(MIB, 'x'));
    fourth.read(1);
    cr_expect_eq(fourth.statuses(), std::vector<int>{404}, "%s", fourth.received.c_str());
    first.read(0);
    cr_expect_eq(first.statuses(), std::vector<int>{503}, "%s", first.received.c_str());
    cr_expect(first.closed);
    cr_expect_eq(server.taken, 1);
    second.send("0\r\n\r\n");
    second.read(1);
    cr_expect_eq(second.statuses(), std::vector<int>{404}, "the other body has yielded too");
}

// Guards against connections without progress that keep new callers out.
Test(request_memory, connection_without_progress_yields, .timeout = 60)
{
    BoundedServer server(memoryOf(16 * MIB, MIB, 20));
    std::vector<std::unique_ptr<RawConnection>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<RawConnection>(server.port()));
        crowd.back()->send("POST /hold/a HTTP/1.1\r\nHo");
    }
    RawConnection early(server.port());
    early.read(0);
    cr_expect(early.closed, "a connection over the bound is kept though none stands still");
    absl::SleepFor(absl::Milliseconds(700));
    for (int i = 0; i < 10; ++i) {
        RawConnection caller(server.port());
        caller.send(announcing(5) + "hello");
        caller.read(1);
        cr_expect_eq(caller.statuses(), std::vector<int>{404}, "%d: %s", i,
                     caller.received.c_str());
    }
}

// Guards against bodies without a bound at the addresses for operators and targets.
Test(request_memory, other_ports_count_in_the_same_bound, .timeout = 60)
{
    const std::shared_ptr<RequestMemory> memory = memoryOf(2 * MIB, MIB);
    const auto server
        = HttpServer::start(
              {"127.0.0.1", 0}, [](const HttpRequest &) { return HttpReply{}; }, memory)
              .value();
    RawConnection first(server->port());
    first.send(announcing(2 * MIB) + "x");
    waitUntil([&]() { return memory->heldLarge() == 2 * MIB; });
    RawConnection second(server->port());
    second.send(announcing(MIB) + "x");
    second.read(0);
    cr_expect_eq(second.statuses(), std::vector<int>{503}, "%s", second.received.c_str());
    cr_expect(second.received.find("Retry-After: 1") != std::string::npos);
    absl::SleepFor(absl::Milliseconds(700));
    RawConnection third(server->port());
    third.send(announcing(2 * MIB) + std::string(2 * MIB, 'x'));
    third.read(1);
    cr_expect_eq(third.statuses(), std::vector<int>{200}, "%s", third.received.c_str());
    first.read(0);
    cr_expect_eq(first.statuses(), std::vector<int>{503}, "%s", first.received.c_str());
    RawConnection large(server->port());
    large.send(announcing(33 * MIB));
    large.read(0);
    cr_expect_eq(large.statuses(), std::vector<int>{413}, "%s", large.received.c_str());
    waitUntil([&]() { return memory->heldLarge() == 0; });
}
