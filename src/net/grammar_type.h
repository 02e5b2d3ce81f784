/** @file grammar_type.h Rules of the grammar of HTTP/1.1 (RFC 9110, RFC 9112) that a message can
 * break. */
#pragma once

#include "core/json_func.h"

#include <string>

namespace bilberry {

/** Part of the grammar; the names are used in logs and metrics. */
enum class GrammarRule {
    StartLine, ///< The request or status line has not exactly its parts, or not the version 1.0 or
               ///< 1.1.
    Method, ///< The method is not a token.
    Target, ///< The request target has bytes that it may not have, or has no known form.
    Lines, ///< A line does not end with CR LF, is continued on the next one, or has no colon.
    FieldName, ///< The name of a field is not a token.
    FieldValue, ///< The value of a field has a control byte other than a tab.
    Host, ///< The Host field is missing, doubled or not a host.
    Framing, ///< Several lengths or codings, a length not of digits alone, another coding than
             ///< chunked, or one of them where none may stand.
    Repeated, ///< A field that may stand only once stands twice.
    Connection, ///< The Connection field names a field that every recipient needs.
};
NLOHMANN_JSON_SERIALIZE_ENUM(GrammarRule,
                             {{GrammarRule::StartLine, "startLine"},
                              {GrammarRule::Method, "method"},
                              {GrammarRule::Target, "target"},
                              {GrammarRule::Lines, "lines"},
                              {GrammarRule::FieldName, "fieldName"},
                              {GrammarRule::FieldValue, "fieldValue"},
                              {GrammarRule::Host, "host"},
                              {GrammarRule::Framing, "framing"},
                              {GrammarRule::Repeated, "repeated"},
                              {GrammarRule::Connection, "connection"}})

/** How a message breaks the grammar. */
struct GrammarFault
{
    GrammarRule rule = GrammarRule::Lines;
    /** Name of the field, as far as it is a token; with GrammarRule::Lines that of the last field
     * before the fault. Never a value, since values may be keys. */
    std::string field;
};

} // namespace bilberry
