/** @file service_folder.h Configuration of one plain service, for tests. */
#pragma once

#include "config/config_type.h"

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

} // namespace bilberry
