/** @file trace.cpp Replays the recorded events of a daemon. */
#include "replay/trace_func.h"

namespace bilberry {

namespace {

void recordEffect(TraceOutcome &outcome, const HostEffect &effect, TimePoint now)
{
    const std::string line = nlohmann::json{{"at", now}, {"effect", effect}}.dump();
    outcome.effectsDigest = digestOf({outcome.effectsDigest.value, line});
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
                recordEffect(outcome, effect, now);
        } catch (const nlohmann::json::exception &) {
            return Errc::Malformed;
        }
    }
    return outcome;
}

} // namespace bilberry
