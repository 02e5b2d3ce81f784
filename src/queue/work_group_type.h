/** @file work_group_type.h Requests that the same targets can serve. */
#pragma once

#include "config/config_type.h"

namespace bilberry {

/** Requests that the same targets can serve: those for one service, for one model variant, or for
 * one model variant on the engines of one service. */
struct WorkGroup
{
    Variant variant; ///< Empty if the requests need no model.
    std::string service; ///< Service name; empty: engines that belong to no service.

    friend bool operator==(const WorkGroup &, const WorkGroup &) = default;
    friend auto operator<=>(const WorkGroup &, const WorkGroup &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkGroup, variant, service)

} // namespace bilberry
