/** @file service_folder.h Configuration of one plain service, for tests. */
#pragma once

#include "config/config_type.h"
#include "replay/decision_simulation_base.h"

namespace bilberry {

/** @return Configuration with the service "s", without a warm-up, at the path "/s", and without
 * accounts. */
inline FolderConfig makeServiceFolder()
{
    FolderConfig folder;
    Route route;
    route.id = RouteId("s");
    route.path = "/s";
    route.service = "s";
    folder.routes[route.id] = route;
    ServicePolicy policy;
    policy.ramps = false;
    folder.services["s"] = policy;
    return folder;
}

inline const AccountId STREAM_ACCOUNT("a");

/** @return The same with an account, and a route whose streams another target may continue. */
inline FolderConfig makeStreamFolder()
{
    FolderConfig folder = makeServiceFolder();
    Account account;
    account.id = STREAM_ACCOUNT;
    account.limitsRequests = account.limitsTokens = false;
    folder.accounts[account.id] = account;
    Route &route = folder.routes.at(RouteId("s"));
    route.resumable = true;
    route.attempts = 5;
    route.timeLimitMs = 10'000;
    route.patienceMs = 4'000;
    folder.services.at("s").id = "s";
    return folder;
}

/** @return Target of the service of makeServiceFolder(). */
inline SimulatedTarget makeServiceTarget(const std::string &id)
{
    SimulatedTarget target;
    target.announcement.id = TargetId(id);
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.zone = ZoneId("z");
    target.announcement.start = Incarnation(1);
    target.announcement.maxConcurrent = 16;
    target.announcement.softwareVersion = "v1";
    return target;
}

} // namespace bilberry
