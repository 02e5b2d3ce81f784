/** @file generator_func.h Generates open-loop load schedules and sends them. */
#pragma once

#include "load/schedule_type.h"

#include <map>

namespace bilberry {

/** A stream of requests of one account. */
struct LoadProfile
{
    std::string account;
    std::string path = "/v1/completions";
    std::string model; ///< Empty for a plain service.
    double perSecond = 1; ///< Mean requests per second.
    int tokens = 16; ///< `max_tokens` of a request to a model.
    bool streamed = false; ///< Asks for a streamed answer.
    bool idempotent
        = false; ///< Sends an idempotency key, and retries failed requests up to 6 times.
    int timeLimitMs = 0; ///< Time limit sent with a request; 0: none.
    double fromSecond = 0; ///< Start of the stream, in seconds of the run.
    double toSecond = 1e9; ///< End of the stream, in seconds of the run.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadProfile, account, path, model, perSecond,
                                                tokens, streamed, idempotent, timeLimitMs,
                                                fromSecond, toSecond)

/** @return Poisson arrivals of all profiles, sorted by time; deterministic for a seed. */
std::vector<ScheduledRequest> makeSchedule(const std::vector<LoadProfile> &profiles,
                                           Duration length, unsigned seed);

/** Destinations and limits of a run. */
struct LoadRun
{
    std::vector<std::string> hosts; ///< "ip:port" of each host. Requests go to the hosts in turn;
                                    ///< after a failed connect, the next host is tried.
    std::map<std::string, std::string> keys; ///< Keys by account.
    int maxInFlight
        = 2'000; ///< Limit of requests in flight; excess requests end with type "not_sent".
};

/**
 * Sends each request at its scheduled time, without waiting for earlier answers (open loop).
 * @return One outcome for each request, in the order in which the requests ended.
 */
std::vector<RequestOutcome> sendSchedule(const std::vector<ScheduledRequest> &schedule,
                                         const LoadRun &run);

/** @return Counts, and percentiles in ms, overall and by account. */
nlohmann::json summarize(const std::vector<RequestOutcome> &outcomes);

} // namespace bilberry
