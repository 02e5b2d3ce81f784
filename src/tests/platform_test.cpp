/** @file platform_test.cpp Encoding and decoding of the platform's protocol, without a network. */
#include "net/http_server_base.h"
#include "platform/edge_func.h"
#include "platform/edge_internal.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr std::int64_t UNIX_MS = 1'700'000'100'000; ///< Present time of day.

RawRequest makeRaw()
{
    RawRequest raw;
    raw.method = "POST";
    raw.target = "/lohu930/../2f?x=%2e%2e";
    raw.headers = {{"Host", "ficu95.example:8080"},
                   {"X-Bilberrybend-Request-Id", "9c41"},
                   {"X-Bilberrybend-Model", "daka/a3"},
                   {"X-Bilberrybend-Token-Count", "1460,80"},
                   {"X-Bilberrybend-Prompt-Prefix", "5c:800,91:410,e4:250"},
                   {"X-Bilberrybend-Deadline-Ms", "15000"},
                   {"X-Bilberrybend-Tenant", "forged"},
                   {"X-Bilberrybend-Hold", "forged"},
                   {"Authorization", "Token secret"},
                   {"Connection", "close, X-Private"},
                   {"X-Private", "1"},
                   {"X-Kept", "yes"}};
    raw.body = "body";
    return raw;
}

StartAttempt makeAttempt()
{
    StartAttempt attempt;
    attempt.target = TargetId("i-1");
    attempt.remaining = 900ms;
    attempt.account = AccountId("hule");
    return attempt;
}

const char *CONFIG = R"({"version":7,
 "routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":15000,
            "latencyGoalMs":600,"priority":1,"attempts":2,"public":false,"resumable":true,
            "gapTargetMs":300,"split":[{"service":"s","weight":90},{"service":"p","weight":10}]}],
 "services":[{"name":"s","coldPerS":12.0,"engine":{"weightsMb":230000.0,"adapterSlots":8,
              "loadsPerS":3.7,"models":[{"name":"m","weightsMb":65099.99,"loadS":6.0,"diskS":1.6,
              "adapters":2,"adapterMb":66.0}]}},{"name":"p"}],
 "tenants":[{"name":"t","apiKeys":["k1"],"unit":"tokens","plainTokens":200,"ratePerS":100,
             "burst":50}]})";

std::string configWith(const std::string &from, const std::string &to)
{
    std::string text = CONFIG;
    text.replace(text.find(from), from.size(), to);
    return text;
}

bool isValid(const std::string &text)
{
    std::string reason;
    return platform::readConfig(text, reason).has_value();
}

} // namespace

Test(platform, requests_are_decoded_and_path_and_body_are_unchanged)
{
    const ParsedRequest parsed = platformEdge().parseRequest(RequestId(1), makeRaw(), 0);
    cr_assert_not(parsed.refusal);
    cr_assert_eq(parsed.event.virtualHost, "ficu95.example");
    cr_assert_eq(parsed.event.variant->adapter.value, "a3");
    cr_assert_eq(*parsed.event.declaredTokens, 1540);
    cr_assert(*parsed.event.timeLimit == 15s);
    cr_assert_neq(parsed.event.prefix, 0);
    cr_assert_eq(parsed.forwarded.path, "/lohu930/../2f?x=%2e%2e");
    cr_assert_eq(parsed.forwarded.body, "body");
}

Test(platform, api_keys_and_daemon_only_headers_are_not_forwarded)
{
    const ParsedRequest parsed = platformEdge().parseRequest(RequestId(1), makeRaw(), 0);
    const HeaderList sent = platformEdge().attemptHeaders(parsed.forwarded, makeAttempt());
    cr_assert_eq(headerValue(sent, "Authorization"), "");
    cr_assert_eq(headerValue(sent, "X-Bilberrybend-Hold"), "");
    cr_assert_eq(headerValue(sent, "X-Private"), "");
    cr_assert_eq(headerValue(sent, "X-Kept"), "yes");
    cr_assert_eq(headerValue(sent, "X-Bilberrybend-Tenant"), "hule");
    cr_assert_eq(headerValue(sent, "X-Bilberrybend-Expect-Instance"), "i-1");
    cr_assert_eq(headerValue(sent, "X-Bilberrybend-Deadline-Ms"), "900");
}

// Guards against engines that admit and preempt requests without regard to their ranks.
Test(platform, urgency_is_sent_where_ranks_are_in_use)
{
    ParsedRequest parsed = platformEdge().parseRequest(RequestId(1), makeRaw(), 0);
    StartAttempt attempt = makeAttempt();
    const char *name = "X-Bilberrybend-Request-Urgency";
    cr_assert_eq(headerValue(platformEdge().attemptHeaders(parsed.forwarded, attempt), name), "");
    attempt.urgency = 7;
    cr_assert_eq(headerValue(platformEdge().attemptHeaders(parsed.forwarded, attempt), name), "7");
}

// Guards against a client account whose own priority is lost, and against one that is no number.
Test(platform, priorities_of_routes_and_accounts_are_decoded)
{
    std::string reason;
    const auto plain = platform::readConfig(CONFIG, reason);
    cr_assert(plain);
    cr_assert_not(plain->config.accounts.at(AccountId("t")).priority);
    cr_assert_eq(plain->config.routes.begin()->second.priority, 1);
    const auto own = platform::readConfig(
        configWith(R"("unit":"tokens")", R"("priority":2,"unit":"tokens")"), reason);
    cr_assert(own);
    cr_assert_eq(*own->config.accounts.at(AccountId("t")).priority, 2);
    cr_assert_not(isValid(configWith(R"("unit":"tokens")", R"("priority":"x","unit":"tokens")")));
    cr_assert_not(isValid(configWith(R"("priority":1)", R"("priority":-1)")));
}

Test(platform, refusal_status_guarantees_not_run_only_if_true)
{
    const auto status = [](RefusalCode code, Execution execution) {
        return platformEdge().encodeRefusal({RequestId(1), code, execution, {}}, "x").status;
    };
    cr_assert_eq(status(RefusalCode::Deadline, Execution::NotRun), 503);
    cr_assert_eq(status(RefusalCode::Deadline, Execution::MayHaveRun), 504);
    cr_assert_eq(status(RefusalCode::NoTarget, Execution::MayHaveRun), 502);
    cr_assert_eq(status(RefusalCode::RateLimited, Execution::NotRun), 429);
    const EncodedAnswer answer = platformEdge().encodeRefusal(
        {RequestId(1), RefusalCode::NoTarget, Execution::NotRun, 1500ms}, "x");
    cr_assert_eq(headerValue(answer.headers, "Retry-After"), "1.500");
}

Test(platform, only_unencoded_sealed_answers_with_the_request_id_are_relayed)
{
    const ParsedRequest parsed = platformEdge().parseRequest(RequestId(1), makeRaw(), 0);
    const auto read = [&](int status, HeaderList headers) {
        return platformEdge().readAnswerHead(parsed.forwarded, makeAttempt(), status, headers);
    };
    const HeaderList valid{{"X-Bilberrybend-Request-Id", "9c41"},
                           {"X-Bilberrybend-Server-Seal", "s"}};
    cr_assert(read(200, valid).belongsToAttempt);
    cr_assert_not(read(200, {{"X-Bilberrybend-Server-Seal", "s"}}).belongsToAttempt);
    cr_assert_not(read(200, {{"X-Bilberrybend-Request-Id", "9c41"}}).belongsToAttempt);
    HeaderList other = valid;
    other[0].second = "another";
    cr_assert_not(read(200, other).belongsToAttempt);
    HeaderList encoded = valid;
    encoded.emplace_back("Content-Encoding", "gzip");
    cr_assert_not(read(200, encoded).belongsToAttempt);
    cr_assert(read(503, {{"X-Bilberrybend-Not-Executed", "1"}}).notRun);
    cr_assert_not(read(503, valid).notRun);
}

Test(platform, event_numbers_are_read_from_id_lines)
{
    cr_assert(platformEdge().eventId("id: 12\ndata: x", 1) == (EventId{12, "12"}));
    cr_assert_not(platformEdge().eventId("data: id: 3", 1));
}

Test(platform, heartbeats_are_decoded_and_invalid_ones_are_rejected)
{
    const std::string valid
        = R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"draining",
            "coldLeftMs":1500,"models":[{"name":"m","version":1,"adapters":["a1","a2@3"]}],
            "atHand":{"inMemory":["m"],"onDisk":["n"]},"seqNo":4,"born":1700000000123,
            "version":"v2"})";
    const auto read = platform::readHeartbeat("i-1", valid, UNIX_MS);
    cr_assert(read);
    cr_assert(read->leaving);
    cr_assert(read->coldFor == 1500ms);
    cr_assert_eq(read->loaded.size(), 3);
    cr_assert_eq(read->loaded[2].variant.adapter.value, "a2");
    cr_assert_eq(read->cached.size(), 2);
    cr_assert_eq(read->start.value, 1700000000123);
    cr_assert_eq(read->softwareVersion, "v2");
    for (const char *invalid :
         {"", "{", "[]", "{\"service\":1}", R"({"service":"s","address":"x","zone":"z","slots":1,
          "state":"ready","seqNo":1})",
          R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"state":"odd","seqNo":1})",
          R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":"8","state":"ready"})"})
        cr_assert_not(platform::readHeartbeat("i-1", invalid, UNIX_MS));
}

// Guards against one odd entry in the name of a target, after which the target is not followed any
// more, and against an address that no connection can be made to.
Test(platform, heartbeats_with_implausible_values_are_rejected)
{
    const auto heartbeat = [](const std::string &address, const std::string &fields) {
        return platform::readHeartbeat("i-1",
                                       R"({"service":"s","zone":"z","state":"ready","address":")"
                                           + address + "\"," + fields + "}",
                                       UNIX_MS);
    };
    cr_expect(heartbeat("10.0.0.9:80", R"("slots":1,"seqNo":1,"born":1700000000123)"));
    cr_expect(heartbeat("[::1]:80", R"("slots":1,"seqNo":1)")
              || heartbeat("::1:80", R"("slots":1,"seqNo":1)"));
    for (const char *born : {"9e18", "9000000000000000000", "1e400", "-1", "9223372036854775808",
                             "18446744073709551616", "1.0", "\"1\"", "1700000700123"})
        cr_expect_not(
            heartbeat("10.0.0.9:80", std::string(R"("slots":1,"seqNo":1,"born":)") + born),
            "born %s", born);
    for (const char *sequence :
         {"9000000000000000000", "-1", "18446744073709551615", "1e400", "1.0"})
        cr_expect_not(heartbeat("10.0.0.9:80", std::string(R"("slots":1,"seqNo":)") + sequence),
                      "seqNo %s", sequence);
    for (const char *slots : {"0", "-1", "100001", "9223372036854775808", "1.0", "1e400"})
        cr_expect_not(heartbeat("10.0.0.9:80", std::string(R"("seqNo":1,"slots":)") + slots),
                      "slots %s", slots);
    for (const char *address :
         {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:080", "10.0.0.9:", "10.0.0.9",
          ":80", "host:80", "10.0.0:80", "10.0.0.9:+80"})
        cr_expect_not(heartbeat(address, R"("slots":1,"seqNo":1)"), "%s", address);
    cr_expect_not(heartbeat("10.0.0.9:80", R"("slots":1,"seqNo":1,"version":2)"));
}

// Guards against a process that ends when it reads, copies or writes out a deeply nested body.
Test(platform, deeply_nested_bodies_do_no_harm)
{
    for (const std::size_t levels : {1'000UL, 100'000UL, 1'000'000UL}) {
        const std::string nested = std::string(levels, '[') + std::string(levels, ']');
        const std::string open(levels, '[');
        for (const std::string &odd : {nested, open, "{\"models\":" + nested + "}"}) {
            const std::string fields
                = R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.9:80","slots":1,"seqNo":1,"models":)";
            (void)platform::readHeartbeat("i-1", fields + odd + "}", UNIX_MS);
            (void)platform::readHeartbeat("i-1", odd, UNIX_MS);
            (void)platform::readInspection(odd);
            std::string reason;
            cr_expect_not(platform::readConfig(odd, reason));
        }
    }
}

Test(platform, inspections_list_what_a_target_holds_and_is_loading)
{
    const auto report = platform::readInspection(
        R"({"seqNo":3,"busy":false,"coming":["m/a2@1",7,"m"],
        "models":[{"name":"m","version":1,"adapters":["a1"]},{"version":2}]})");
    cr_assert(report && report->held);
    cr_assert_eq(report->accepted, 3);
    std::vector<std::string> held;
    for (const LoadedVariant &item : *report->held)
        held.push_back(item.variant.model.value + "/" + item.variant.adapter.value);
    cr_assert_eq(held, (std::vector<std::string>{"m/", "m/a1", "m/a2"}));
    const auto counted = platform::readInspection(R"({"seqNo":3,"busy":false})");
    cr_assert(counted && !counted->held, "a report without models shows no inventory");
    cr_assert_not(platform::readInspection(R"({"seqNo":-1,"busy":false})"));
}

Test(platform, configurations_are_decoded_and_invalid_ones_are_rejected)
{
    std::string reason;
    const auto read = platform::readConfig(CONFIG, reason);
    cr_assert(read, "%s", reason.c_str());
    cr_assert_eq(read->version.value, 7);
    const Route &route = read->config.routes.begin()->second;
    cr_assert_eq(route.split.size(), 2);
    cr_assert_eq(route.patienceMs, 2400);
    cr_assert(route.resumable && !route.repeatable);
    const Account &account = read->config.accounts.begin()->second;
    cr_assert(account.limitsTokens && !account.limitsRequests);
    cr_assert_eq(read->config.models.at(ModelId("m")).memoryMb, 65100);
    cr_assert_eq(read->config.keys.size(), 1);
    cr_assert_not(isValid(std::string(CONFIG).substr(0, 300)));
    cr_assert_not(isValid(configWith("\"service\":\"s\"", "\"service\":\"q\"")));
    cr_assert_not(isValid(configWith("\"weight\":90", "\"weight\":-10")));
    cr_assert_not(isValid(configWith("\"timeoutMs\":15000", "\"timeoutMs\":0")));
    cr_assert_not(isValid(configWith("\"version\":7", "\"version\":\"7\"")));
    // Guards against lines of a name that reach targets as headers.
    for (const std::string name : {"t\\r\\nX-Bilberrybend-Hold: 1", "t\\u0000", " t", "t\\t"})
        cr_assert_not(isValid(configWith("\"name\":\"t\"", "\"name\":\"" + name + "\"")));
    cr_assert(isValid(configWith("\"name\":\"t\"", "\"name\":\"t \u00e9\"")));
    cr_assert_not(
        isValid(configWith("\"tenants\":[", R"("tenants":[{"name":"u","apiKeys":["k1"]},)")));
    cr_assert_not(isValid(
        configWith("\"routes\":[", R"("routes":[{"name":"q","host":"h.example","pathPrefix":"/a/",
        "kind":"safe","timeoutMs":1,"service":"p"},)")));
}

// Guards against a limit of heads that is not applied, or whose absence makes a configuration
// invalid.
Test(platform, limit_of_heads_is_decoded)
{
    const auto limitOf = [](const std::string &limits) {
        std::string reason;
        const auto read = platform::readConfig(configWith("\"tenants\":[", limits), reason);
        cr_assert(read, "%s: %s", limits.c_str(), reason.c_str());
        return read->config.services.at("p").maxHeaderBytes;
    };
    cr_assert_eq(limitOf(R"("limits":{"maxHeaderBytes":8192},"tenants":[)"), 8'192);
    for (const char *none :
         {R"("tenants":[)", R"("limits":{},"tenants":[)", R"("limits":null,"tenants":[)",
          R"("limits":{"maxHeaderBytes":"1"},"tenants":[)"})
        cr_assert_eq(limitOf(none), 0, "%s", none);
}

// Guards against bounds of the number of targets that are misread or contradict each other.
Test(platform, bounds_of_the_number_of_targets_are_decoded_and_checked)
{
    const auto withScale = [](const std::string &scale) {
        return configWith("{\"name\":\"p\"}", "{\"name\":\"p\",\"scale\":" + scale + "}");
    };
    std::string reason;
    const auto read = platform::readConfig(withScale(R"({"min":30,"max":70,"bootS":8.5})"), reason);
    cr_assert(read, "%s", reason.c_str());
    const auto &bounds = read->config.services.at("p").targetCount;
    cr_assert(bounds && *bounds == (TargetCountBounds{30, 70, 8.5}));
    cr_assert_not(read->config.services.at("s").targetCount);
    cr_assert(isValid(withScale(R"({"min":0,"max":0})")));
    cr_assert(isValid(withScale("null")));
    for (const char *scale :
         {R"({"min":70,"max":30,"bootS":8})", R"({"min":-1,"max":30,"bootS":8})",
          R"({"min":1,"max":3,"bootS":-8})", R"({"min":1,"max":3,"bootS":1e9})",
          R"({"min":1.5,"max":3,"bootS":8})", R"({"max":3,"bootS":8})", R"({"min":1,"bootS":8})",
          R"({"min":1,"max":18446744073709551615})", R"([1,3])", R"("1")"})
        cr_expect_not(isValid(withScale(scale)), "%s", scale);
}
