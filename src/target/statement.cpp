/** @file statement.cpp Reads and orders statements of targets. */
#include "target/statement_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

/** @return The number in @p text; nothing if it is malformed, infinite or negative. */
std::optional<double> readNumber(std::string_view text)
{
    const absl::string_view digits
        = absl::StripAsciiWhitespace(absl::string_view(text.data(), text.size()));
    // Names such as "inf" and exponents are no decimal numbers.
    const bool isDecimal
        = !digits.empty() && digits.find_first_not_of("0123456789.") == digits.npos;
    double number = 0;
    if (!isDecimal || !absl::SimpleAtod(digits, &number) || !std::isfinite(number))
        return std::nullopt;
    return number;
}

} // namespace

TargetStatement readStatement(const StatementHeaders &headers)
{
    TargetStatement statement;
    for (const std::string_view text : headers.leaving) {
        const std::optional<double> number = readNumber(text);
        statement.leaving = statement.leaving || number == 1;
        statement.malformed = statement.malformed || (number != 1 && number != 0);
    }
    for (const std::string_view text : headers.requestRate) {
        const std::optional<double> rate = readNumber(text);
        statement.malformed = statement.malformed || !rate;
        if (!rate || *rate >= MAX_REQUEST_RATE)
            continue;
        const double effective = std::max(*rate, MIN_REQUEST_RATE);
        statement.requestRate = std::min(statement.requestRate.value_or(effective), effective);
    }
    for (const std::string_view text : headers.quietFor) {
        const std::optional<double> seconds = readNumber(text);
        statement.malformed = statement.malformed || !seconds;
        if (!seconds || *seconds <= 0)
            continue;
        const Duration period = fromSeconds(std::min(*seconds, toSeconds(MAX_QUIET_PERIOD)));
        statement.quietFor = std::max(statement.quietFor.value_or(period), period);
    }
    return statement;
}

RateObservation mergeObservations(const RateObservation &known, const RateObservation &next)
{
    if (next.madeAfter >= known.madeBefore)
        return next;
    if (known.madeAfter >= next.madeBefore)
        return known;
    const bool nextIsLower = next.rate && (!known.rate || *next.rate < *known.rate);
    return nextIsLower ? next : known;
}

} // namespace bilberry
