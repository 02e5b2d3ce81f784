/** @file explain.cpp Finds the cause of a request's end in log lines. */
#include "ctl/explain_func.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace bilberry {

namespace {

constexpr std::int64_t NEW_LEADER_MS
    = 4'000; ///< Until a new leader orders loads and knows budgets.
constexpr std::int64_t LOSS_SHOWS_MS = 5'000; ///< A lost target is known to all by then.
constexpr std::int64_t LOAD_MS = 60'000; ///< An older order says nothing of a refusal.

std::string textOf(const LogLine &line, const char *field)
{
    const auto it = line.fields.find(field);
    if (it == line.fields.end())
        return "";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

std::int64_t numberOf(const LogLine &line, const char *field)
{
    const auto it = line.fields.find(field);
    return it == line.fields.end() || !it->is_number() ? 0 : it->get<std::int64_t>();
}

/** @return Latest line before @p at, and not before @p since, that @p matches; or null. */
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

/** @return "model:adapter", as orders write it, of "model/adapter", as requests do. */
std::string replicaNameOf(const std::string &variant)
{
    const std::size_t slash = variant.find('/');
    if (slash == std::string::npos)
        return variant + ":";
    return variant.substr(0, slash) + ":" + variant.substr(slash + 1);
}

std::string ageOf(const LogLine &cause, const LogLine &end)
{
    return absl::StrCat(end.unixMs - cause.unixMs, " ms before");
}

/** @return Whether a leader was new or missing at the time, in words; empty: neither. */
std::string leaderTrouble(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::int64_t since = end.unixMs - NEW_LEADER_MS;
    const LogLine *won = latestEvent(lines, "leadershipWon", since, end.unixMs);
    const LogLine *lost = latestEvent(lines, "leadershipEnded", since, end.unixMs);
    if (won != nullptr && (lost == nullptr || lost->unixMs <= won->unixMs))
        return absl::StrCat(won->host, " had become the leader ", ageOf(*won, end),
                            " and still waited for earlier orders and grants to run out");
    if (lost != nullptr)
        return absl::StrCat(lost->host, " had stopped leading ", ageOf(*lost, end),
                            " and no other led yet");
    return "";
}

std::string causeOfNoTarget(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::string variant = textOf(end, "variant");
    const std::string name = "/" + replicaNameOf(variant);
    const auto ofVariant = [&](const LogLine &line, const char *event) {
        return line.event == event && absl::EndsWith(textOf(line, "replica"), name);
    };
    const std::int64_t since = end.unixMs - LOAD_MS;
    const LogLine *order = latest(lines, since, end.unixMs, [&](const LogLine &line) {
        return ofVariant(line, "orderSent") && textOf(line, "action") == "load";
    });
    const LogLine *answer = latest(lines, since, end.unixMs, [&](const LogLine &line) {
        return ofVariant(line, "orderAnswered") && order != nullptr
            && textOf(line, "replica") == textOf(*order, "replica");
    });
    const bool refused
        = answer != nullptr && answer->unixMs >= order->unixMs && numberOf(*answer, "reply") != 0;
    const std::string trouble = leaderTrouble(lines, end);
    if (order != nullptr && refused)
        return absl::StrCat("the load of ", variant, " as ", textOf(*order, "replica"),
                            " was not accepted (reply ", numberOf(*answer, "reply"), ") ",
                            ageOf(*answer, end));
    if (order != nullptr)
        return absl::StrCat(variant, " was being loaded as ", textOf(*order, "replica"),
                            ", ordered ", ageOf(*order, end));
    if (!trouble.empty())
        return absl::StrCat("no target had ", variant, ", and ", trouble);
    return absl::StrCat("no target had ", variant,
                        " and none was told to load it: others were wanted more, or all were full");
}

std::string causeOfLimit(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::string trouble = leaderTrouble(lines, end);
    if (!trouble.empty())
        return "the account's budget could not be shared out: " + trouble;
    const std::string type = textOf(end, "type");
    const auto sameSecond = std::count_if(lines.begin(), lines.end(), [&](const LogLine &line) {
        return line.event == "requestRefused" && textOf(line, "type") == type
            && std::abs(line.unixMs - end.unixMs) <= 500;
    });
    return absl::StrCat("the account was over its rate: ", sameSecond,
                        " such refusals on all hosts within the second around it");
}

/** @return What became of a target just after an attempt on it ended. */
std::string fateOf(const std::vector<LogLine> &lines, const std::string &target, const LogLine &end)
{
    std::int64_t start = 0;
    for (const LogLine &line : lines) {
        const bool soon = line.unixMs >= end.unixMs - LOSS_SHOWS_MS
            && line.unixMs <= end.unixMs + LOSS_SHOWS_MS;
        if (textOf(line, "target") != target)
            continue;
        const bool restarted = start != 0 && numberOf(line, "start") > start;
        start = std::max(start, numberOf(line, "start"));
        if (!soon)
            continue;
        if (line.event == "targetSilent")
            return absl::StrCat(target, " fell silent");
        if (line.event == "targetLeft")
            return absl::StrCat(target, " said that it ends");
        if (restarted)
            return absl::StrCat(target, " started anew");
    }
    return absl::StrCat(target, " lived on: its answer or the connection was spoiled");
}

std::string causeOfAttempt(const std::vector<LogLine> &lines, const LogLine &end,
                           const std::string &target)
{
    const std::string result = textOf(end, "result");
    if (result == "failed")
        return absl::StrCat(target, " itself answered with status ", numberOf(end, "status"));
    if (result == "refused")
        return absl::StrCat(target, " refused it without running it");
    if (result == "cancelled")
        return "the caller left, or another attempt had answered";
    return absl::StrCat("the attempt on ", target, " was ", result, " after ",
                        numberOf(end, "events"), " events; ", fateOf(lines, target, end));
}

std::string causeOfRefusal(const std::vector<LogLine> &lines, const LogLine &end)
{
    const std::string type = textOf(end, "type");
    if (type == "no_target")
        return causeOfNoTarget(lines, end);
    if (absl::EndsWith(type, "rate_limited"))
        return causeOfLimit(lines, end);
    if (type == "overloaded")
        return absl::StrCat("the targets of ", textOf(end, "variant"),
                            " had more waiting than could be served in time");
    if (numberOf(end, "freshMs") <= 0) {
        const std::string trouble = leaderTrouble(lines, end);
        return absl::StrCat(end.host, " had no lease from a leader",
                            trouble.empty() ? ": it was cut off" : ": " + trouble);
    }
    return absl::StrCat(end.host, " refused it as ", type, " by table ", textOf(end, "table"));
}

/** Lines of a request's attempts; those that end name the attempt only. */
std::vector<LogLine> pathOf(const std::vector<LogLine> &lines, const std::string &tag,
                            std::map<std::string, std::string> &targets)
{
    std::vector<LogLine> path;
    for (const LogLine &line : lines) {
        const std::string attempt = line.host + "/" + textOf(line, "attempt");
        if (textOf(line, "tag") == tag) {
            if (line.event == "attemptStarted")
                targets[attempt] = textOf(line, "target");
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
        line.unixMs = numberOf(line, "unixMs");
        line.host = textOf(line, "host");
        line.event = textOf(line, "event");
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
    out.path = pathOf(lines, tag, targets);
    if (out.path.empty())
        return out;
    const LogLine &end = out.path.back();
    std::optional<LogLine> failed;
    for (const LogLine &line : out.path) {
        if (line.event == "attemptEnded")
            failed = line;
    }
    const bool uncertain
        = end.event == "requestRefused" && textOf(end, "type") == "may_have_run" && failed;
    const LogLine &decisive = uncertain ? *failed : end;
    if (decisive.event == "requestRefused")
        out.cause = causeOfRefusal(lines, decisive);
    else if (decisive.event == "attemptEnded")
        out.cause = causeOfAttempt(lines, decisive,
                                   targets[decisive.host + "/" + textOf(decisive, "attempt")]);
    else
        out.cause = absl::StrCat("the answer of ", textOf(decisive, "target"),
                                 " was passed on whole, or ", decisive.host, " ended meanwhile");
    return out;
}

Explanation explainTarget(const std::vector<LogLine> &lines, const std::string &target)
{
    Explanation out;
    for (const LogLine &line : lines) {
        if (textOf(line, "target") == target
            || absl::StartsWith(textOf(line, "replica"), target + "/"))
            out.path.push_back(line);
    }
    std::size_t losses = 0;
    for (const LogLine &line : out.path) {
        if (line.event == "targetSilent") {
            out.cause = absl::StrCat(target, " fell silent");
            ++losses;
        } else if (line.event == "targetLeft") {
            out.cause = absl::StrCat(target, " said that it ends");
            ++losses;
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
        if (line.event != "operatorCall" || textOf(line, "call") != call)
            continue;
        accepted += textOf(line, "outcome") == "ok" ? 1 : 0;
        out.path.push_back(line);
    }
    if (out.path.empty())
        return out;
    if (accepted > 0) {
        out.cause = absl::StrCat("accepted ", accepted, " times, first by ", out.path.front().host);
        return out;
    }
    const LogLine &last = out.path.back();
    const std::string trouble = leaderTrouble(lines, last);
    out.cause = absl::StrCat("never accepted: ", textOf(last, "outcome"),
                             trouble.empty() ? "" : "; " + trouble);
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
                    explanation.cause.empty() ? "no line speaks of it" : explanation.cause, "\n");
    return out;
}

} // namespace bilberry
