/** @file generator_func.h Makes schedules and sends them. */
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
    double perSecond = 1;
    int tokens = 16;
    bool streamed = false;
    bool idempotent = false; ///< Sends an idempotency key and resends after lost answers.
    int timeLimitMs = 0;
    double fromSecond = 0;
    double toSecond = 1e9;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadProfile, account, path, model, perSecond,
                                                tokens, streamed, idempotent, timeLimitMs,
                                                fromSecond, toSecond)

/** @return Poisson arrivals of all profiles, in order of time; the same for the same seed. */
std::vector<ScheduledRequest> makeSchedule(const std::vector<LoadProfile> &profiles,
                                           Duration length, unsigned seed);

/** Where and how a schedule is sent. */
struct LoadRun
{
    std::vector<std::string>
        hosts; ///< "ip:port"; taken in turn, the next one after a failed connect.
    std::map<std::string, std::string> keys; ///< By account.
    int mostOpen = 2'000; ///< Requests in flight; more are counted as not sent.
};

/** Sends @p schedule by its times, never waiting for answers. */
std::vector<RequestOutcome> sendSchedule(const std::vector<ScheduledRequest> &schedule,
                                         const LoadRun &run);

/** @return Counts and percentiles, overall and by account. */
nlohmann::json summarize(const std::vector<RequestOutcome> &outcomes);

} // namespace bilberry
