/** @file routing_func.h Choice among targets. */
#pragma once

#include "routing/routing_type.h"

#include <vector>

namespace bilberry {

/**
 * Chooses a target: not tried before and not failing often, then the prefix's own target unless it
 * is loaded well above the others, then the near zone, then the least loaded.
 * @param prefix Hash of the prompt's beginning; 0: none.
 * @return Index of the choice. @pre candidates is not empty.
 */
std::size_t chooseCandidate(const std::vector<Candidate> &candidates, std::uint64_t prefix);

} // namespace bilberry
