/** @file client_func.h HTTP from the command-line tools to a daemon's operators' port. */
#pragma once

#include "core/error_type.h"
#include "link/link_type.h"

#include <string>
#include <vector>

namespace bilberry {

/** @return Body of GET @p path, or Errc::PeerUnreachable. */
Result<std::string> httpGet(const std::string &address, const std::string &path, int &status);

/** @return Body of POST @p path, or Errc::PeerUnreachable. */
Result<std::string> httpPost(const std::string &address, const std::string &path,
                             const std::string &body, int &status);

/** Answer of the leader to an operator's request. */
struct LeaderAnswer
{
    Errc error = Errc::Ok;
    nlohmann::json body;
};

/**
 * Asks the leader through any of @p addresses, again and again until @p timeout: requests carry a
 * change id, so that a resend has no second effect.
 */
LeaderAnswer askLeader(const std::vector<std::string> &addresses, const OperatorBody &body,
                       bool dryRun, Duration timeout);

} // namespace bilberry
