/** @file request_head.cpp Head of a request as libmicrohttpd hands it over.
 *
 * libmicrohttpd 0.9.75 reads leniently: it ends lines at a bare LF, appends a folded line to the
 * name of the field before, cuts texts at a NUL and drops a last line without a colon. It splits
 * the head in its buffer in place, so that the parts that it hands over stand where the client's
 * bytes stood. A head is taken only if its parts, with the separators that the grammar wants
 * between them, cover all its bytes. */
#include "net/request_head_func.h"

#include "net/grammar_func.h"

#include <absl/strings/numbers.h>
#include <cstring>
#include <functional>
#include <microhttpd.h>

namespace bilberry {

namespace {

constexpr std::size_t LINE_END_BYTES = 2; ///< CR LF.
constexpr std::size_t SEPARATOR_BYTES = 1; ///< A blank of the request line, or a colon.

/** Name and value of a field where they stand in the buffer. */
struct FieldPosition
{
    const char *name;
    const char *value;
};

MHD_Result collectField(void *list, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<std::vector<FieldPosition> *>(list)->push_back({name, value});
    return MHD_YES;
}

std::vector<FieldPosition> fieldsOf(MHD_Connection *connection, MHD_ValueKind kind)
{
    std::vector<FieldPosition> fields;
    MHD_get_connection_values(connection, kind, &collectField, &fields);
    return fields;
}

HeaderList copyOf(const std::vector<FieldPosition> &fields)
{
    HeaderList headers;
    headers.reserve(fields.size());
    for (const FieldPosition &field : fields)
        headers.emplace_back(field.name, withoutBlanks(field.value == nullptr ? "" : field.value));
    return headers;
}

/** Reads the parts of a head from front to back. */
class HeadCover
{
public:
    HeadCover(const char *begin, std::size_t size)
        : next(begin)
        , end(begin + size)
    {
    }

    /** @return Whether @p part, which has @p size bytes, stands just behind the part before;
     * @p separator bytes follow it. */
    bool addPart(const char *part, std::size_t size, std::size_t separator)
    {
        if (part != this->next || this->left() < size + separator)
            return false;
        this->next += size + separator;
        return true;
    }

    /** @return Whether nothing but blanks and tabs stands between the part before and @p part. */
    bool skipBlanksTo(const char *part)
    {
        while (this->next != part && this->left() > 0
               && (*this->next == ' ' || *this->next == '\t'))
            ++this->next;
        return this->next == part;
    }

    /** @return Whether the field stands just behind the part before, on one line. */
    bool addField(const FieldPosition &field)
    {
        return field.value != nullptr
            && this->addPart(field.name, std::strlen(field.name), SEPARATOR_BYTES)
            && this->skipBlanksTo(field.value)
            && this->addPart(field.value, std::strlen(field.value), LINE_END_BYTES);
    }

    std::size_t left() const { return static_cast<std::size_t>(this->end - this->next); }

private:
    const char *next;
    const char *end;
};

/** @return Fault if the bytes of the head are not those of its parts, one after the other. */
std::optional<GrammarFault> checkCover(HeadCover cover, const char *method, const RawTarget &target,
                                       const char *version,
                                       const std::vector<FieldPosition> &fields)
{
    const bool lineCovered = cover.addPart(method, std::strlen(method), SEPARATOR_BYTES)
        && cover.addPart(target.position, target.text.size(), SEPARATOR_BYTES)
        && cover.addPart(version, std::strlen(version), LINE_END_BYTES);
    if (!lineCovered)
        return GrammarFault{GrammarRule::StartLine, ""};
    std::string last;
    for (const FieldPosition &field : fields) {
        if (!cover.addField(field))
            return GrammarFault{GrammarRule::Lines, last};
        last = loggedName(field.name);
    }
    if (cover.left() != LINE_END_BYTES)
        return GrammarFault{GrammarRule::Lines, last};
    return std::nullopt;
}

/** @return Fault if a framing field is written such that libmicrohttpd does not know it: it does
 * not drop the blanks behind a value. */
std::optional<GrammarFault> checkKnownFraming(const std::vector<FieldPosition> &fields)
{
    for (const FieldPosition &field : fields) {
        const std::string_view value(field.value);
        if (isFramed({{field.name, ""}}) && withoutBlanks(value) != value)
            return GrammarFault{GrammarRule::Framing, loggedName(field.name)};
    }
    return std::nullopt;
}

} // namespace

RequestHead readRequestHead(MHD_Connection *connection, const char *method, RawTarget target,
                            const char *version)
{
    const std::vector<FieldPosition> fields = fieldsOf(connection, MHD_HEADER_KIND);
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    const HeadCover cover(method, info == nullptr ? 0 : info->header_size);
    RequestHead head;
    head.raw.method = method;
    head.raw.headers = copyOf(fields);
    head.fault = checkRequestLine(method, target.text, version);
    if (!head.fault)
        head.fault = checkCover(cover, method, target, version, fields);
    if (!head.fault)
        head.fault = checkFields(head.raw.headers);
    if (!head.fault)
        head.fault = checkKnownFraming(fields);
    if (!head.fault)
        head.fault = checkRequestFields(head.raw.headers, version);
    head.raw.target = std::move(target.text);
    return head;
}

std::optional<GrammarFault> checkTrailer(MHD_Connection *connection)
{
    const std::vector<FieldPosition> fields = fieldsOf(connection, MHD_FOOTER_KIND);
    if (fields.empty())
        return std::nullopt;
    // Where the trailer ends is not known; its lines stand one behind the other.
    const char *begin = fields.front().name;
    const FieldPosition &last = fields.back();
    const char *end = last.value + std::strlen(last.value) + LINE_END_BYTES;
    if (std::less<>()(end, begin))
        return GrammarFault{GrammarRule::Lines, ""};
    HeadCover cover(begin, static_cast<std::size_t>(end - begin));
    for (const FieldPosition &field : fields) {
        if (!cover.addField(field))
            return GrammarFault{GrammarRule::Lines, ""};
    }
    return checkFields(copyOf(fields));
}

int socketOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

std::optional<std::size_t> announcedLength(const HeaderList &headers)
{
    std::uint64_t length = 0;
    if (!absl::SimpleAtoi(headerValue(headers, "Content-Length"), &length))
        return std::nullopt;
    return length;
}

MHD_Result queueClosing(MHD_Connection *connection, unsigned status, MHD_Response *response)
{
    MHD_add_response_header(response, "Connection", "close");
    const MHD_Result queued = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

} // namespace bilberry
