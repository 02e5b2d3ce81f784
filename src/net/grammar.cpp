/** @file grammar.cpp Checks that a message is well formed by the grammar of HTTP/1.1. */
#include "net/grammar_func.h"

#include "net/edge_type.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <set>

namespace bilberry {

namespace {

constexpr std::string_view CONTENT_LENGTH = "Content-Length";
constexpr std::string_view TRANSFER_ENCODING = "Transfer-Encoding";
constexpr std::string_view CHUNKED = "chunked";
constexpr std::string_view VERSION_1_0 = "HTTP/1.0";
constexpr std::string_view VERSION_1_1 = "HTTP/1.1";
constexpr std::string_view LINE_END = "\r\n";
constexpr std::size_t MAX_LENGTH_DIGITS = 18; ///< Any such number fits into 64 bits.
constexpr std::size_t STATUS_DIGITS = 3;
constexpr std::size_t MAX_LOGGED_NAME_BYTES = 64;
constexpr int FIRST_STATUS = 100; ///< Lowest status code.
constexpr int LAST_STATUS = 599; ///< Highest status code.
constexpr int SWITCHING_PROTOCOLS = 101;
constexpr int FIRST_FINAL_STATUS = 200;
constexpr int NO_CONTENT = 204;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isTokenByte(char c)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(c))
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

/** @return Whether @p c is printable ASCII other than a blank. */
bool isVisible(char c)
{
    return c > ' ' && c < '\x7f';
}

bool isValueByte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

bool isHostByte(char c)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(c))
        || std::string_view("-._~%!$&'()*+,;=").find(c) != std::string_view::npos;
}

bool consistsOfDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), &isDigit);
}

/** @return Whether @p host is a name or an address, possibly with a port. */
bool isHost(std::string_view host)
{
    std::string_view port;
    if (host.starts_with('[')) {
        const std::size_t end = host.find(']');
        if (end == std::string_view::npos)
            return false;
        port = host.substr(end + 1);
        host = host.substr(1, end - 1);
        if (!std::all_of(host.begin(), host.end(),
                         [](char c) { return c == ':' || isHostByte(c); }))
            return false;
    } else {
        const std::size_t colon = std::min(host.find(':'), host.size());
        port = host.substr(colon);
        host = host.substr(0, colon);
        if (!std::all_of(host.begin(), host.end(), &isHostByte))
            return false;
    }
    return port.empty()
        || (port.front() == ':' && std::all_of(port.begin() + 1, port.end(), &isDigit));
}

bool isVersion(std::string_view version)
{
    return version == VERSION_1_0 || version == VERSION_1_1;
}

bool isLength(std::string_view value)
{
    const std::size_t begin = std::min(value.find_first_not_of('0'), value.size());
    return consistsOfDigits(value) && value.size() - begin <= MAX_LENGTH_DIGITS;
}

bool isFramingName(std::string_view name)
{
    return equalHeaderNames(name, CONTENT_LENGTH) || equalHeaderNames(name, TRANSFER_ENCODING);
}

/** @return Fault in the fields that frame the body. @param mayStand False: none may stand but a
 * length of 0, which many servers send. */
std::optional<GrammarFault> checkFraming(const HeaderList &headers, std::string_view version,
                                         bool mayStand)
{
    int count = 0;
    for (const auto &[name, value] : headers) {
        if (!isFramingName(name))
            continue;
        const bool isCoding = equalHeaderNames(name, TRANSFER_ENCODING);
        const bool known = isCoding ? equalHeaderNames(value, CHUNKED) && version == VERSION_1_1
                                    : isLength(value);
        const bool allowed = mayStand || (!isCoding && value.find_first_not_of('0') == value.npos);
        if (!known || !allowed || ++count > 1)
            return GrammarFault{GrammarRule::Framing, name};
    }
    return std::nullopt;
}

std::optional<GrammarFault> readStatusLine(AnswerLines &lines, std::string_view line)
{
    lines.headers.clear();
    lines.version = line.substr(0, VERSION_1_1.size());
    const std::string_view rest = line.substr(std::min(line.size(), VERSION_1_1.size()));
    const std::string_view code = rest.substr(std::min<std::size_t>(rest.size(), 1), STATUS_DIGITS);
    const std::string_view reason = rest.substr(std::min(rest.size(), 1 + STATUS_DIGITS));
    // Many servers omit the blank before an empty reason.
    const bool wellFormed = isVersion(lines.version) && rest.starts_with(' ')
        && code.size() == STATUS_DIGITS && consistsOfDigits(code)
        && (reason.empty() || reason.front() == ' ') && isFieldValue(reason);
    if (!wellFormed)
        return GrammarFault{GrammarRule::StartLine, ""};
    lines.status = std::stoi(std::string(code));
    // No request asks to switch protocols.
    if (lines.status < FIRST_STATUS || lines.status > LAST_STATUS
        || lines.status == SWITCHING_PROTOCOLS)
        return GrammarFault{GrammarRule::StartLine, ""};
    lines.inHead = true;
    return std::nullopt;
}

std::optional<GrammarFault> endHead(AnswerLines &lines)
{
    lines.inHead = false;
    lines.complete = lines.status >= FIRST_FINAL_STATUS;
    const bool mayBeFramed = lines.complete && lines.status != NO_CONTENT;
    return checkFraming(lines.headers, lines.version, mayBeFramed);
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), &isTokenByte);
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), &isValueByte);
}

std::string_view withoutBlanks(std::string_view value)
{
    const std::size_t begin = std::min(value.find_first_not_of(" \t"), value.size());
    const std::size_t last = value.find_last_not_of(" \t");
    return last == std::string_view::npos ? std::string_view()
                                          : value.substr(begin, last + 1 - begin);
}

std::string loggedName(std::string_view name)
{
    const auto end = std::find_if_not(name.begin(), name.end(), &isTokenByte);
    return std::string(name.begin(), end).substr(0, MAX_LOGGED_NAME_BYTES);
}

std::optional<GrammarFault> checkRequestLine(std::string_view method, std::string_view target,
                                             std::string_view version)
{
    if (!isToken(method))
        return GrammarFault{GrammarRule::Method, ""};
    const bool formKnown = target.starts_with('/') || (target == "*" && method == "OPTIONS")
        || absl::StartsWithIgnoreCase(absl::string_view(target.data(), target.size()), "http://")
        || absl::StartsWithIgnoreCase(absl::string_view(target.data(), target.size()), "https://");
    const bool visible = std::all_of(target.begin(), target.end(),
                                     [](char c) { return isVisible(c) && c != '#'; });
    if (!formKnown || !visible)
        return GrammarFault{GrammarRule::Target, ""};
    if (!isVersion(version))
        return GrammarFault{GrammarRule::StartLine, ""};
    return std::nullopt;
}

std::optional<GrammarFault> checkFields(const HeaderList &headers)
{
    for (const auto &[name, value] : headers) {
        if (!isToken(name))
            return GrammarFault{GrammarRule::FieldName, loggedName(name)};
        if (!isFieldValue(value))
            return GrammarFault{GrammarRule::FieldValue, loggedName(name)};
    }
    return std::nullopt;
}

std::optional<GrammarFault> checkRequestFields(const HeaderList &headers, std::string_view version)
{
    const std::vector<std::string_view> hosts = headerValues(headers, "Host");
    const bool hostKnown
        = hosts.empty() ? version == VERSION_1_0 : hosts.size() == 1 && isHost(hosts.front());
    if (!hostKnown)
        return GrammarFault{GrammarRule::Host, "Host"};
    return checkFraming(headers, version, true);
}

std::optional<GrammarFault> checkRepeated(const HeaderList &headers,
                                          bool (*standsOnce)(std::string_view name))
{
    std::set<std::string> seen;
    for (const auto &[name, value] : headers) {
        if (standsOnce(name) && !seen.insert(absl::AsciiStrToLower(name)).second)
            return GrammarFault{GrammarRule::Repeated, loggedName(name)};
    }
    return std::nullopt;
}

std::vector<std::string_view> connectionOptions(const HeaderList &headers)
{
    std::vector<std::string_view> options;
    for (std::string_view rest : headerValues(headers, "Connection")) {
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            const std::string_view option = withoutBlanks(rest.substr(0, comma));
            if (!option.empty())
                options.push_back(option);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return options;
}

std::optional<GrammarFault> checkConnectionOptions(const HeaderList &headers,
                                                   bool (*isEndToEnd)(std::string_view name))
{
    for (const std::string_view option : connectionOptions(headers)) {
        if (isEndToEnd(option))
            return GrammarFault{GrammarRule::Connection, loggedName(option)};
    }
    return std::nullopt;
}

std::optional<GrammarFault> checkSentRequest(std::string_view method, std::string_view target,
                                             const HeaderList &headers)
{
    std::optional<GrammarFault> fault = checkRequestLine(method, target, VERSION_1_1);
    return fault ? fault : checkFields(headers);
}

std::optional<GrammarFault> addAnswerLine(AnswerLines &lines, std::string_view line)
{
    const std::string last = lines.headers.empty() ? "" : lines.headers.back().first;
    if (!line.ends_with(LINE_END))
        return GrammarFault{GrammarRule::Lines, loggedName(last)};
    line.remove_suffix(LINE_END.size());
    if (!lines.inHead && !lines.complete)
        return readStatusLine(lines, line);
    if (line.empty())
        return lines.inHead ? endHead(lines) : std::nullopt;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return GrammarFault{GrammarRule::Lines, loggedName(last)};
    HeaderList field{
        {std::string(line.substr(0, colon)), std::string(withoutBlanks(line.substr(colon + 1)))}};
    std::optional<GrammarFault> fault = checkFields(field);
    if (!fault && lines.inHead)
        lines.headers.push_back(std::move(field.front()));
    return fault;
}

bool isFramed(const HeaderList &headers)
{
    return std::any_of(headers.begin(), headers.end(),
                       [](const auto &header) { return isFramingName(header.first); });
}

} // namespace bilberry
