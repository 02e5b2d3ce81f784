/** @file malformed_control_test.cpp Requests at the control address are taken only if their head is
 * well formed. */
#include "net/http_server_base.h"

#include <absl/time/clock.h>

#include "malformed_rows.h"

using namespace bilberry;

namespace {

/** Control address that records the requests that it takes. */
class ControlAddress
{
public:
    ControlAddress()
        : server(HttpServer::start({"127.0.0.1", 0}, [this](const HttpRequest &request) {
                     absl::MutexLock lock(&this->mutex);
                     this->taken.push_back(request.method + " " + request.path + " "
                                           + request.body);
                     return HttpReply{};
                 }).value())
    {
    }

    int port() const { return this->server->port(); }

    std::vector<std::string> take()
    {
        absl::MutexLock lock(&this->mutex);
        return std::exchange(this->taken, {});
    }

private:
    absl::Mutex mutex;
    std::vector<std::string> taken ABSL_GUARDED_BY(mutex);
    std::unique_ptr<HttpServer> server;
};

} // namespace

// Guards against an operator's order that stands in the body of a malformed heartbeat and is
// carried out.
Test(malformed_control, nothing_of_a_malformed_request_reaches_the_control_address, .timeout = 280)
{
    ControlAddress control;
    for (const Malformed &row : malformedRequests()) {
        if (concernsPlatformAlone(row) || row.name == "key twice")
            continue;
        for (const std::size_t cut : {std::size_t{0}, std::size_t{40}, row.bytes.size() / 2}) {
            RawConnection connection(control.port());
            connection.send(row.bytes.substr(0, cut));
            if (cut > 0)
                absl::SleepFor(absl::Milliseconds(1));
            connection.send(row.bytes.substr(cut) + goodRequest("behind"));
            connection.read(0);
            checkRefused(row, connection, 0);
            const std::vector<std::string> taken = control.take();
            cr_expect(taken.empty(), "%s: taken: %s", row.name.c_str(),
                      taken.empty() ? "" : taken.front().c_str());
        }
    }
}

// Guards against a path of the control address that names something else after it is decoded.
Test(malformed_control, path_of_the_control_address_is_decoded_once_and_whole, .timeout = 60)
{
    ControlAddress control;
    for (const std::string path : {"/a%00b", "/a%0d%0aX-A:b", "/a%7f", "/a%", "/a%4", "/a%zz"}) {
        RawConnection connection(control.port());
        connection.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        connection.read(0);
        checkRefused({path, ""}, connection, 0);
    }
    cr_expect(control.take().empty());
    RawConnection connection(control.port());
    connection.send("GET /a%20%2541?x=%00 HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.read(1);
    cr_expect_eq(connection.statuses(), std::vector<int>{200});
    cr_expect_eq(control.take(), std::vector<std::string>{"GET /a %41 "});
}

// Guards against an operator's order that is carried out while its connection closes without an
// answer, or that is dropped in silence, as its head leaves no room in the library's memory.
Test(malformed_control, order_with_a_large_head_is_answered_or_not_taken, .timeout = 60)
{
    ControlAddress control;
    for (const std::size_t fields : {1, 100, 270, 350, 500, 600}) {
        for (const std::size_t bytes : {6'000, 10'000, 14'900, 15'900, 40'000}) {
            std::string head = "POST /order HTTP/1.1\r\nHost: h\r\n";
            for (std::size_t i = 0; i < fields; ++i)
                head += absl::StrCat("X-", i, ": ", std::string(bytes / fields - 9, 'v'), "\r\n");
            RawConnection connection(control.port());
            connection.send(head + "\r\n");
            connection.read(1);
            const std::size_t taken = control.take().size();
            const std::vector<int> expected{taken == 1 ? 200 : 431};
            cr_expect_eq(connection.statuses(), expected, "%zu fields, %zu bytes, taken %zu: %s",
                         fields, bytes, taken, connection.received.c_str());
            cr_expect(taken == 1 || fields > 512 || bytes > 16'384, "%zu fields, %zu bytes", fields,
                      bytes);
        }
    }
    std::string query;
    for (int i = 0; i < 1'500; ++i)
        query += absl::StrCat("&a", i, "=");
    RawConnection connection(control.port());
    connection.send("GET /a?" + query + " HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.read(1);
    cr_expect_eq(connection.statuses(), std::vector<int>{200});
    cr_expect_eq(control.take(), std::vector<std::string>{"GET /a "});
}

// Guards against requests behind others that are never answered: the library of this server waits
// for bytes that can be received, and not for those that are ready for it.
Test(malformed_control, requests_behind_others_are_answered, .timeout = 60)
{
    ControlAddress control;
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    std::size_t broken = 0;
    for (std::size_t requests = 200; requests < 700; requests += 7) {
        std::string bytes;
        for (std::size_t i = 0; i < requests; ++i)
            bytes += request;
        RawConnection connection(control.port());
        connection.send(bytes);
        connection.readUntil([&]() { return connection.statuses().size() == requests; }, 2s);
        broken += connection.statuses().size() == requests ? 0 : 1;
    }
    cr_expect_eq(broken, 0, "%zu connections", broken);
}
