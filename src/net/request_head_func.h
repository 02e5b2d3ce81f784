/** @file request_head_func.h Head of a request, read strictly from the bytes that the client sent.
 */
#pragma once

#include "net/edge_type.h"
#include "net/grammar_type.h"

#include <cstddef>
#include <microhttpd.h>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/** Bound of the fields of one request; each of them takes memory beyond its bytes. */
constexpr std::size_t MAX_REQUEST_FIELDS = 512;

/** Reason for which a head is not read to its end. */
enum class HeadRefusal {
    TooLarge, ///< More bytes than allowed.
    TooManyFields, ///< More than MAX_REQUEST_FIELDS.
    NoRoom, ///< All heads that the process holds reach their bound.
};

/** @return Name in logs. */
const char *nameOf(HeadRefusal why);

/** Head of a request, and what is wrong with it, if anything. */
struct RequestHead
{
    RawRequest raw; ///< Without the body. If there is a fault, parts may be missing or wrong.
    std::string version; ///< HTTP version, as "HTTP/1.1".
    std::size_t bytes = 0; ///< As received.
    std::optional<GrammarFault> fault;
    std::optional<HeadRefusal> refusal;

    bool isSound() const { return !this->fault && !this->refusal; }
};

/**
 * Reads the head of a request. Lines end with CR LF; any other end is a fault.
 * @param bytes From the request line to the empty line at the end, or a part from the begin.
 */
RequestHead parseRequestHead(std::string_view bytes);

/** @return Fault in the lines of a trailer, with the empty line at the end. */
std::optional<GrammarFault> checkTrailer(std::string_view bytes);

/**
 * @return Head for the HTTP library in place of the one that was received: it has the fields that
 * frame the body and those about the connection, and no others. After a head that is not sound, the
 * library expects no body and no further request.
 */
std::string libraryHead(const RequestHead &head);

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
