/** @file grammar_log_func.h Log lines and counters of messages that are not well formed. */
#pragma once

#include "net/grammar_type.h"

#include <string>

namespace bilberry {

/**
 * Counts a malformed message by its rule, and logs it unless many others were logged in the same
 * second; the next line then has their number in the field notLogged.
 * @param event Name of the log line.
 * @param fields JSON object with what is known of the message; must hold no values of fields that
 * may be keys.
 * @param unixSeconds Current wall-clock time, in Unix seconds.
 */
void recordGrammarFault(const std::string &event, const GrammarFault &fault, nlohmann::json fields,
                        std::int64_t unixSeconds);

/** @return Counters by rule since the start of the process, in the text format of Prometheus. */
std::string formatGrammarFaults();

} // namespace bilberry
