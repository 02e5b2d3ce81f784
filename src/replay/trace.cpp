/** @file trace.cpp Replays what a daemon recorded. */
#include "replay/trace_func.h"

namespace bilberry {

namespace {

void take(TraceOutcome &outcome, const HostEffect &effect, TimePoint now)
{
    const std::string line = nlohmann::json{{"at", now}, {"effect", effect}}.dump();
    outcome.everything = digestOf({outcome.everything.value, line});
    if (!std::holds_alternative<SendControl>(effect))
        outcome.decisions.push_back(line);
}

} // namespace

Result<TraceOutcome> replayTrace(std::istream &trace)
{
    TraceOutcome outcome;
    std::optional<Host> host;
    std::string text;
    while (std::getline(trace, text)) {
        const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
        try {
            if (!host) {
                host = makeHost(line.at("settings").get<HostSettings>(), TimePoint{});
                continue;
            }
            const auto now = line.at("at").get<TimePoint>();
            ++outcome.events;
            for (const HostEffect &effect : step(*host, line.at("event").get<HostEvent>(), now))
                take(outcome, effect, now);
        } catch (const nlohmann::json::exception &) {
            return Errc::Malformed;
        }
    }
    return outcome;
}

} // namespace bilberry
