/** @file generated_head_test.cpp Generated heads with one byte changed, put in or taken out: what
 * the callers' server takes is what a strict parser of this test takes. */
#include "net/caller_server_base.h"
#include "net/edge_type.h"
#include "platform/edge_func.h"

#include <random>

#include "raw_http.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr unsigned SEED = 52;
constexpr int CASES = 800; ///< In CI; HEAD_CASES in the environment sets another number.

/** Request as taken by a parser. */
struct Taken
{
    std::string method;
    std::string target;
    HeaderList headers; ///< Those that are passed on.
    std::string body;
    bool operator==(const Taken &) const = default;
};

std::string describe(const std::vector<Taken> &all)
{
    std::string text;
    for (const Taken &taken : all) {
        text += taken.method + " " + taken.target + "\n";
        for (const auto &[name, value] : taken.headers)
            text += "  " + name + "=" + value + "\n";
        text += "  body " + taken.body + "\n";
    }
    return text;
}

/** Callers' server that records what it takes and answers each request with 200. */
class Recorder
{
public:
    Recorder()
        : exchanges(std::make_shared<ExchangeTable>())
    {
        Settings settings;
        settings.callers = {"127.0.0.1", 0};
        this->server = CallerServer::start(settings, platformEdge(), this->exchanges,
                                           [this](HostEvent &&event) { return this->take(event); })
                           .value();
        cr_assert(this->server->open());
    }

    ~Recorder() { this->server->stop(); }

    int port() const { return this->server->port(); }

    std::vector<Taken> taken()
    {
        absl::MutexLock lock(&this->mutex);
        return std::exchange(this->requests, {});
    }

private:
    bool take(const HostEvent &event)
    {
        const auto *request = std::get_if<CallerRequest>(&event);
        if (request == nullptr)
            return true;
        const std::shared_ptr<Exchange> exchange = this->exchanges->find(request->request);
        const ForwardedRequest &forwarded = exchange->forwarded;
        {
            absl::MutexLock lock(&this->mutex);
            this->requests.push_back(
                {forwarded.method, forwarded.path, forwarded.headers, forwarded.body});
        }
        exchange->begin(200, "", {}, "ok", false);
        return true;
    }

    std::shared_ptr<ExchangeTable> exchanges;
    absl::Mutex mutex;
    std::vector<Taken> requests ABSL_GUARDED_BY(mutex);
    std::unique_ptr<CallerServer> server;
};

bool hasOnly(std::string_view text, std::string_view allowed)
{
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}

const std::string ALPHANUMERIC = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
const std::string TOKEN = ALPHANUMERIC + "!#$%&'*+-.^_`|~";

/** Strict parser of the requests on a connection. */
class StrictParser
{
public:
    explicit StrictParser(std::string_view bytes)
        : rest(bytes)
    {
    }

    /** @return The requests up to the first malformed or incomplete one. */
    std::vector<Taken> parse()
    {
        std::vector<Taken> all;
        while (std::optional<Taken> taken = this->next()) {
            ++this->wellFormed;
            // A well-formed request without an id is refused, and its connection goes on.
            if (!headerValue(taken->headers, "X-Bilberrybend-Request-Id").empty())
                all.push_back(*std::move(taken));
        }
        return all;
    }

    std::size_t wellFormed = 0; ///< Number of requests that are well formed.

private:
    /** @return The next line without its CR LF; nothing if no line is complete and well ended. */
    std::optional<std::string> line()
    {
        const std::size_t end = this->rest.find('\n');
        if (end == std::string_view::npos || end == 0 || this->rest[end - 1] != '\r')
            return std::nullopt;
        const std::string text(this->rest.substr(0, end - 1));
        this->rest.remove_prefix(end + 1);
        const auto isControl = [](char c) {
            return c != '\t' && (c == '\x7f' || static_cast<unsigned char>(c) < 32);
        };
        if (std::any_of(text.begin(), text.end(), isControl))
            return std::nullopt;
        return text;
    }

    /** Skips the empty lines that a server may skip in front of a request. */
    void skipEmptyLines()
    {
        while (this->rest.starts_with("\r\n") || this->rest.starts_with("\n"))
            this->rest.remove_prefix(this->rest.front() == '\r' ? 2 : 1);
    }

    std::optional<Taken> next()
    {
        this->skipEmptyLines();
        const std::optional<std::string> first = this->line();
        if (!first)
            return std::nullopt;
        const std::size_t one = std::min(first->find(' '), first->size());
        const std::size_t two = std::min(first->rfind(' '), first->size());
        Taken taken{first->substr(0, one), "", {}, ""};
        if (one >= two)
            return std::nullopt;
        taken.target = first->substr(one + 1, two - one - 1);
        const std::string version = first->substr(two + 1);
        const bool lineKnown = hasOnly(taken.method, TOKEN) && isTarget(taken.target)
            && (version == "HTTP/1.1" || version == "HTTP/1.0");
        if (!lineKnown || !this->readHeaders(taken) || !this->checkHeaders(taken, version))
            return std::nullopt;
        return this->readBody(taken) ? std::optional<Taken>(taken) : std::nullopt;
    }

    static bool isTarget(const std::string &target)
    {
        const bool visible = std::all_of(target.begin(), target.end(),
                                         [](char c) { return c > ' ' && c < 127 && c != '#'; });
        return visible && target.starts_with('/');
    }

    bool readHeaders(Taken &taken)
    {
        this->all.clear();
        while (true) {
            const std::optional<std::string> text = this->line();
            if (!text)
                return false;
            if (text->empty())
                return true;
            const std::size_t colon = text->find(':');
            if (colon == std::string::npos || !hasOnly(text->substr(0, colon), TOKEN))
                return false;
            const std::string raw = text->substr(colon + 1);
            const std::size_t begin = std::min(raw.find_first_not_of(" \t"), raw.size());
            const std::size_t end = raw.find_last_not_of(" \t") + 1;
            this->all.emplace_back(text->substr(0, colon),
                                   end <= begin ? "" : raw.substr(begin, end - begin));
            this->blankBehindLength = raw.ends_with(' ') || raw.ends_with('\t');
            const std::string name = absl::AsciiStrToLower(this->all.back().first);
            if (name != "content-length" && name != "connection")
                taken.headers.push_back(this->all.back());
            // The library knows no blank behind a length; that is refused, too.
            if (name == "content-length" && this->blankBehindLength)
                return false;
        }
    }

    bool checkHeaders(const Taken &, const std::string &version)
    {
        std::map<std::string, int> count;
        this->length = 0;
        for (const auto &[name, value] : this->all) {
            const std::string key = absl::AsciiStrToLower(name);
            ++count[key];
            if (key == "content-length") {
                if (!hasOnly(value, "0123456789"))
                    return false;
                this->length = std::strtoul(value.c_str(), nullptr, 10);
            }
            if (key == "host" && !isHost(value))
                return false;
            if (key.starts_with("x-bilberrybend-") && count[key] > 1)
                return false;
            if (key == "transfer-encoding" || (key == "connection" && value != "keep-alive"))
                return false; // Not generated but by chance.
        }
        const bool hostKnown = count["host"] == 1 || (count["host"] == 0 && version == "HTTP/1.0");
        return hostKnown && count["content-length"] <= 1;
    }

    static bool isHost(const std::string &host)
    {
        const std::string name = host.substr(0, host.find(':'));
        const std::string port
            = host.find(':') == std::string::npos ? "" : host.substr(host.find(':') + 1);
        return (name.empty() || hasOnly(name, ALPHANUMERIC + "-._~%!$&'()*+,;="))
            && (port.empty() || hasOnly(port, "0123456789"));
    }

    bool readBody(Taken &taken)
    {
        if (this->rest.size() < this->length)
            return false;
        taken.body = std::string(this->rest.substr(0, this->length));
        this->rest.remove_prefix(this->length);
        return true;
    }

    std::string_view rest;
    HeaderList all;
    std::size_t length = 0;
    bool blankBehindLength = false;
};

/** Well-formed requests on one connection. */
class Generator
{
public:
    explicit Generator(unsigned seed)
        : random(seed)
    {
    }

    std::string connection()
    {
        std::string bytes;
        for (int i = this->pick(1, 2); i > 0; --i)
            bytes += this->request();
        return bytes;
    }

    /** Changes, puts in or takes out one byte. */
    void disturb(std::string &bytes)
    {
        static const std::string BYTES("\0\t\n\v\f\r\x7f\x80\xff :;,()/#?%-0159aXZ\"\\", 28);
        const auto at = static_cast<std::size_t>(this->pick(0, static_cast<int>(bytes.size()) - 1));
        const char byte
            = BYTES[static_cast<std::size_t>(this->pick(0, static_cast<int>(BYTES.size()) - 1))];
        switch (this->pick(0, 2)) {
        case 0:
            bytes[at] = byte;
            break;
        case 1:
            bytes.insert(bytes.begin() + static_cast<std::ptrdiff_t>(at), byte);
            break;
        default:
            bytes.erase(at, 1);
        }
    }

private:
    int pick(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(this->random);
    }

    std::string text(const std::string &characters, int low, int high)
    {
        std::string out;
        for (int i = this->pick(low, high); i > 0; --i)
            out += characters[static_cast<std::size_t>(
                this->pick(0, static_cast<int>(characters.size()) - 1))];
        return out;
    }

    std::string request()
    {
        const std::string body
            = this->pick(0, 1) == 0 ? "" : this->text(ALPHANUMERIC + "\r\n", 1, 9);
        std::string head = this->pick(0, 1) == 0 ? "POST /" : "GET /";
        head += this->text(ALPHANUMERIC + "/?=&%-._~", 0, 8) + " HTTP/1.1\r\nHost: h.example\r\n";
        head += "X-Bilberrybend-Request-Id: id\r\n";
        for (int i = this->pick(0, 3); i > 0; --i)
            head += "Y" + this->text(TOKEN, 0, 5) + ":" + this->text(" \t", 0, 2)
                + this->text(ALPHANUMERIC + " \t\x80\xff;=\"", 0, 8) + "\r\n";
        if (!body.empty())
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return head + "\r\n" + body;
    }

    std::mt19937 random;
};

int numberOfCases()
{
    const char *text = std::getenv("HEAD_CASES");
    return text == nullptr ? CASES : std::atoi(text);
}

std::string escaped(const std::string &bytes)
{
    std::string out;
    for (const char c : bytes)
        out += c >= ' ' && c < 127 ? std::string(1, c)
                                   : "\\x" + std::to_string(static_cast<unsigned char>(c)) + ";";
    return out;
}

void checkSameTaken(Recorder &recorder, const std::string &bytes)
{
    RawConnection connection(recorder.port());
    StrictParser parser(bytes);
    const std::vector<Taken> expected = parser.parse();
    connection.send(bytes);
    // The library drops pipelined requests of a connection whose client has ended sending.
    if (parser.wellFormed > 0)
        connection.read(parser.wellFormed);
    connection.endSending();
    connection.read(0);
    const std::vector<Taken> taken = recorder.taken();
    cr_expect(taken == expected, "%s\ntaken:\n%s\nexpected:\n%s", escaped(bytes).c_str(),
              describe(taken).c_str(), describe(expected).c_str());
}

} // namespace

// Guards against heads that the daemon reads in another way than a strict reader.
Test(generated_head, disturbed_heads_are_taken_only_as_a_strict_parser_takes_them, .timeout = 280)
{
    Recorder recorder;
    Generator generator(SEED);
    for (int i = 0; i < numberOfCases(); ++i) {
        std::string bytes = generator.connection();
        generator.disturb(bytes);
        checkSameTaken(recorder, bytes);
    }
}

// Guards against well-formed heads that are refused or read in another way.
Test(generated_head, well_formed_heads_are_taken_as_they_are, .timeout = 120)
{
    Recorder recorder;
    Generator generator(SEED + 1);
    for (int i = 0; i < numberOfCases() / 8; ++i)
        checkSameTaken(recorder, generator.connection());
}

// Guards against a line that ends with NUL LF, which libmicrohttpd makes indistinguishable from one
// that ends with CR LF.
Test(generated_head, nul_before_a_line_feed_does_not_end_a_line, .timeout = 60)
{
    Recorder recorder;
    checkSameTaken(recorder,
                   std::string("GET /a HTTP/1.1\r\nHost: h.example\r\nX-Bilberrybend-Request-Id: i"
                               "\r\nX-A: b")
                       + std::string("\0\n", 2) + "\r\n");
}
