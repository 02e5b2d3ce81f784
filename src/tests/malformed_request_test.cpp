/** @file malformed_request_test.cpp Requests are taken only if their head is well formed: raw bytes
 * at the callers' address, and what reaches a target that reads leniently. */
#include "net/caller_server_base.h"
#include "net/edge_type.h"
#include "net/native_edge_func.h"
#include "net/target_client_base.h"
#include "platform/edge_func.h"

#include <absl/time/clock.h>

#include "malformed_rows.h"

using namespace bilberry;

namespace {

constexpr Duration TIME_LIMIT = 10s; ///< Of each request; longer than a test waits.

/** Callers' server whose requests are all sent to one lenient target. */
class Front
{
public:
    explicit Front(const Edge &edge)
        : edge(edge)
        , exchanges(std::make_shared<ExchangeTable>())
        , client(
              exchanges, edge, "host", [this](HostEvent &&event) { this->onTargetEvent(event); },
              [](ControlEvent &&) {})
    {
        Settings settings;
        settings.callers = {"127.0.0.1", 0};
        settings.maxBodyBytes = 1 << 20;
        this->server
            = CallerServer::start(settings, edge, this->exchanges, [this](HostEvent &&event) {
                  return this->onCallerEvent(event);
              }).value();
        cr_assert(this->server->open());
    }

    ~Front()
    {
        this->client.stop();
        this->server->stop();
    }

    int port() const { return this->server->port(); }

    LenientTarget target;

private:
    bool onCallerEvent(const HostEvent &event)
    {
        const auto *request = std::get_if<CallerRequest>(&event);
        if (request == nullptr)
            return true;
        const TimePoint now = MonotonicClock::now();
        StartAttempt attempt;
        attempt.attempt = attempt.correlation = AttemptId(request->request.value);
        attempt.request = request->request;
        attempt.target = TargetId("t");
        attempt.address = this->target.address;
        attempt.remaining = TIME_LIMIT;
        attempt.deadline = attempt.sendBy = now + TIME_LIMIT;
        attempt.firstByteLimit = attempt.interByteLimit = TIME_LIMIT;
        return this->client.start(attempt);
    }

    void onTargetEvent(const HostEvent &event)
    {
        const auto *ended = std::get_if<AttemptEnded>(&event);
        if (ended == nullptr || ended->result == AttemptResult::Answered)
            return;
        const RequestId id(ended->attempt.value);
        if (const std::shared_ptr<Exchange> exchange = this->exchanges->find(id))
            answerRefusal(*exchange,
                          {id, RefusalCode::MayHaveRun, Execution::MayHaveRun, {}, {}, ""},
                          this->edge);
    }

    const Edge &edge;
    std::shared_ptr<ExchangeTable> exchanges;
    TargetClient client;
    std::unique_ptr<CallerServer> server;
};

/** Sends @p row at the callers' address of @p front, with @p before in front of it. */
void checkRefusedByFront(Front &front, const Malformed &row, bool afterAnswer, bool pipelined)
{
    RawConnection connection(front.port());
    if (afterAnswer) {
        connection.send(goodRequest("good"));
        connection.read(1);
    }
    connection.send((pipelined ? goodRequest("good") : "") + row.bytes + goodRequest("behind"));
    connection.read(0);
    const std::size_t goodOnes = (afterAnswer ? 1 : 0) + (pipelined ? 1 : 0);
    checkRefused(row, connection, goodOnes);
    const std::vector<LenientRequest> reached = front.target.take();
    cr_expect_eq(reached.size(), goodOnes, "%s: %zu requests reached the target, the last is\n%s",
                 row.name.c_str(), reached.size(),
                 reached.empty() ? "" : reached.back().bytes.c_str());
}

const Edge &edgeOf(bool platform)
{
    return platform ? platformEdge() : nativeEdge();
}

} // namespace

// Guards against a request inside the body of a malformed one that runs, and against a malformed
// request that is passed on.
Test(malformed_request, nothing_of_a_malformed_request_reaches_a_target, .timeout = 280)
{
    for (const bool platform : {true, false}) {
        Front front(edgeOf(platform));
        for (const Malformed &row : malformedRequests()) {
            if (!platform && concernsPlatformAlone(row))
                continue;
            checkRefusedByFront(front, row, false, false);
            checkRefusedByFront(front, row, true, false);
            checkRefusedByFront(front, row, false, true);
        }
    }
}

// Guards against a malformed head that is taken because it arrives in two parts.
Test(malformed_request, malformed_head_is_refused_wherever_its_bytes_are_cut, .timeout = 280)
{
    Front front(platformEdge());
    for (const Malformed &row : malformedFraming()) {
        if (row.name.find("blank before") == std::string::npos
            && row.name.find("folded") == std::string::npos)
            continue;
        for (std::size_t cut = 1; cut < row.bytes.size(); cut += 3) {
            RawConnection connection(front.port());
            connection.send(row.bytes.substr(0, cut));
            absl::SleepFor(absl::Microseconds(500));
            connection.send(row.bytes.substr(cut));
            connection.read(0);
            checkRefused({absl::StrCat(row.name, ", cut at ", cut), ""}, connection, 0);
        }
    }
    cr_expect(front.target.take().empty());
}

// Guards against a second answer on the connection of one malformed request.
Test(malformed_request, length_that_the_library_refuses_gets_one_answer, .timeout = 60)
{
    Front front(platformEdge());
    for (const Malformed &row : malformedFraming()) {
        if (!hasMalformedLength(row))
            continue;
        RawConnection connection(front.port());
        connection.send(row.bytes);
        connection.read(0);
        cr_expect_eq(connection.statuses(), std::vector<int>{400}, "%s: %s", row.name.c_str(),
                     connection.received.c_str());
    }
}

// Guards against chunks that a strict reader does not take for such.
Test(malformed_request, lines_of_chunks_end_with_cr_lf, .timeout = 60)
{
    Front front(platformEdge());
    for (const std::string body :
         {"5\nhello\r\n0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\r\nhello\r\n0\n\r\n",
          "5;a\nhello\r\n0\r\n\r\n", "5;a\rb\r\nhello\r\n0\r\n\r\n"}) {
        RawConnection connection(front.port());
        connection.send(beginHead("outer") + "Transfer-Encoding: chunked\r\n\r\n" + body);
        connection.endSending();
        connection.read(0);
        checkRefused({body, ""}, connection, 0);
    }
    cr_expect(front.target.take().empty());
}

// Guards against a request behind a body whose chunks a strict reader does not take for such: the
// library reads their lines leniently, and no strict reader gets as far as that request.
Test(malformed_request, nothing_behind_a_malformed_chunk_runs, .timeout = 60)
{
    const std::vector<std::string> bodies{
        "5\nhello\r\n0\r\n\r\n",         "5\r\nhello\n0\r\n\r\n",
        "5\r\nhello\r\n0\n\r\n",         "5;a\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\n\n",         "5;a\rb\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0;a\x01\r\n\r\n", "5\r\nhello\r\n0\r\nX-A: b\n\r\n"};
    for (const bool platform : {true, false}) {
        Front front(edgeOf(platform));
        for (const std::string &body : bodies) {
            const std::string bytes
                = beginHead("outer") + "Transfer-Encoding: chunked\r\n\r\n" + body;
            for (std::size_t cut = bytes.size() - body.size(); cut <= bytes.size(); ++cut) {
                RawConnection connection(front.port());
                connection.send(goodRequest("before") + bytes.substr(0, cut));
                absl::SleepFor(absl::Milliseconds(2));
                connection.send(bytes.substr(cut) + goodRequest("behind"));
                connection.read(0);
                cr_expect_eq(connection.statuses(), (std::vector<int>{200, 400}), "%s: %s",
                             body.c_str(), connection.received.c_str());
                cr_expect_eq(front.target.take().size(), 1, "%s", body.c_str());
            }
        }
    }
}

namespace {

/** Expects that a request and the one behind it are taken, cut in two at each place from @p begin.
 */
void expectTakenWhereverCut(Front &front, const std::string &bytes, std::size_t begin)
{
    for (std::size_t cut = begin; cut <= bytes.size(); ++cut) {
        RawConnection connection(front.port());
        connection.send(bytes.substr(0, cut));
        absl::SleepFor(absl::Milliseconds(2));
        connection.send(bytes.substr(cut) + goodRequest("behind"));
        connection.read(2);
        cr_expect_eq(connection.statuses(), (std::vector<int>{200, 200}), "%zu: %s", cut,
                     connection.received.c_str());
        cr_expect_eq(front.target.take().size(), 2);
    }
}

} // namespace

// Guards against well-formed chunks that are refused, or that end the connection, wherever their
// bytes are cut.
Test(malformed_request, well_formed_chunks_are_taken_wherever_their_bytes_are_cut, .timeout = 60)
{
    Front front(platformEdge());
    const std::string head = beginHead("chunks") + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string body = "5;a=\"b c\"\r\nhello\r\n00a;d\r\n0123456789\r\n0\r\n\r\n";
    expectTakenWhereverCut(front, head + body, head.size());
}

// Guards against a trailer that is refused because its line arrives in two pieces.
Test(malformed_request, trailer_is_taken_wherever_its_bytes_are_cut, .timeout = 60)
{
    Front front(platformEdge());
    const std::string chunks
        = beginHead("trailer") + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
    expectTakenWhereverCut(front, chunks + "X-A: b\r\n\r\n", chunks.size());
}

namespace {

/** Well-formed request, and the lines that the target gets besides those of every request. */
struct WellFormed
{
    std::string name;
    std::string lines; ///< Of the caller's head.
    std::string body; ///< As sent.
    std::string passedLines;
    std::string passedBody;
};

/** @return All characters that a name may consist of. */
std::string tokenCharacters()
{
    std::string all = "!#$%&'*+-.^_`|~";
    for (char c = '0'; c <= '9'; ++c)
        all += c;
    for (char c = 'a'; c <= 'z'; ++c)
        all += std::string(1, c) + static_cast<char>(c - 'a' + 'A');
    return all;
}

std::vector<WellFormed> wellFormedRequests()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string five = "Content-Length: 5\r\n";
    const std::string all = tokenCharacters();
    std::string high;
    for (int byte = 128; byte < 256; ++byte)
        high += static_cast<char>(byte);
    std::vector<WellFormed> rows{
        {"no body", "", "", "", ""},
        {"body with a length", five, "hello", five, "hello"},
        {"length with leading zeros", "Content-Length: 0005\r\n", "hello", five, "hello"},
        {"length behind a tab", "Content-Length:\t5\r\n", "hello", five, "hello"},
        {"length without a blank", "content-length:5\r\n", "hello", five, "hello"},
        {"empty value", "X-A:\r\n", "", "X-A:\r\n", ""},
        {"blank value", "X-A: \t \r\n", "", "X-A:\r\n", ""},
        {"tab in a value", "X-A: b\tc\r\n", "", "X-A: b\tc\r\n", ""},
        {"blanks around a value", "X-A:  \t b c \t \r\n", "", "X-A: b c\r\n", ""},
        {"bytes above 127 in a value", "X-A: " + high + "\r\n", "", "X-A: " + high + "\r\n", ""},
        {"each character of a name", all + ": b\r\n", "", all + ": b\r\n", ""},
        {"printable characters in a value", "X-A: \"(),/:;<=>?@[\\]{}\r\n", "",
         "X-A: \"(),/:;<=>?@[\\]{}\r\n", ""},
        {"a name twice", "X-A: b\r\nX-A: c\r\n", "", "X-A: b\r\nX-A: c\r\n", ""},
        {"cookies", "Cookie: a=b; c=\"d e\"; f\r\n", "", "Cookie: a=b; c=\"d e\"; f\r\n", ""},
        {"chunks", chunked, "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", five, "hello"},
        {"chunks with extensions", "transfer-encoding: Chunked\r\n",
         "3;a=b\r\nhel\r\n02;c=\"d\";e\r\nlo\r\n000;f\r\n\r\n", five, "hello"},
        {"trailers are no headers", chunked,
         "5\r\nhello\r\n0\r\nX-Bilberrybend-Tenant: other\r\nX-A:\r\n\r\n", five, "hello"},
        {"continue", "Expect: 100-continue\r\n" + five, "hello", five, "hello"},
        {"options of the connection", "Connection: X-A, close-not\r\nX-A: b\r\nX-B: c\r\n", "",
         "X-B: c\r\n", ""},
    };
    std::string longValue(15'000, 'v');
    rows.push_back(
        {"long head", "X-A: " + longValue + "\r\n", "", "X-A: " + longValue + "\r\n", ""});
    std::string many;
    for (int i = 0; i < 150; ++i)
        many += "X-" + std::to_string(i) + ": " + std::string(60, 'v') + "\r\n";
    rows.push_back({"many headers", many, "", many, ""});
    return rows;
}

/** @return What reached the target, without the lines that the daemon adds to every request. */
std::string withoutAddedLines(const std::string &bytes)
{
    std::string kept;
    std::size_t at = 0;
    for (std::size_t end = bytes.find("\r\n"); end != at; end = bytes.find("\r\n", at)) {
        const std::string line = bytes.substr(at, end + 2 - at);
        if (!line.starts_with("X-Bilberrybend-Deadline-Ms: ")
            && !line.starts_with("X-Bilberrybend-Expect-Instance: "))
            kept += line;
        at = end + 2;
    }
    return kept + bytes.substr(at);
}

void checkPassedOn(Front &front, const WellFormed &row, const std::string &line,
                   const std::vector<std::size_t> &cuts)
{
    const std::string head = line + "\r\nHost: h.example:80\r\nX-Bilberrybend-Request-Id: id\r\n";
    const std::string request = head + row.lines + "\r\n" + row.body;
    RawConnection connection(front.port());
    std::size_t begin = 0;
    for (const std::size_t cut : cuts) {
        connection.send(request.substr(begin, cut - begin));
        absl::SleepFor(absl::Microseconds(500));
        begin = cut;
    }
    connection.send(request.substr(begin));
    connection.read(1);
    cr_expect_eq(connection.statuses(), std::vector<int>{200}, "%s: %s", row.name.c_str(),
                 connection.received.c_str());
    cr_expect_not(connection.closed, "%s: closed", row.name.c_str());
    const std::vector<LenientRequest> reached = front.target.take();
    cr_assert_eq(reached.size(), 1, "%s: %zu requests", row.name.c_str(), reached.size());
    std::string passed = withoutAddedLines(reached.front().bytes);
    // libcurl sends the length of a body last.
    const std::string expected = head + row.passedLines + "\r\n" + row.passedBody;
    cr_expect_eq(passed, expected, "%s: passed on\n%s", row.name.c_str(), passed.c_str());
}

} // namespace

// Guards against a check that refuses or changes well-formed requests.
Test(malformed_request, well_formed_requests_are_passed_on_byte_for_byte, .timeout = 120)
{
    Front front(platformEdge());
    const std::string target = "/hold/a-._~!$&'()*+,;=:@%00%2F%e9/?b=c&d?e/%f&g={|}[]\\^`\"<>";
    for (const WellFormed &row : wellFormedRequests()) {
        const std::string line = "POST " + target + " HTTP/1.1";
        const bool empty = row.passedBody.empty();
        WellFormed sent = row;
        if (empty)
            sent.passedLines += "Content-Length: 0\r\n";
        checkPassedOn(front, sent, line, {});
    }
    for (const std::string line :
         {"GET /x HTTP/1.1", "DELETE /x/ HTTP/1.1", "a!#$%&'*+-.^_`|~ / HTTP/1.1"})
        checkPassedOn(front, {line, "X-A: b\r\n", "", "X-A: b\r\n", ""}, line, {});
}

// Guards against a well-formed head that is refused because it arrives in two parts.
Test(malformed_request, well_formed_head_is_taken_wherever_its_bytes_are_cut, .timeout = 120)
{
    Front front(platformEdge());
    const WellFormed row{"cut", "X-A:  b \t\r\nContent-Length: 5\r\nX-B:\r\n", "hello",
                         "X-A: b\r\nX-B:\r\nContent-Length: 5\r\n", "hello"};
    for (std::size_t cut = 1; cut < 110; ++cut)
        checkPassedOn(front, row, "POST /hold/a HTTP/1.1", {cut});
    const std::string value(12'000, 'v');
    const WellFormed large{"large and cut", "X-A: " + value + "\r\nX-B: c\r\n", "",
                           "X-A: " + value + "\r\nX-B: c\r\n", ""};
    for (std::size_t cut = 100; cut < 12'000; cut += 997)
        checkPassedOn(front, large, "GET /hold/a HTTP/1.1", {cut, cut + 50});
}

// Guards against a refusal of requests on kept connections, pipelined ones, and those of HTTP/1.0.
Test(malformed_request, kept_and_pipelined_connections_are_served, .timeout = 60)
{
    for (const bool platform : {true, false}) {
        Front front(edgeOf(platform));
        RawConnection connection(front.port());
        for (std::size_t i = 1; i <= 3; ++i) {
            connection.send(goodRequest(std::to_string(i)));
            connection.read(i);
        }
        connection.send(goodRequest("4") + beginHead("5") + "Content-Length: 2\r\n\r\nok"
                        + beginHead("6") + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
                        + "\r\n" + goodRequest("7"));
        connection.read(7);
        cr_expect_eq(connection.statuses(), std::vector<int>(7, 200), "%s",
                     connection.received.c_str());
        cr_expect_not(connection.closed);
        cr_expect_eq(front.target.take().size(), 7);
        RawConnection old(front.port());
        old.send("GET /look/a HTTP/1.0\r\nX-Bilberrybend-Request-Id: old\r\n\r\n");
        old.read(1);
        cr_expect_eq(old.statuses(), std::vector<int>{200}, "%s", old.received.c_str());
    }
}
