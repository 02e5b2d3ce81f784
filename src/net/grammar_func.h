/** @file grammar_func.h Checks that a message is well formed by the grammar of HTTP/1.1. */
#pragma once

#include "net/exchange_base.h"
#include "net/grammar_type.h"

#include <optional>
#include <string_view>

namespace bilberry {

/** @return Whether @p text is a token of RFC 9110, as methods and names of fields are. */
bool isToken(std::string_view text);

/** @return Whether @p text has no control byte but tabs. */
bool isFieldValue(std::string_view text);

/** @return @p value without the blanks and tabs around it, which are not part of it. */
std::string_view withoutBlanks(std::string_view value);

/** @return The part of @p name before its first byte that no token has, for logs. */
std::string loggedName(std::string_view name);

/** @return Fault of a request line whose parts are @p method, @p target and @p version. */
std::optional<GrammarFault> checkRequestLine(std::string_view method, std::string_view target,
                                             std::string_view version);

/** @return Fault in the names and values of @p headers. */
std::optional<GrammarFault> checkFields(const HeaderList &headers);

/**
 * Checks which fields stand beside each other.
 * @param headers Names and values without blanks around them.
 * @return Fault in the Host and framing fields of a request.
 */
std::optional<GrammarFault> checkRequestFields(const HeaderList &headers, std::string_view version);

/**
 * @param standsOnce Whether a field of this name may stand only once.
 * @return Fault if such a field stands twice.
 */
std::optional<GrammarFault> checkRepeated(const HeaderList &headers,
                                          bool (*standsOnce)(std::string_view name));

/** @return Names in all Connection fields, as a list; valid as long as @p headers. */
std::vector<std::string_view> connectionOptions(const HeaderList &headers);

/**
 * @param isEndToEnd Whether a field of this name is meant for the last recipient.
 * @return Fault if a Connection field names such a field, which would have to be dropped then.
 */
std::optional<GrammarFault> checkConnectionOptions(const HeaderList &headers,
                                                   bool (*isEndToEnd)(std::string_view name));

/**
 * Checks a request that is about to be sent, without the fields that libcurl adds. Values that come
 * from elsewhere than from a checked message, such as a configuration, can break it.
 */
std::optional<GrammarFault> checkSentRequest(std::string_view method, std::string_view target,
                                             const HeaderList &headers);

/** State of the check of an answer's head, interim (1xx) heads and trailer, line by line. */
struct AnswerLines
{
    bool inHead = false; ///< A status line has been read, but not the end of its head.
    bool complete = false; ///< The head of the final answer has ended; a trailer may follow.
    std::string version; ///< Of the latest status line.
    int status = 0; ///< Of the latest status line.
    HeaderList headers; ///< Fields of the latest head; those of a trailer are left out.
};

/**
 * Adds the next line of an answer, as received and with its line end.
 * @return The fault, after which no more lines may be added.
 */
std::optional<GrammarFault> addAnswerLine(AnswerLines &lines, std::string_view line);

/** @return Whether the head has a field that frames the body: a length or a coding. */
bool isFramed(const HeaderList &headers);

} // namespace bilberry
