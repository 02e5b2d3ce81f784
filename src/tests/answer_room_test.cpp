/** @file answer_room_test.cpp Heads of requests and answers that together exceed what the HTTP
 * library has for a connection: a request is answered whole, or refused whole and not passed on. */
#include "net/caller_server_base.h"
#include "net/edge_type.h"
#include "platform/edge_func.h"

#include <cstdlib>
#include <random>

#include "raw_http.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr unsigned SEED = 69;
constexpr int CASES = 300; ///< In CI; ROOM_CASES in the environment sets another number.
constexpr std::size_t HEAD_LIMIT_BYTES = 16'384; ///< Of a request's head, as callers are promised.
constexpr std::size_t LINE_BYTES = 4; ///< Separators of a field.
constexpr std::size_t MAX_ANSWER_HEAD_BYTES = 63 << 10;

/** Body of a request, by how it is sent. */
enum class SentBody { None, WithLength, Chunked, WithTrailer };

/** Request and the answer to it. */
struct Shape
{
    std::size_t headBytes = 0; ///< Of the further fields of the request, about.
    std::size_t fields = 0;
    std::size_t arguments = 0; ///< Of the query.
    std::size_t cookies = 0;
    SentBody body = SentBody::None;
    std::size_t answerHeadBytes = 0; ///< Of the further fields of the answer, about.
    std::size_t answerFields = 0;
    bool streamed = false;

    std::string describe() const
    {
        return absl::StrCat("head of ", this->headBytes, " in ", this->fields, " fields, ",
                            this->arguments, " arguments, ", this->cookies, " cookies, body ",
                            static_cast<int>(this->body), "; answer head of ",
                            this->answerHeadBytes, " in ", this->answerFields, " fields, streamed ",
                            this->streamed);
    }
};

/** Fields of about equal length with @p bytes together, as far as their names allow. */
HeaderList makeFields(const std::string &prefix, std::size_t bytes, std::size_t count)
{
    HeaderList fields;
    for (std::size_t i = 0; i < count; ++i) {
        std::string name = absl::StrCat(prefix, i);
        const std::size_t taken = name.size() + LINE_BYTES;
        const std::size_t size = bytes / count;
        fields.emplace_back(std::move(name), std::string(size - std::min(size, taken), 'v'));
    }
    return fields;
}

std::string lines(const HeaderList &fields)
{
    std::string text;
    for (const auto &[name, value] : fields)
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    return text;
}

std::string headOf(const Shape &shape)
{
    std::string query;
    for (std::size_t i = 0; i < shape.arguments; ++i)
        absl::StrAppend(&query, i == 0 ? "?" : "&", "a", i, "=");
    std::string head
        = absl::StrCat("POST /path/x", query, " HTTP/1.1\r\nHost: a.example\r\n",
                       "X-Bilberrybend-Request-Id: r1\r\nX-Bilberrybend-Deadline-Ms: 15000\r\n",
                       lines(makeFields("X-T-", shape.headBytes, shape.fields)));
    if (shape.cookies > 0)
        head += "Cookie: ";
    for (std::size_t i = 0; i < shape.cookies; ++i)
        absl::StrAppend(&head, i == 0 ? "" : "; ", "c", i, "=1");
    if (shape.cookies > 0)
        head += "\r\n";
    if (shape.body == SentBody::WithLength)
        head += "Content-Length: 5\r\n";
    else if (shape.body != SentBody::None)
        head += "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

std::string bodyOf(const Shape &shape)
{
    switch (shape.body) {
    case SentBody::None:
        return "";
    case SentBody::WithLength:
        return "hello";
    case SentBody::Chunked:
        return "5\r\nhello\r\n0\r\n\r\n";
    case SentBody::WithTrailer:
        return "5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n";
    }
    return "";
}

/** Answer as received. */
struct Received
{
    int status = 0; ///< 0: none.
    std::string head;
    std::string body; ///< Without chunk lines.
    bool complete = false; ///< Its framing says that all has arrived.
};

void readChunks(std::string_view bytes, Received &received)
{
    while (true) {
        const std::size_t end = bytes.find("\r\n");
        if (end == std::string_view::npos)
            return;
        const std::size_t size
            = std::strtoul(std::string(bytes.substr(0, end)).c_str(), nullptr, 16);
        bytes.remove_prefix(end + 2);
        if (bytes.size() < size + 2)
            return;
        received.body += bytes.substr(0, size);
        bytes.remove_prefix(size + 2);
        if (size == 0) {
            received.complete = true;
            return;
        }
    }
}

/** Reads the first answer in @p bytes. */
Received readAnswer(const std::string &bytes)
{
    Received received;
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos || !bytes.starts_with("HTTP/1.1 "))
        return received;
    received.status = std::atoi(bytes.c_str() + std::strlen("HTTP/1.1 "));
    received.head = bytes.substr(0, end + 2);
    const std::string_view rest = std::string_view(bytes).substr(end + 4);
    const std::string lower = absl::AsciiStrToLower(received.head);
    const std::size_t length = lower.find("\r\ncontent-length: ");
    if (length != std::string::npos) {
        const std::size_t size = std::strtoul(lower.c_str() + length + 18, nullptr, 10);
        received.body = rest.substr(0, size);
        received.complete = received.body.size() == size;
    } else {
        readChunks(rest, received);
    }
    return received;
}

const std::string PLAIN_BODY = "the whole answer";
const std::vector<std::string> EVENTS{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
                                      "id: 3\ndata: c\n\n"};

/** Callers' server whose requests are answered in a given shape. */
class Answering
{
public:
    explicit Answering(Settings settings = {})
        : exchanges(std::make_shared<ExchangeTable>())
    {
        settings.callers = {"127.0.0.1", 0};
        this->server = CallerServer::start(settings, platformEdge(), this->exchanges,
                                           [this](HostEvent &&event) { return this->take(event); })
                           .value();
        cr_assert(this->server->open());
    }

    ~Answering() { this->server->stop(); }

    int port() const { return this->server->port(); }
    std::string metrics() const { return this->server->formatMetrics(); }
    CallerServer &callers() { return *this->server; }

    void setShape(const Shape &shape)
    {
        absl::MutexLock lock(&this->mutex);
        this->shape = shape;
    }

    /** @return Requests that were passed on since the previous call. */
    int takePassedOn()
    {
        absl::MutexLock lock(&this->mutex);
        return std::exchange(this->passedOn, 0);
    }

    int disconnected()
    {
        absl::MutexLock lock(&this->mutex);
        return this->disconnects;
    }

    /** Sends one request and checks that it is answered whole, or refused whole and not passed on.
     * @return The status; 0 if the rule was broken. */
    int call(const Shape &shape, std::string *failure)
    {
        this->setShape(shape);
        RawConnection client(this->port());
        client.send(headOf(shape) + bodyOf(shape));
        client.readUntil([&]() { return readAnswer(client.received).complete; });
        const Received received = readAnswer(client.received);
        const int ran = this->takePassedOn();
        if (received.complete && received.status == 200 && ran == 1
            && this->isWhole(shape, received))
            return received.status;
        if (received.complete && received.status >= 400 && ran == 0)
            return received.status;
        *failure = absl::StrCat(shape.describe(), ": passed on ", ran, " times, status ",
                                received.status, ", complete ", received.complete, ", head of ",
                                received.head.size(), " bytes");
        return 0;
    }

private:
    bool isWhole(const Shape &shape, const Received &received) const
    {
        const std::string fields
            = lines(makeFields("X-A-", shape.answerHeadBytes, shape.answerFields));
        const std::string body = shape.streamed ? EVENTS[0] + EVENTS[1] + EVENTS[2] : PLAIN_BODY;
        return received.body == body && received.head.find(fields) != std::string::npos;
    }

    bool take(const HostEvent &event)
    {
        absl::MutexLock lock(&this->mutex);
        if (std::holds_alternative<CallerDisconnected>(event))
            ++this->disconnects;
        const auto *request = std::get_if<CallerRequest>(&event);
        if (request == nullptr)
            return true;
        ++this->passedOn;
        const std::shared_ptr<Exchange> exchange = this->exchanges->find(request->request);
        HeaderList fields
            = makeFields("X-A-", this->shape.answerHeadBytes, this->shape.answerFields);
        if (!this->shape.streamed) {
            exchange->begin(200, "", std::move(fields), PLAIN_BODY, false);
            return true;
        }
        exchange->begin(200, "", std::move(fields), "", true);
        for (const std::string &piece : EVENTS)
            exchange->append(piece);
        exchange->end(false);
        return true;
    }

    std::shared_ptr<ExchangeTable> exchanges;
    absl::Mutex mutex;
    Shape shape ABSL_GUARDED_BY(mutex);
    int passedOn ABSL_GUARDED_BY(mutex) = 0;
    int disconnects ABSL_GUARDED_BY(mutex) = 0;
    std::unique_ptr<CallerServer> server;
};

/** Checks the rule for shapes, and that each has the status @p expected; 0: any. */
void checkShapes(const std::vector<Shape> &shapes, int expected)
{
    Answering site;
    int broken = 0;
    for (const Shape &shape : shapes) {
        std::string failure;
        const int status = site.call(shape, &failure);
        broken += status == 0 ? 1 : 0;
        cr_expect(status != 0, "%s", failure.c_str());
        cr_expect(expected == 0 || status == expected, "%s: status %d", shape.describe().c_str(),
                  status);
    }
    cr_expect_eq(broken, 0, "%d of %zu", broken, shapes.size());
}

Shape randomShape(std::mt19937 &random)
{
    const auto upTo = [&](std::size_t most) {
        return std::uniform_int_distribution<std::size_t>(0, most)(random);
    };
    constexpr std::size_t ORDINARY_BYTES = 400; // Of the usual fields of a request.
    Shape shape;
    shape.headBytes = upTo(3) == 0 ? 0 : upTo(HEAD_LIMIT_BYTES - ORDINARY_BYTES);
    shape.fields = shape.headBytes == 0 ? 0 : 1 + upTo(shape.headBytes / 20);
    if (shape.headBytes < HEAD_LIMIT_BYTES / 2) {
        shape.arguments = upTo(3) == 0 ? upTo(900) : 0;
        shape.cookies = upTo(3) == 0 && shape.arguments == 0 ? upTo(700) : 0;
    }
    shape.body = static_cast<SentBody>(upTo(3));
    shape.answerHeadBytes = upTo(2) == 0 ? 0 : upTo(MAX_ANSWER_HEAD_BYTES);
    shape.answerFields = shape.answerHeadBytes == 0 ? 0 : 1 + upTo(shape.answerHeadBytes / 20);
    shape.streamed = upTo(1) == 0;
    return shape;
}

} // namespace

// Failure: an unsafe request ran, and its connection closed without a byte of the answer, as the
// answer's head did not fit into what the request's many fields had left of the library's memory.
Test(answer_room, request_with_a_large_head_in_many_fields_is_answered_or_not_passed_on)
{
    std::vector<Shape> shapes;
    for (std::size_t bytes = 14'816; bytes < 15'024; bytes += 16)
        shapes.push_back({.headBytes = bytes, .fields = 270});
    shapes.push_back(
        {.headBytes = 10'000, .fields = 120, .answerHeadBytes = 15'000, .answerFields = 15});
    shapes.push_back(
        {.headBytes = 14'000, .fields = 50, .answerHeadBytes = 15'000, .answerFields = 15});
    shapes.push_back(
        {.headBytes = 15'000, .fields = 120, .answerHeadBytes = 10'000, .answerFields = 10});
    checkShapes(shapes, 0);
}

// Failure: an ordinary request ran and was not answered, as the target's head alone exceeded the
// library's memory.
Test(answer_room, answer_with_a_large_head_reaches_the_caller)
{
    std::vector<Shape> shapes;
    for (const bool streamed : {false, true}) {
        for (const std::size_t fields : {1, 2, 60, 900}) {
            for (const std::size_t bytes : {14'000, 16'000, 30'000, 60'000, 63'000})
                shapes.push_back(
                    {.answerHeadBytes = bytes, .answerFields = fields, .streamed = streamed});
        }
    }
    checkShapes(shapes, 200);
}

// Failure: a query of many arguments ends its connection without a byte, and many fields or cookies
// within the promised size are refused, as the library keeps an entry for each of them.
Test(answer_room, heads_within_the_limit_are_taken_whatever_they_consist_of)
{
    std::vector<Shape> shapes;
    for (const std::size_t arguments : {480, 700, 1'200})
        shapes.push_back({.arguments = arguments});
    shapes.push_back({.headBytes = 10'000, .fields = 350});
    shapes.push_back({.headBytes = 15'000, .fields = 270});
    shapes.push_back({.headBytes = 15'000, .fields = 500});
    shapes.push_back({.cookies = 600});
    shapes.push_back({.headBytes = 12'700, .fields = 270, .body = SentBody::WithTrailer});
    checkShapes(shapes, 200);
}

// Failure: a head over the limit gets no answer, two, or one without the caller's id, or is passed
// on.
Test(answer_room, head_over_a_limit_is_refused_whole)
{
    Answering site;
    for (const Shape &shape :
         {Shape{.headBytes = 18'000, .fields = 2}, Shape{.headBytes = 200'000, .fields = 100},
          Shape{.headBytes = 6'000, .fields = 700}}) {
        RawConnection client(site.port());
        client.send(headOf(shape) + headOf({}));
        client.read(0);
        cr_expect_eq(client.statuses(), std::vector<int>{431}, "%s: %s", shape.describe().c_str(),
                     client.received.c_str());
        cr_expect(client.closed);
        const Received received = readAnswer(client.received);
        cr_expect(received.complete);
        cr_expect_neq(received.head.find("X-Bilberrybend-Request-Id: r1\r\n"), std::string::npos);
        cr_expect_eq(site.takePassedOn(), 0);
    }
}

// Failure: the limit that a configuration names is not the one that holds.
Test(answer_room, limit_of_heads_can_be_changed_while_the_server_runs)
{
    Answering site;
    std::string failure;
    for (const std::size_t limit : {8'192, 65'536, 16'384}) {
        site.callers().limitHeads(limit);
        cr_expect_eq(site.call({.headBytes = limit - 400, .fields = 20}, &failure), 200, "%s",
                     failure.c_str());
        cr_expect_eq(site.call({.headBytes = limit + 2'000, .fields = 20}, &failure), 431, "%s",
                     failure.c_str());
    }
}

// Failure: a request behind others on its connection loses its answer, as their bytes take the
// memory of the library.
Test(answer_room, requests_behind_others_are_answered_whole)
{
    constexpr std::size_t REQUESTS = 300;
    Answering site;
    site.setShape({.answerHeadBytes = 3'000, .answerFields = 3});
    RawConnection client(site.port());
    std::string bytes;
    for (std::size_t i = 0; i < REQUESTS; ++i)
        bytes += headOf({});
    client.send(bytes + headOf({.headBytes = 15'000, .fields = 300}));
    client.readUntil([&]() { return client.statuses().size() > REQUESTS; }, 20s);
    cr_expect_eq(client.statuses(), std::vector<int>(REQUESTS + 1, 200));
    cr_expect_eq(site.takePassedOn(), static_cast<int>(REQUESTS + 1));
}

// Failure: the refusal of a malformed request behind a large head is lost.
Test(answer_room, malformed_request_with_a_large_head_gets_its_refusal)
{
    Answering site;
    for (const std::size_t fields : {10, 270}) {
        std::string head = headOf({.headBytes = 15'000, .fields = fields});
        head.insert(head.size() - 2, "X-A : b\r\n");
        RawConnection client(site.port());
        client.send(head + headOf({}));
        client.read(0);
        cr_expect_eq(client.statuses(), std::vector<int>{400}, "%zu: %s", fields,
                     client.received.c_str());
        cr_expect(readAnswer(client.received).complete);
        cr_expect_eq(site.takePassedOn(), 0);
    }
}

// Failure: some combination of heads, query, cookies, body and answer runs without an answer, or
// ends in silence.
Test(answer_room, generated_requests_are_answered_or_not_passed_on)
{
    const char *cases = std::getenv("ROOM_CASES");
    std::mt19937 random(SEED);
    std::vector<Shape> shapes;
    for (int i = 0; i < (cases == nullptr ? CASES : std::atoi(cases)); ++i)
        shapes.push_back(randomShape(random));
    checkShapes(shapes, 0);
}

namespace {

/** Request whose answer the test makes piece by piece, with a head beyond the library's memory. */
class LongAnswer
{
public:
    LongAnswer()
        : exchanges(std::make_shared<ExchangeTable>())
    {
        Settings settings;
        settings.callers = {"127.0.0.1", 0};
        this->server = CallerServer::start(settings, platformEdge(), this->exchanges,
                                           [this](HostEvent &&event) { return this->take(event); })
                           .value();
        cr_assert(this->server->open());
        this->client = std::make_unique<RawConnection>(this->server->port());
        this->client->send(headOf({}));
        cr_assert(this->waitFor([this]() { return this->id != RequestId(); }));
        this->exchange = this->exchanges->find(this->id);
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        const TimePoint end = MonotonicClock::now() + 5s;
        while (MonotonicClock::now() < end) {
            {
                absl::MutexLock lock(&this->mutex);
                if (condition())
                    return true;
            }
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }

    void begin(bool streamed)
    {
        this->exchange->begin(200, "", makeFields("X-A-", 40'000, 2), "", streamed);
    }

    bool waitUntilReceived(const std::string &text)
    {
        this->client->readUntil(
            [&]() { return this->client->received.find(text) != std::string::npos; });
        return this->client->received.find(text) != std::string::npos;
    }

    std::shared_ptr<ExchangeTable> exchanges;
    std::shared_ptr<Exchange> exchange;
    std::unique_ptr<RawConnection> client;
    std::unique_ptr<CallerServer> server;
    absl::Mutex mutex;
    bool disconnected = false;

private:
    bool take(const HostEvent &event)
    {
        absl::MutexLock lock(&this->mutex);
        if (const auto *request = std::get_if<CallerRequest>(&event))
            this->id = request->request;
        this->disconnected |= std::holds_alternative<CallerDisconnected>(event);
        return true;
    }

    RequestId id;
};

} // namespace

// Failure: events of a stream with a large head wait until the stream ends, or a broken one looks
// complete.
Test(answer_room, stream_with_a_large_head_is_relayed_as_it_is_made)
{
    for (const bool broken : {false, true}) {
        LongAnswer answer;
        answer.begin(true);
        for (const std::string &event : EVENTS) {
            answer.exchange->append(event);
            cr_expect(answer.waitUntilReceived(event));
        }
        answer.exchange->end(broken);
        answer.client->read(0);
        const Received received = readAnswer(answer.client->received);
        cr_expect_eq(received.body, EVENTS[0] + EVENTS[1] + EVENTS[2]);
        cr_expect_eq(received.complete, !broken);
        answer.server->stop();
    }
}

// Failure: a caller that leaves in the middle of such a stream is not noticed, and its target works
// on.
Test(answer_room, caller_that_leaves_a_stream_with_a_large_head_is_noticed)
{
    LongAnswer answer;
    answer.begin(true);
    answer.exchange->append(EVENTS[0]);
    cr_expect(answer.waitUntilReceived(EVENTS[0]));
    answer.client.reset();
    cr_expect(answer.waitFor([&]() { return answer.disconnected; }));
    answer.server->stop();
}

// Failure: the server cannot stop, or a callback outlives it, while such an answer is written.
Test(answer_room, server_stops_while_a_stream_with_a_large_head_is_open)
{
    LongAnswer answer;
    answer.begin(true);
    answer.exchange->append(EVENTS[0]);
    cr_expect(answer.waitUntilReceived(EVENTS[0]));
    answer.server->stop();
    answer.exchange->append(EVENTS[1]);
    answer.exchange->end(false);
    answer.client->read(0);
    cr_expect(answer.client->closed);
    cr_expect_not(readAnswer(answer.client->received).complete);
}
