/** @file link_wire_func.h Compact binary encoding of host reports and grants. */
#pragma once

#include "core/error_type.h"
#include "link/link_type.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bilberry {

/**
 * Encodes each struct as a MessagePack array of its fields in a fixed order. New fields are
 * appended at the end: older readers ignore them, and newer readers keep the default of a missing
 * field.
 * @return @p report as MessagePack.
 */
std::string packReport(const HostReport &report);

/** @return The report decoded from @p bytes, or Errc::Malformed. */
Result<HostReport> unpackReport(std::string_view bytes);

/** Cached encodings of what many hosts get at the same time. */
struct EncodedTable
{
    Version version; ///< Version of the encoded full table.
    std::string bytes; ///< CBOR of a full table; empty if none has been encoded yet.
    std::shared_ptr<const TableDelta> changes; ///< Latest large partial delta, or null.
    std::string changesBytes; ///< CBOR of @c changes.
    /** MessagePack of announcements; bounded in size. */
    std::map<std::shared_ptr<const TargetAnnouncement>, std::string> announcements;
};

/**
 * @param tableCache Used if @p grant contains the full table of the cached version or the cached
 * delta; another full table or large delta is encoded and replaces it. Announcements that earlier
 * grants contained, too, are not encoded again.
 * @return @p grant as MessagePack, encoded as in packReport().
 */
std::string packGrant(const HostGrant &grant, EncodedTable &tableCache);

/** @return The grant decoded from @p bytes, or Errc::Malformed. */
Result<HostGrant> unpackGrant(std::string_view bytes);

} // namespace bilberry
