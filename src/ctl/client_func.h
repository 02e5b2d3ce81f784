/** @file client_func.h HTTP client of the command-line tools for a daemon's operator port. */
#pragma once

#include "core/error_type.h"
#include "link/link_type.h"

#include <string>
#include <vector>

namespace bilberry {

/**
 * Sends a GET request; times out after 10 s.
 * @param address "IP:PORT" of the operator port. @param path URL path.
 * @param status Set to the HTTP status, or to 0 if no response came.
 * @return Response body, or Errc::PeerUnreachable if the transfer failed.
 */
Result<std::string> httpGet(const std::string &address, const std::string &path, int &status);

/** Sends @p body in a POST request; otherwise the same as httpGet(). */
Result<std::string> httpPost(const std::string &address, const std::string &path,
                             const std::string &body, int &status);

/** Response of the leader to an operator request. */
struct LeaderAnswer
{
    Errc error = Errc::Ok; ///< Errc::PeerUnreachable if no daemon answered before the timeout.
    nlohmann::json body; ///< Result of the request, such as the new version.
};

/**
 * Sends an operator request to the leader through the daemons at @p addresses, which are tried in
 * turn. Retries until @p timeout if no daemon answers or the result is Errc::Timeout or
 * Errc::NotLeader. Changes to the configuration, keys, zones and targets carry a change id, which
 * makes a retry idempotent.
 * @param dryRun True: the leader only validates the request.
 */
LeaderAnswer sendToLeader(const std::vector<std::string> &addresses, const OperatorBody &body,
                          bool dryRun, Duration timeout);

} // namespace bilberry
