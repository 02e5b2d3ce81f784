/** @file request_head.cpp Head of a request, read strictly from the bytes that the client sent. */
#include "net/request_head_func.h"

#include "net/grammar_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bilberry {

namespace {

constexpr const char *CLOSING_HEAD = "GET / HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n";

/** Line of a head without its end. */
struct HeadLine
{
    std::string_view text;
    bool endsWell = false; ///< With CR LF.
};

HeadLine takeLine(std::string_view &rest)
{
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    HeadLine line{rest.substr(0, end), false};
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (line.text.ends_with('\r')) {
        line.endsWell = true;
        line.text.remove_suffix(1);
    }
    return line;
}

/** Fields of a head or trailer, and the first fault in its lines. */
struct FieldLines
{
    HeaderList fields;
    std::vector<std::string_view> rawValues; ///< With the blanks around them.
    std::optional<GrammarFault> fault;

    void fail()
    {
        const std::string last = this->fields.empty() ? "" : this->fields.back().first;
        if (!this->fault)
            this->fault = GrammarFault{GrammarRule::Lines, loggedName(last)};
    }

    void add(const HeadLine &line)
    {
        const std::size_t colon = line.text.find(':');
        const bool continues = line.text.starts_with(' ') || line.text.starts_with('\t');
        if (!line.endsWell || continues || colon == std::string_view::npos)
            this->fail();
        if (continues || colon == std::string_view::npos)
            return;
        this->rawValues.push_back(line.text.substr(colon + 1));
        this->fields.emplace_back(line.text.substr(0, colon),
                                  withoutBlanks(this->rawValues.back()));
    }
};

/** Reads lines up to the empty one, or more than MAX_REQUEST_FIELDS fields. */
FieldLines readFieldLines(std::string_view rest)
{
    FieldLines lines;
    while (!rest.empty() && lines.fields.size() <= MAX_REQUEST_FIELDS) {
        if (rest.find('\n') == std::string_view::npos) {
            lines.fail(); // The rest of the line is missing: no one knows what it would say.
            break;
        }
        const HeadLine line = takeLine(rest);
        if (!line.text.empty()) {
            lines.add(line);
            continue;
        }
        if (!line.endsWell)
            lines.fail();
        break;
    }
    return lines;
}

/** @return Fault if a framing field has blanks behind its value, which other readers may take for a
 * part of it. */
std::optional<GrammarFault> checkFramingBlanks(const FieldLines &lines)
{
    for (std::size_t i = 0; i < lines.fields.size(); ++i) {
        const auto &[name, value] = lines.fields[i];
        if (isFramed({{name, ""}}) && !lines.rawValues[i].ends_with(value))
            return GrammarFault{GrammarRule::Framing, loggedName(name)};
    }
    return std::nullopt;
}

std::optional<GrammarFault> checkHead(const RequestHead &head, const HeadLine &first,
                                      const FieldLines &lines)
{
    std::optional<GrammarFault> fault
        = checkRequestLine(head.raw.method, head.raw.target, head.version);
    if (!fault && !first.endsWell)
        fault = GrammarFault{GrammarRule::StartLine, ""};
    if (!fault)
        fault = lines.fault;
    if (!fault)
        fault = checkFields(lines.fields);
    if (!fault)
        fault = checkFramingBlanks(lines);
    if (!fault)
        fault = checkRequestFields(lines.fields, head.version);
    return fault;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return equalHeaderNames(a, b);
}

/** @return Value of the field Connection for the library; empty: none. */
std::string_view connectionOption(const HeaderList &headers)
{
    std::string_view option;
    for (const std::string_view stated : connectionOptions(headers)) {
        if (equalsIgnoringCase(stated, "close"))
            return "close";
        if (equalsIgnoringCase(stated, "keep-alive"))
            option = "keep-alive";
    }
    return option;
}

} // namespace

const char *nameOf(HeadRefusal why)
{
    switch (why) {
    case HeadRefusal::TooLarge:
        return "tooLarge";
    case HeadRefusal::TooManyFields:
        return "tooManyFields";
    case HeadRefusal::NoRoom:
        return "noRoom";
    }
    return "";
}

RequestHead parseRequestHead(std::string_view bytes)
{
    RequestHead head;
    head.bytes = bytes.size();
    std::string_view rest = bytes;
    const HeadLine first = takeLine(rest);
    const std::size_t one = std::min(first.text.find(' '), first.text.size());
    const std::size_t two = std::min(first.text.rfind(' '), first.text.size());
    head.raw.method = first.text.substr(0, one);
    if (one < two) {
        head.raw.target = first.text.substr(one + 1, two - one - 1);
        head.version = first.text.substr(two + 1);
    }
    FieldLines lines = readFieldLines(rest);
    if (lines.fields.size() > MAX_REQUEST_FIELDS)
        head.refusal = HeadRefusal::TooManyFields;
    head.fault = checkHead(head, first, lines);
    head.raw.headers = std::move(lines.fields);
    return head;
}

std::optional<GrammarFault> checkTrailer(std::string_view bytes)
{
    const FieldLines lines = readFieldLines(bytes);
    return lines.fault ? lines.fault : checkFields(lines.fields);
}

std::string libraryHead(const RequestHead &head)
{
    if (!head.isSound())
        return CLOSING_HEAD;
    const HeaderList &headers = head.raw.headers;
    // The method matters to the library only where it excludes a body of the answer.
    std::string text = absl::StrCat(head.raw.method == "HEAD" ? "HEAD" : "GET", " / ", head.version,
                                    "\r\nHost: -\r\n");
    if (const std::optional<std::size_t> length = announcedLength(headers))
        absl::StrAppend(&text, "Content-Length: ", *length, "\r\n");
    if (!headerValue(headers, "Transfer-Encoding").empty())
        absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n");
    const std::string_view option = connectionOption(headers);
    if (!option.empty())
        absl::StrAppend(&text, "Connection: ", std::string(option), "\r\n");
    if (equalsIgnoringCase(headerValue(headers, "Expect"), "100-continue"))
        absl::StrAppend(&text, "Expect: 100-continue\r\n");
    return text + "\r\n";
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
