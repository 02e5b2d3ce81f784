/** @file duty_grant.cpp Grants of duties in the replicated state. */
#include "duty/duty_grant_func.h"

namespace bilberry {

void grantDuty(std::map<DutyKey, DutyGrant> &grants, const GrantDuty &command, Duration clock)
{
    DutyGrant &grant = grants[command.duty];
    const bool repeated = grant.fencing != FencingToken() && grant.member == command.member
        && grant.term == command.term;
    if (repeated)
        return;
    grant.member = command.member;
    grant.host = command.host;
    grant.term = command.term;
    grant.fencing = FencingToken(grant.fencing.value + 1);
    grant.grantedAt = clock;
}

const DutyGrant *findGrant(const std::map<DutyKey, DutyGrant> &grants, const DutyKey &duty,
                           const std::string &member, std::uint64_t term)
{
    const auto grant = grants.find(duty);
    if (grant == grants.end())
        return nullptr;
    const bool matches = grant->second.member == member && grant->second.term == term;
    return matches ? &grant->second : nullptr;
}

} // namespace bilberry
