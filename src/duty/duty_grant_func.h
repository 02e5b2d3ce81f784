/** @file duty_grant_func.h Grants of duties in the replicated state. */
#pragma once

#include "duty/duty_grant_type.h"

namespace bilberry {

/**
 * Records a grant. A repeated grant for one member and term changes nothing, so that a leader has
 * one fencing token for its whole term.
 * @param clock Cluster time.
 */
void grantDuty(std::map<DutyKey, DutyGrant> &grants, const GrantDuty &command, Duration clock);

/** @return The grant of the duty if it is that of this member and term; else null. */
const DutyGrant *findGrant(const std::map<DutyKey, DutyGrant> &grants, const DutyKey &duty,
                           const std::string &member, std::uint64_t term);

} // namespace bilberry
