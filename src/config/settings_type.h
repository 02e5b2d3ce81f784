/** @file settings_type.h Settings of one daemon. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry {

/** Numeric IP address and TCP port. */
struct Endpoint
{
    std::string ip; ///< IPv4 or IPv6 address in numeric form.
    int port = 0; ///< 0: the operating system chooses a free port.

    /** @return "ip:port". */
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Endpoint, ip, port)

/** Protocol that the daemon uses with callers, targets and operators. */
enum class EdgeKind {
    Native, ///< The native interface, see docs/API.md.
    Platform, ///< The platform's interface, see docs/PLATFORM.md.
};

/** Settings that a daemon reads from its settings file at start. */
struct Settings
{
    HostId host;
    ZoneId zone;
    bool entry = true; ///< Whether the daemon serves callers.
    bool control = false; ///< Whether the daemon is a member of the control group.
    std::string dataFolder; ///< Folder of the persistent state; required by the control role.
    Endpoint callers; ///< Listening address for callers.
    Endpoint operators; ///< Listening address for operators and metric scrapers.
    Endpoint targets; ///< Listening address for announcements of targets.
    Endpoint peers; ///< Listening address for other daemons.
    /** Listening address for readiness probes; port 0: probes are answered only at @c operators. */
    Endpoint readiness;
    EdgeKind edge = EdgeKind::Native;
    /** Control hosts known when the settings file was written. */
    std::map<HostId, Endpoint> controlHosts;
    std::vector<Endpoint> controlSeeds; ///< Some of the control hosts, with the port of @c peers.
    /** Whether seeds with an empty data folder create a new control group. */
    bool foundsFromSeeds = false;
    bool prefetch = false; ///< Whether spare load capacity loads models before they are requested.
    /** Whether the leader forecasts loads; hosts then refuse whoever cannot be served in time. */
    bool loadForecasts = false;
    /** Intended number of voting members, reached by automatic replacement; 0: set by operators. */
    int voters = 0;
    std::size_t maxBodyBytes = 4 << 20; ///< Upper limit of a request body.
    /** Tolerated excess over the rates and bursts of accounts, as a fraction. */
    double rateLeeway = 0;
    double burstLeeway = 0; ///< Tolerated excess over account bursts, in requests or tokens.
    /** Minimum time between orders of two successive control leaders to the same target. */
    Duration orderSeparation = 3s;
    double retryShare = 0.2; ///< Retries that one request adds to its service's retry budget.
    double retryBurst = 100; ///< Capacity of a service's retry budget, over all hosts together.
    /** Time for which keys, zones and targets stay valid, counted from the sending of the latest
     * report that the leader has answered. */
    Duration freshnessLease = 2s;
    std::size_t maxWaiting = 10'000; ///< Upper limit of unfinished requests on this host.
    Duration reportInterval = 250ms; ///< Interval of the reports to the control leader.
    Duration drain = 5s; ///< Time after a shutdown request for which requests are still admitted.
    /** Time after a shutdown request at which the process is killed; 0: it is not. */
    Duration grace{};
    /** Address of the infrastructure's interface; port 0: the deployment has none. */
    Endpoint infrastructure;
    /** Calls per second that the interface takes from all daemons together. */
    double infrastructureCallsPerSecond = 10;
    bool reportsUsage = false; ///< Whether requests are counted and reported per usage window.
    bool ordersTargets = false; ///< Whether the number of targets is ordered.
    Duration usageWindow{}; ///< Length of a usage window.
    Duration usageDue{}; ///< Time after the end of a window at which its report is due.
    std::string logFile; ///< Path of the log file; empty: standard error.
    std::string traceFile; ///< File to which decisions are recorded; empty: no recording.
    std::size_t memoryMb = 0; ///< Memory of the machine for this process, in MiB; 0: not known.
    std::size_t maxDescriptors = 0; ///< Descriptors for this process; 0: the system's limit.
};

} // namespace bilberry
