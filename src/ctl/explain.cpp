/** @file explain.cpp Finds the cause of a request's outcome in log lines. */
#include "ctl/explain_func.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace bilberry {

namespace {

constexpr std::int64_t LEADER_TAKEOVER_MS
    = 4'000; ///< Time from an election until the new leader sends load orders and grants budgets.
constexpr std::int64_t TARGET_LOSS_WINDOW_MS
    = 5'000; ///< Longest time from the end of an attempt to the log line of the loss of its target,
             ///< before or after.
constexpr std::int64_t FORECAST_WINDOW_MS
    = 15'000; ///< An older forecast does not explain a refusal; it may stand for a whole load.
constexpr std::int64_t LOAD_ORDER_WINDOW_MS
    = 60'000; ///< An older load order does not explain a refusal.

std::string stringField(const LogLine &line, const char *field)
{
    const auto it = line.fields.find(field);
    if (it == line.fields.end())
        return "";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

std::int64_t integerField(const LogLine &line, const char *field)
{
    const auto it = line.fields.find(field);
    return it == line.fields.end() || !it->is_number() ? 0 : it->get<std::int64_t>();
}

/** @return Last line between @p since and @p at (Unix ms) that satisfies @p matches, or null. */
template <class Matches>
const LogLine *latest(const std::vector<LogLine> &lines, std::int64_t since, std::int64_t at,
                      const Matches &matches)
{
    const LogLine *found = nullptr;
    for (const LogLine &line : lines) {
        if (line.unixMs >= since && line.unixMs <= at && matches(line))
            found = &line;
    }
    return found;
}

const LogLine *latestEvent(const std::vector<LogLine> &lines, const std::string &event,
                           std::int64_t since, std::int64_t at)
{
    return latest(lines, since, at, [&](const LogLine &line) { return line.event == event; });
}

/** Converts "model/adapter", the form in request events, to "model:adapter", as in order events. */
std::string replicaNameOf(const std::string &variant)
{
    const std::size_t slash = variant.find('/');
    if (slash == std::string::npos)
        return variant + ":";
    return variant.substr(0, slash) + ":" + variant.substr(slash + 1);
}

/** @return Text with the time from @p cause to @p end. */
std::string timeBefore(const LogLine &cause, const LogLine &end)
{
    return absl::StrCat(end.unixMs - cause.unixMs, " ms before");
}

/** @return Text that says whether the leader was new or missing at @p end; empty if neither. */
std::string leadershipProblem(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::int64_t since = end.unixMs - LEADER_TAKEOVER_MS;
    const LogLine *won = latestEvent(lines, "leadershipWon", since, end.unixMs);
    const LogLine *lost = latestEvent(lines, "leadershipEnded", since, end.unixMs);
    if (won != nullptr && (lost == nullptr || lost->unixMs <= won->unixMs))
        return absl::StrCat(won->host, " had become the leader ", timeBefore(*won, end),
                            " and was still waiting for earlier orders and grants to expire");
    if (lost != nullptr)
        return absl::StrCat(lost->host, " had stopped leading ", timeBefore(*lost, end),
                            " and no other host was the leader yet");
    return "";
}

/** @return Text on the forecast loads at @p end; empty if the leader logged none shortly before. */
std::string describeForecast(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::int64_t since = end.unixMs - FORECAST_WINDOW_MS;
    const LogLine *forecast = latestEvent(lines, "loadForecast", since, end.unixMs);
    if (forecast == nullptr)
        return "";
    return absl::StrCat("; ", integerField(*forecast, "loads"), " loads were under way and ",
                        integerField(*forecast, "needs"), " models waited for theirs (",
                        integerField(*forecast, "withoutRoom"),
                        " without room), at a weight store that serves ",
                        integerField(*forecast, "parallelism"),
                        " at full speed, so that the caller was told to come back in ",
                        integerField(end, "retryAfterMs"), " ms");
}

std::string causeOfNoTarget(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::string variant = stringField(end, "variant");
    const std::string name = "/" + replicaNameOf(variant);
    const auto ofVariant = [&](const LogLine &line, const char *event) {
        return line.event == event && absl::EndsWith(stringField(line, "replica"), name);
    };
    const std::int64_t since = end.unixMs - LOAD_ORDER_WINDOW_MS;
    const LogLine *order = latest(lines, since, end.unixMs, [&](const LogLine &line) {
        return ofVariant(line, "orderSent") && stringField(line, "action") == "load";
    });
    const LogLine *answer = latest(lines, since, end.unixMs, [&](const LogLine &line) {
        return ofVariant(line, "orderAnswered") && order != nullptr
            && stringField(line, "replica") == stringField(*order, "replica");
    });
    const bool refused = answer != nullptr && answer->unixMs >= order->unixMs
        && integerField(*answer, "reply") != 0;
    const std::string problem = leadershipProblem(lines, end);
    if (order != nullptr && refused)
        return absl::StrCat("the load of ", variant, " as ", stringField(*order, "replica"),
                            " was not accepted (reply ", integerField(*answer, "reply"), ") ",
                            timeBefore(*answer, end));
    if (order != nullptr)
        return absl::StrCat(variant, " was being loaded as ", stringField(*order, "replica"),
                            ", ordered ", timeBefore(*order, end), describeForecast(lines, end));
    if (!problem.empty())
        return absl::StrCat("no target had ", variant, ", and ", problem);
    return absl::StrCat(
        "no target had ", variant,
        " and no load was ordered: other variants had more demand, or memory was full",
        describeForecast(lines, end));
}

std::string causeOfRateLimit(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::string problem = leadershipProblem(lines, end);
    if (!problem.empty())
        return "the account's budget could not be distributed: " + problem;
    const std::string type = stringField(end, "type");
    const auto similarRefusals
        = std::count_if(lines.begin(), lines.end(), [&](const LogLine &line) {
              return line.event == "requestRefused" && stringField(line, "type") == type
                  && std::abs(line.unixMs - end.unixMs) <= 500;
          });
    return absl::StrCat("the account was over its rate: ", similarRefusals,
                        " such refusals on all hosts within 500 ms before or after");
}

/** @return Text that says whether the target was lost or restarted when the attempt ended. */
std::string describeTargetLoss(const std::vector<LogLine> &lines, const std::string &target,
                               const LogLine &end)
{
    std::int64_t start = 0;
    for (const LogLine &line : lines) {
        const bool inWindow = line.unixMs >= end.unixMs - TARGET_LOSS_WINDOW_MS
            && line.unixMs <= end.unixMs + TARGET_LOSS_WINDOW_MS;
        if (stringField(line, "target") != target)
            continue;
        const bool restarted = start != 0 && integerField(line, "start") > start;
        start = std::max(start, integerField(line, "start"));
        if (!inWindow)
            continue;
        if (line.event == "targetSilent")
            return absl::StrCat(target, " stopped sending heartbeats");
        if (line.event == "targetLeft")
            return absl::StrCat(target, " announced its shutdown");
        if (restarted)
            return absl::StrCat(target, " restarted");
    }
    return absl::StrCat(target, " stayed up: its answer or the connection was faulty");
}

std::string causeOfAttempt(const std::vector<LogLine> &lines, const LogLine &end,
                           const std::string &target)
{
    const std::string result = stringField(end, "result");
    if (result == "failed")
        return absl::StrCat(target, " itself answered with status ", integerField(end, "status"));
    if (result == "refused")
        return absl::StrCat(target, " refused the request without running it");
    if (result == "cancelled")
        return "the caller disconnected, or another attempt had answered";
    const LogLine *malformed = latest(lines, 0, end.unixMs, [&](const LogLine &line) {
        return line.event == "answerMalformed" && line.host == end.host
            && stringField(line, "attempt") == stringField(end, "attempt");
    });
    if (malformed != nullptr)
        return absl::StrCat("the answer of ", target, " was malformed by the rule ",
                            stringField(*malformed, "rule"), " at the field ",
                            stringField(*malformed, "field"), ", so the request may have run");
    return absl::StrCat("the attempt on ", target, " was ", result, " after ",
                        integerField(end, "events"), " events; ",
                        describeTargetLoss(lines, target, end));
}

/** @return Which target limits its request rate, as far as a leader's line says so. */
std::string causeOfTargetRate(const std::vector<LogLine> &lines, const LogLine &end)
{
    const LogLine *limit = latest(lines, 0, end.unixMs, [](const LogLine &line) {
        return line.event == "targetRateChanged" && line.fields.contains("to")
            && !line.fields["to"].is_null();
    });
    const std::string by = limit == nullptr
        ? "their leader's log is missing"
        : absl::StrCat(stringField(*limit, "target"), " takes ", stringField(*limit, "to"),
                       " a second of all hosts, as it said ", end.unixMs - limit->unixMs,
                       " ms before");
    return absl::StrCat("its turn at the targets of ", stringField(end, "variant"),
                        " would have come too late: ", by);
}

/** @return Rule of HTTP's grammar that the request broke, and at which field. */
std::string causeOfMalformed(const LogLine &line)
{
    const std::string field = stringField(line, "field");
    return absl::StrCat(
        line.host, " refused the request, and closed its connection, as malformed by the rule ",
        stringField(line, "rule"), field.empty() ? "" : absl::StrCat(" at the field ", field));
}

/** @return Why an answer that was ready has not reached the caller. */
std::string causeOfUndelivered(const LogLine &line)
{
    if (stringField(line, "why") == "caller_stalled")
        return absl::StrCat(line.host, " had the answer, and the caller did not read it");
    return absl::StrCat(line.host, " had the answer with status ", integerField(line, "status"),
                        ", and its HTTP library closed the connection: a head of ",
                        integerField(line, "answerHeadBytes"), " bytes, and room for ",
                        integerField(line, "roomBytes"));
}

/** @return Why the head of a request was not read to its end. */
std::string causeOfRefusedHead(const LogLine &line)
{
    const std::string why = stringField(line, "why");
    if (why == "noRoom")
        return absl::StrCat(line.host, " held ", integerField(line, "heldInAll"),
                            " bytes of heads of requests and took no more");
    if (why == "tooManyFields")
        return absl::StrCat(line.host, " takes no heads with so many fields");
    return absl::StrCat(line.host, " takes heads of ", integerField(line, "limit"),
                        " bytes, and this one was longer");
}

std::string causeOfRefusal(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::string type = stringField(end, "type");
    if (type == "no_target")
        return causeOfNoTarget(lines, end);
    if (type == "target_rate_limited")
        return causeOfTargetRate(lines, end);
    if (absl::EndsWith(type, "rate_limited"))
        return causeOfRateLimit(lines, end);
    if (type == "overloaded") {
        const std::string rank = end.fields.contains("rank")
            ? absl::StrCat("; among them it was of rank ", integerField(end, "rank"))
            : "";
        return absl::StrCat("the targets of ", stringField(end, "variant"),
                            " had more requests queued than could be served in time", rank);
    }
    if (integerField(end, "freshMs") <= 0) {
        const std::string problem = leadershipProblem(lines, end);
        return absl::StrCat(end.host, " had no lease from the leader",
                            problem.empty() ? ": no connection to it" : ": " + problem);
    }
    return absl::StrCat(end.host, " refused the request as ", type, " with table version ",
                        stringField(end, "table"));
}

/**
 * Collects the lines of a request and of its attempts. An attemptEnded line has no request id, so
 * it is matched by host and attempt id.
 * @param targets Receives the target of each attempt, by "host/attempt".
 */
std::vector<LogLine> requestLines(const std::vector<LogLine> &lines, const std::string &tag,
                                  std::map<std::string, std::string> &targets)
{
    std::vector<LogLine> path;
    for (const LogLine &line : lines) {
        const std::string attempt = line.host + "/" + stringField(line, "attempt");
        if (stringField(line, "tag") == tag) {
            if (line.event == "attemptStarted")
                targets[attempt] = stringField(line, "target");
            path.push_back(line);
        } else if (line.event == "attemptEnded" && targets.contains(attempt)) {
            path.push_back(line);
        }
    }
    return path;
}

} // namespace

std::vector<LogLine> readLogLines(std::istream &in)
{
    std::vector<LogLine> lines;
    std::string text;
    while (std::getline(in, text)) {
        const std::size_t brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        LogLine line;
        line.fields = nlohmann::json::parse(text.substr(brace), nullptr, false);
        if (!line.fields.is_object() || !line.fields.contains("event"))
            continue;
        line.unixMs = integerField(line, "unixMs");
        line.host = stringField(line, "host");
        line.event = stringField(line, "event");
        lines.push_back(std::move(line));
    }
    return lines;
}

void sortLogLines(std::vector<LogLine> &lines)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.unixMs < b.unixMs; });
}

Explanation explainRequest(const std::vector<LogLine> &lines, const std::string &tag)
{
    std::map<std::string, std::string> targets;
    Explanation out;
    out.path = requestLines(lines, tag, targets);
    if (out.path.empty())
        return out;
    // How an answer was sent is no end of a request.
    const auto last = std::find_if(out.path.rbegin(), out.path.rend(), [](const LogLine &line) {
        return line.event != "answerDeliveredDirectly";
    });
    const LogLine &end = last == out.path.rend() ? out.path.back() : *last;
    std::optional<LogLine> failed;
    for (const LogLine &line : out.path) {
        if (line.event == "attemptEnded")
            failed = line;
    }
    const bool uncertain
        = end.event == "requestRefused" && stringField(end, "type") == "may_have_run" && failed;
    const LogLine &decisive = uncertain ? *failed : end;
    const bool answered
        = stringField(decisive, "result") == "answered" && stringField(decisive, "status") == "200";
    if (decisive.event == "requestMalformed")
        out.cause = causeOfMalformed(decisive);
    else if (decisive.event == "answerNotDelivered")
        out.cause = causeOfUndelivered(decisive);
    else if (decisive.event == "requestHeadRefused")
        out.cause = causeOfRefusedHead(decisive);
    else if (decisive.event == "requestRefused")
        out.cause = causeOfRefusal(lines, decisive);
    else if (decisive.event == "attemptEnded" && !answered)
        out.cause = causeOfAttempt(lines, decisive,
                                   targets[decisive.host + "/" + stringField(decisive, "attempt")]);
    else
        out.cause = absl::StrCat("the answer of ",
                                 targets[decisive.host + "/" + stringField(decisive, "attempt")],
                                 " was forwarded completely, or ", decisive.host,
                                 " exited before the end of the answer");
    return out;
}

Explanation explainTarget(const std::vector<LogLine> &lines, const std::string &target)
{
    Explanation out;
    for (const LogLine &line : lines) {
        if (stringField(line, "target") == target
            || absl::StartsWith(stringField(line, "replica"), target + "/"))
            out.path.push_back(line);
    }
    std::size_t losses = 0;
    for (const LogLine &line : out.path) {
        if (line.event == "targetSilent") {
            out.cause = absl::StrCat(target, " stopped sending heartbeats");
            ++losses;
        } else if (line.event == "targetLeft") {
            out.cause = absl::StrCat(target, " announced its shutdown");
            ++losses;
        } else if (line.event == "targetStatedLeaving") {
            out.cause = absl::StrCat(target, " said in an answer that it leaves");
        } else if (line.event == "targetRateChanged") {
            const bool ended = !line.fields.contains("to") || line.fields["to"].is_null();
            out.cause = ended
                ? absl::StrCat(target, " no longer limits its request rate")
                : absl::StrCat(target, " takes ", stringField(line, "to"), " requests a second");
        } else if (line.event == "targetChanged") {
            const std::string before
                = losses == 0 ? "" : absl::StrCat(" after it was lost ", losses, " times");
            out.cause = absl::StrCat(target, " serves", before);
        }
    }
    return out;
}

Explanation explainVersion(const std::vector<LogLine> &lines, std::uint64_t number)
{
    const std::string call = absl::StrCat("replaceConfig ", number);
    Explanation out;
    std::size_t accepted = 0;
    for (const LogLine &line : lines) {
        if (line.event != "operatorCall" || stringField(line, "call") != call)
            continue;
        accepted += stringField(line, "outcome") == "ok" ? 1 : 0;
        out.path.push_back(line);
    }
    if (out.path.empty())
        return out;
    if (accepted > 0) {
        out.cause = absl::StrCat("accepted ", accepted, " times, first by ", out.path.front().host);
        return out;
    }
    const LogLine &last = out.path.back();
    const std::string problem = leadershipProblem(lines, last);
    out.cause = absl::StrCat("never accepted: ", stringField(last, "outcome"),
                             problem.empty() ? "" : "; " + problem);
    return out;
}

namespace {

/** @return Whether the line is about an operator's request that names @p id. */
bool concernsChange(const LogLine &line, const std::string &id)
{
    if (line.event == "operatorCall")
        return absl::EndsWith(stringField(line, "call"), " " + id);
    if (line.event == "operatorRequestDropped")
        return absl::EndsWith(stringField(line, "request"), " " + id)
            || stringField(line, "changeId") == id;
    return line.event == "changeOvertaken"
        && (stringField(line, "record") == id || stringField(line, "changeId") == id);
}

} // namespace

Explanation explainChange(const std::vector<LogLine> &lines, const std::string &id)
{
    Explanation out;
    std::string lastAccepted;
    int dropped = 0;
    int overtaken = 0;
    for (const LogLine &line : lines) {
        if (!concernsChange(line, id))
            continue;
        out.path.push_back(line);
        dropped += line.event == "operatorRequestDropped" ? 1 : 0;
        overtaken += line.event == "changeOvertaken" ? 1 : 0;
        if (stringField(line, "outcome") == "ok")
            lastAccepted = absl::StrCat(stringField(line, "call"), " by ", line.host);
    }
    if (out.path.empty())
        return out;
    out.cause
        = absl::StrCat(lastAccepted.empty() ? "none accepted" : "last accepted: " + lastAccepted,
                       "; dropped ", dropped, ", refused for a newer one ", overtaken);
    return out;
}

namespace {

/** @return Whether the line is about the window; a line on a fix is about earlier ones too. */
bool concernsWindow(const LogLine &line, std::int64_t window, std::int64_t fixedBefore)
{
    const std::int64_t named = integerField(line, "window");
    if (line.event == "usageFixed")
        return window <= named && window > fixedBefore;
    return named == window
        && (line.event == "usageSent" || line.event == "usageRefused" || line.event == "usageLate"
            || line.event == "usageUnanswered");
}

} // namespace

Explanation explainWindow(const std::vector<LogLine> &lines, std::int64_t window)
{
    Explanation out;
    std::int64_t fixedBefore = 0;
    std::int64_t late = 0;
    std::size_t unanswered = 0;
    std::string state;
    for (const LogLine &line : lines) {
        const bool concerned = concernsWindow(line, window, fixedBefore);
        if (line.event == "usageFixed")
            fixedBefore = std::max(fixedBefore, integerField(line, "window"));
        if (!concerned)
            continue;
        out.path.push_back(line);
        late += line.event == "usageLate" ? integerField(line, "requests") : 0;
        unanswered += line.event == "usageUnanswered" ? 1 : 0;
        if (line.event == "usageFixed")
            state = line.fields.contains("begins") ? "not reported: the counting began after it"
                                                   : "fixed by " + line.host + ", not accepted yet";
        else if (line.event == "usageSent")
            state = absl::StrCat("accepted from ", line.host, " ", integerField(line, "sinceEndMs"),
                                 " ms after its end");
        else if (line.event == "usageRefused")
            state = absl::StrCat("refused with status ", integerField(line, "status"));
    }
    if (out.path.empty())
        return out;
    out.cause = absl::StrCat("window ", window, ": ", state.empty() ? "not fixed" : state, "; ",
                             unanswered, " calls without acceptance, ", late,
                             " requests reported too late");
    return out;
}

Explanation explainDuty(const std::vector<LogLine> &lines, const std::string &duty)
{
    Explanation out;
    for (const LogLine &line : lines) {
        if (line.event != "dutyGranted" || stringField(line, "duty") != duty)
            continue;
        out.path.push_back(line);
        out.cause
            = absl::StrCat(line.host, " holds ", duty, " with fencing token ",
                           integerField(line, "fencing"), " since ", line.unixMs,
                           "; its calls began ", integerField(line, "callsInMs"), " ms later");
    }
    return out;
}

std::string describe(const Explanation &explanation)
{
    std::string out;
    for (const LogLine &line : explanation.path)
        absl::StrAppend(&out, line.unixMs, " ", line.host, " ", line.event, " ",
                        line.fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                        "\n");
    absl::StrAppend(&out, "cause: ",
                    explanation.cause.empty() ? "no matching log line" : explanation.cause, "\n");
    return out;
}

} // namespace bilberry
