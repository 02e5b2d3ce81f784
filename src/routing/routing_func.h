/** @file routing_func.h Selection of the target for a request. */
#pragma once

#include "routing/routing_type.h"

#include <vector>

namespace bilberry {

/**
 * Chooses a target for one attempt. With a prefix, the target preferred for the prefix is chosen if
 * the request has not tried it and its load is near the mean. Otherwise the order of preference is:
 * not tried by this request, not failing, in the same availability zone, fewest running requests,
 * most free slots.
 * @param candidates Targets that can take the request now. @pre Not empty.
 * @param prefix Hash of the beginning of the prompt; 0: none.
 * @return Index of the chosen target in @p candidates.
 */
std::size_t chooseCandidate(const std::vector<RoutingCandidate> &candidates, std::uint64_t prefix);

} // namespace bilberry
