/** @file report_merge_func.h Merges two reports of a host of which the leader decides only one. */
#pragma once

#include "link/link_type.h"

namespace bilberry {

/**
 * Adds to @p later what only @p earlier says: what a host reports once, such as the targets that it
 * has heard since its report before. The rest of a report is the host's present state.
 * @param earlier The report before @p later, or a merge of several.
 */
void mergeIntoLater(const HostReport &earlier, HostReport &later);

} // namespace bilberry
