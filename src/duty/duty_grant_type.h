/** @file duty_grant_type.h Which leader holds a duty, as recorded in the replicated log. */
#pragma once

#include "duty/duty_type.h"

namespace bilberry {

/** Grants a duty to the leader of a term; its fencing token is one above the recorded one. */
struct GrantDuty
{
    DutyKey duty;
    std::string member; ///< Member id of the leader.
    HostId host; ///< Host of that member.
    std::uint64_t term = 0; ///< Term for which the grant holds.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GrantDuty, duty, member, host, term)

/** Latest grant of a duty. */
struct DutyGrant
{
    std::string member; ///< Member id of the holder.
    HostId host;
    std::uint64_t term = 0;
    FencingToken fencing;
    Duration grantedAt{}; ///< Cluster time.

    friend bool operator==(const DutyGrant &, const DutyGrant &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DutyGrant, member, host, term, fencing, grantedAt)

} // namespace bilberry
