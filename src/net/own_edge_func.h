/** @file own_edge_func.h The project's own interface, as documented in docs/API.md. */
#pragma once

#include "net/edge_type.h"

namespace bilberry {

/** @return The project's own way of speaking. */
const Edge &ownEdge();

/** Parses a request; never throws. @param unixSeconds Time of day, for Idempotency-Created. */
ParsedRequest parseCallerRequest(RequestId id, RawRequest raw, std::int64_t unixSeconds);

} // namespace bilberry
