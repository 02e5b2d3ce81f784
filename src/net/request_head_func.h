/** @file request_head_func.h Head of a request as libmicrohttpd hands it over, checked to be the
 * one that the client sent. */
#pragma once

#include "net/edge_type.h"
#include "net/grammar_type.h"

#include <microhttpd.h>
#include <optional>
#include <string>

namespace bilberry {

/** Request target before libmicrohttpd decodes it in place. */
struct RawTarget
{
    /** @param text As passed to the callback of MHD_OPTION_URI_LOG_CALLBACK. */
    static RawTarget copyOf(const char *text) { return {text, text}; }

    std::string text;
    const char *position = nullptr; ///< In the connection's buffer.
};

/** Head of a request, and what is wrong with it, if anything. */
struct RequestHead
{
    RawRequest raw; ///< Without the body. If there is a fault, parts may be missing or wrong.
    std::optional<GrammarFault> fault;
};

/**
 * Reads the head of a request.
 * @param method, version As passed to the first call of the access handler for the request.
 */
RequestHead readRequestHead(MHD_Connection *connection, const char *method, RawTarget target,
                            const char *version);

/** @return Fault in the trailer of a request whose body has been read. */
std::optional<GrammarFault> checkTrailer(MHD_Connection *connection);

/** @return Descriptor of the connection; -1 if it is not known. */
int socketOf(MHD_Connection *connection);

/** @return Length of the body that a well-formed head announces; nothing if it announces none. */
std::optional<std::size_t> announcedLength(const HeaderList &headers);

/**
 * Queues an answer after which the connection is closed; no byte that has arrived behind the head
 * is read as a request. Releases @p response.
 */
MHD_Result queueClosing(MHD_Connection *connection, unsigned status, MHD_Response *response);

} // namespace bilberry
