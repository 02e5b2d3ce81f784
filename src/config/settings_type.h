/** @file settings_type.h Settings of one daemon. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

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

/** Whose interface the daemon speaks to callers, targets and operators. */
enum class EdgeKind {
    Own, ///< docs/API.md.
    Platform, ///< docs/PLATFORM.md.
};

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
    Endpoint readiness; ///< Listens for a balancer's probes; port 0: only the operators' port does.
    EdgeKind edge = EdgeKind::Own;
    std::map<HostId, Endpoint> controlHosts; ///< Control members at the time of writing.
    std::vector<Endpoint> controlSeeds; ///< Some control hosts, with the port of @c peers.
    bool found = false; ///< Seeds found a new control group if their data folder is empty.
    bool prefetch = false; ///< Spare loads bring models to engines before they are asked for.
    int voters = 0; ///< Members are replaced until so many vote; 0: only operators change them.
    std::size_t maxBodyBytes = 4 << 20;
    double rateLeeway = 0; ///< Tolerated excess over accounts' rates and bursts, as a share.
    double burstLeeway = 0; ///< Tolerated excess over accounts' bursts.
    Duration orderSeparation = 3s; ///< Between orders of two leaders to one target.
    double retryShare = 0.2; ///< Retries of all hosts per request of a service.
    double retryBurst = 100; ///< Retries of all hosts beyond that.
    Duration freshnessLease = 2s; ///< Without contact, shared state counts this long.
    std::size_t maxWaiting = 10'000; ///< Requests held by this host at once.
    Duration reportInterval = 250ms; ///< Between two reports to the control group.
    Duration drain = 5s; ///< Keeps serving this long after readiness went false.
    std::string logFile; ///< Empty: standard error.
    std::string traceFile; ///< Empty: the decisions are not recorded.
};

} // namespace bilberry
