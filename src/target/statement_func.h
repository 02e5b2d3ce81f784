/** @file statement_func.h Reads and orders statements of targets. */
#pragma once

#include "target/statement_type.h"

#include <string_view>
#include <vector>

namespace bilberry {

/** Headers of one answer that state something about its target; each header may occur repeatedly.
 */
struct StatementHeaders
{
    std::vector<std::string_view> leaving; ///< "1": the target leaves.
    std::vector<std::string_view> requestRate; ///< Decimal number, in requests per second.
    /** Decimal number, in seconds; only from an answer that refuses the request with status 503. */
    std::vector<std::string_view> quietFor;
};

/**
 * Reads a statement. Of repeated headers, the one that restricts most counts; values that are no
 * number or negative are ignored and set TargetStatement::malformed.
 */
TargetStatement readStatement(const StatementHeaders &headers);

/**
 * Answers overtake each other, so the latest arrival need not be the latest statement.
 * @return The later of two observations; the lower rate, if neither is surely later.
 */
RateObservation mergeObservations(const RateObservation &known, const RateObservation &next);

} // namespace bilberry
