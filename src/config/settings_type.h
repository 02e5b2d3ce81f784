/** @file settings_type.h Settings of one daemon. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <string>

namespace bilberry {

/** Address by IP number. */
struct Endpoint
{
    std::string ip;
    int port = 0; ///< 0: the system picks a free one.

    /** @return "ip:port". */
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Endpoint, ip, port)

/** Everything a daemon learns at its start. */
struct Settings
{
    HostId host;
    ZoneId zone;
    bool entry = true; ///< Role: serves callers.
    bool control = false; ///< Role: member of the control group.
    std::string dataFolder; ///< Needed by the control role.
    Endpoint callers; ///< Listens for callers.
    Endpoint operators; ///< Listens for operators and scrapers.
    Endpoint targets; ///< Listens for announcements of targets.
    Endpoint peers; ///< Listens for the system's own processes.
    std::map<HostId, Endpoint> controlHosts; ///< Control members at the time of writing.
    std::size_t maxBodyBytes = 4 << 20;
    std::size_t maxWaiting = 10'000; ///< Requests held by this host at once.
    Duration reportInterval = 250ms; ///< Between two reports to the control group.
    Duration drain = 5s; ///< Keeps serving this long after readiness went false.
    std::string logFile; ///< Empty: standard error.
    std::string traceFile; ///< Empty: the decisions are not recorded.
};

} // namespace bilberry
