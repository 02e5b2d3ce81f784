/** @file native_edge_func.h Protocol adapter of the native HTTP interface, see docs/API.md. */
#pragma once

#include "net/edge_type.h"

namespace bilberry {

/** @return Protocol adapter of the native interface; valid until the process ends. */
const Edge &nativeEdge();

/**
 * Parses a caller's request of the native interface; never throws.
 * @param unixSeconds Current wall-clock time in Unix seconds, for the check of the header
 * Idempotency-Created.
 */
ParsedRequest parseCallerRequest(RequestId id, RawRequest raw, std::int64_t unixSeconds);

} // namespace bilberry
