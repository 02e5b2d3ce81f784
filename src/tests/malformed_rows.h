/** @file malformed_rows.h Malformed requests as raw bytes, and the check of how they are refused.
 */
#pragma once

#include "raw_http.h"

#include <criterion/criterion.h>

namespace bilberry {

/** Head of a request without the lines that a row adds; it is ended by the row. */
inline std::string beginHead(const std::string &id,
                             const std::string &line = "POST /hold/outer HTTP/1.1")
{
    return line + "\r\nHost: h.example\r\nX-Bilberrybend-Request-Id: " + id
        + "\r\nAuthorization: Token key\r\n";
}

/** Whole request that stands in the body of another one. */
inline std::string innerRequest()
{
    return beginHead("inner", "POST /hold/inner HTTP/1.1") + "Content-Length: 0\r\n\r\n";
}

/** Malformed request, with another request in its body or behind it. */
struct Malformed
{
    std::string name;
    std::string bytes;
};

inline std::string withLines(const std::string &lines)
{
    return beginHead("outer") + lines + "\r\n" + innerRequest();
}

inline std::string withTarget(const std::string &target)
{
    return beginHead("outer", "POST " + target + " HTTP/1.1") + "Content-Length: 0\r\n\r\n"
        + innerRequest();
}

inline std::string lengthOf(const std::string &body)
{
    return std::to_string(body.size());
}

/** Heads of which a lenient reader takes another length than a strict one. */
inline std::vector<Malformed> malformedFraming()
{
    const std::string size = lengthOf(innerRequest());
    const std::string good = "Content-Length: " + size + "\r\n";
    std::vector<Malformed> rows{
        {"blank before the colon of a length", "Content-Length : " + size + "\r\n"},
        {"tab before the colon of a length", "Content-Length\t: " + size + "\r\n"},
        {"vertical tab before the colon of a length", "Content-Length\v: " + size + "\r\n"},
        {"form feed before the colon of a length", "Content-Length\f: " + size + "\r\n"},
        {"length on a folded line", "Content-Length:\r\n " + size + "\r\n"},
        {"length on a line folded by a tab", "Content-Length:\r\n\t" + size + "\r\n"},
        {"blank before a name", " Content-Length: " + size + "\r\n"},
        {"length twice", good + good},
        {"two lengths", good + "Content-Length: 0\r\n"},
        {"two lengths in the other order", "Content-Length: 0\r\n" + good},
        {"list of lengths", "Content-Length: " + size + ", " + size + "\r\n"},
        {"signed length", "Content-Length: +" + size + "\r\n"},
        {"length in hexadecimal", "Content-Length: 0x10\r\n"},
        {"empty length", "Content-Length:\r\n"},
        {"length and chunks", good + "Transfer-Encoding: chunked\r\n"},
        {"chunks and length", "Transfer-Encoding: chunked\r\n" + good},
        {"blank before the colon of chunks, beside a length",
         good + "Transfer-Encoding : chunked\r\n"},
        {"blank before the colon of chunks, before a length",
         "Transfer-Encoding : chunked\r\n" + good},
        {"blank before the colon of the first length", "Content-Length : 0\r\n" + good},
        {"blank before the colon of the second length", good + "Content-Length : 0\r\n"},
        {"unknown coding", "Transfer-Encoding: gzip, chunked\r\n"},
        {"identity coding", "Transfer-Encoding: identity\r\n"},
        {"chunked twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
        {"empty coding", "Transfer-Encoding:\r\n" + good},
        {"length hidden behind a bare CR", "X-A: b\rContent-Length: " + size + "\r\n"},
        {"length hidden behind a bare LF", "X-A: b\nContent-Length: " + size + "\r\n"},
    };
    for (Malformed &row : rows)
        row.bytes = withLines(row.bytes);
    return rows;
}

inline std::vector<Malformed> malformedFields()
{
    const std::string nul(1, '\0');
    std::vector<Malformed> rows{
        {"blank before the colon of an account", "X-Bilberrybend-Tenant : other\r\n"},
        {"blank before the colon of a hold", "X-Bilberrybend-Hold : 1\r\n"},
        {"blank before the colon of a pin", "X-Bilberrybend-Pin-Ms : 1\r\n"},
        {"blank before the colon of a backup", "X-Bilberrybend-Kv-Backup : 1.2.3.4:5\r\n"},
        {"blank before the colon of the key", "Authorization : Token key\r\n"},
        {"bare CR in a value", "X-A: b\rX-Bilberrybend-Tenant: other\r\n"},
        {"bare CR at the end of a value", "X-A: b\r\r\n"},
        {"bare LF between lines", "X-A: b\nX-B: c\r\n"},
        {"NUL in a value", "X-A: b" + nul + "c\r\n"},
        {"control byte in a value", "X-A: b\x01\r\n"},
        {"DEL in a value", "X-A: b\x7f\r\n"},
        {"folded line", "X-A: b\r\n c\r\n"},
        {"folded line with a colon", "X-A: b\r\n X-Bilberrybend-Tenant: other\r\n"},
        {"folded line that is blank", "X-A: b\r\n \r\n"},
        {"folded lines", "X-A: b\r\n c\r\n\td\r\nX-B: e\r\n"},
        {"line without a colon", "X-A\r\n"},
        {"line without a colon before another", "X-A\r\nX-B: c\r\n"},
        {"empty name", ": b\r\n"},
        {"parenthesis in a name", "X(A: b\r\n"},
        {"blank in a name", "X A: b\r\n"},
        {"byte above 127 in a name", "X\xc3\xa9: b\r\n"},
        {"NUL in a name", "X" + nul + "A: b\r\n"},
        {"Host twice", "Host: h.example\r\n"},
        {"request id twice", "X-Bilberrybend-Request-Id: outer\r\n"},
        {"request id twice, in other letters", "x-bilberrybend-request-id: other\r\n"},
        {"key twice", "Authorization: Token key\r\n"},
        {"request id named as an option", "Connection: X-Bilberrybend-Request-Id\r\n"},
        {"account named as one of the options",
         "Connection: keep-alive\r\nConnection: X-A , x-bilberrybend-tenant\r\n"},
        {"Host named as an option", "Connection: host\r\n"},
    };
    for (Malformed &row : rows)
        row.bytes = withLines(row.bytes + "Content-Length: " + lengthOf(innerRequest()) + "\r\n");
    return rows;
}

inline std::vector<Malformed> malformedLines()
{
    const std::string nul(1, '\0');
    const std::string rest = "Host: h.example\r\nX-Bilberrybend-Request-Id: outer\r\n";
    const std::string empty = "Content-Length: 0\r\n\r\n" + innerRequest();
    std::vector<Malformed> rows;
    for (const std::string &target :
         {std::string("/hold/a b"), std::string("/hold/a\tb"), std::string("/hold/a\rb"),
          "/hold/a" + nul + "b", std::string("/hold/\xc3\xa9"), std::string("/hold/a#b"),
          std::string("/hold/a\x01"), std::string("/hold/a\x7f"), std::string("hold/a"),
          std::string("?a=b")})
        rows.push_back({"target " + target, withTarget(target)});
    for (const std::string &line :
         {std::string("PO(ST /hold/a HTTP/1.1"), std::string("PO ST /hold/a HTTP/1.1"),
          std::string("P\xc3\x96ST /hold/a HTTP/1.1"), "PO" + nul + "ST /hold/a HTTP/1.1",
          std::string("POST  /hold/a HTTP/1.1"), std::string("POST /hold/a  HTTP/1.1"),
          std::string("POST /hold/a HTTP/1.2"), std::string("POST /hold/a http/1.1"),
          std::string("POST /hold/a HTTP/1.1 "), std::string("POST /hold/a HTTP/1.01"),
          std::string("POST /hold/a"), std::string("CONNECT h.example:80 HTTP/1.1")})
        rows.push_back({"line " + line, line + "\r\n" + rest + empty});
    rows.push_back(
        {"no Host", "POST /hold/a HTTP/1.1\r\nX-Bilberrybend-Request-Id: outer\r\n" + empty});
    rows.push_back({"Host with a blank",
                    "POST /hold/a HTTP/1.1\r\nHost: h.example x\r\n"
                    "X-Bilberrybend-Request-Id: outer\r\n"
                        + empty});
    rows.push_back({"chunks in HTTP/1.0",
                    "POST /hold/a HTTP/1.0\r\n" + rest
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + innerRequest()});
    rows.push_back({"head that ends with a bare LF",
                    "POST /hold/a HTTP/1.1\r\n" + rest + "X-A: b\r\n\n" + innerRequest()});
    rows.push_back({"trailer with a blank before the colon",
                    "POST /hold/a HTTP/1.1\r\n" + rest
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A : b\r\n\r\n"
                        + innerRequest()});
    rows.push_back({"folded trailer",
                    "POST /hold/a HTTP/1.1\r\n" + rest
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: b\r\n c\r\n\r\n"
                        + innerRequest()});
    for (const std::string &chunk :
         {std::string("+5\r\nhello\r\n"), std::string("0x5\r\nhello\r\n"),
          std::string(" 5\r\nhello\r\n"), std::string("\r\nhello\r\n"), std::string("5\r\nhelloX"),
          std::string("-5\r\nhello\r\n")})
        rows.push_back({"chunk " + chunk,
                        "POST /hold/a HTTP/1.1\r\n" + rest + "Transfer-Encoding: chunked\r\n\r\n"
                            + chunk + "0\r\n\r\n" + innerRequest()});
    return rows;
}

inline std::vector<Malformed> malformedRequests()
{
    std::vector<Malformed> rows = malformedFraming();
    for (const std::vector<Malformed> &more : {malformedFields(), malformedLines()})
        rows.insert(rows.end(), more.begin(), more.end());
    return rows;
}

/** @return Whether @p row is malformed by the rules of the platform alone. */
inline bool concernsPlatformAlone(const Malformed &row)
{
    return row.name.starts_with("request id twice") || row.name.ends_with("named as an option")
        || row.name.ends_with("of the options");
}

/** @return Well-formed request that is answered with 200. */
inline std::string goodRequest(const std::string &id)
{
    return beginHead(id, "GET /look/" + id + " HTTP/1.1") + "\r\n";
}

/** @return Whether the value of a length in @p row is none; libmicrohttpd would refuse it by
 * itself.
 */
inline bool hasMalformedLength(const Malformed &row)
{
    return row.name.starts_with("list of lengths") || row.name.starts_with("signed length")
        || row.name.starts_with("length in hexadecimal") || row.name.starts_with("empty length");
}

inline void checkRefused(const Malformed &row, const RawConnection &connection,
                         std::size_t answersBefore)
{
    std::vector<int> expected(answersBefore, 200);
    expected.push_back(400);
    cr_expect_eq(connection.statuses(), expected, "%s: answers: %s", row.name.c_str(),
                 connection.received.c_str());
    cr_expect(connection.closed, "%s: the connection stays open", row.name.c_str());
}

} // namespace bilberry
