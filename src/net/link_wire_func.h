/** @file link_wire_func.h Reports and grants as short binary messages. */
#pragma once

#include "core/error_type.h"
#include "link/link_type.h"

#include <string>
#include <string_view>

namespace bilberry {

/**
 * Each struct is a MessagePack array of its fields in a fixed order: new fields go to the end,
 * where a reader that does not know them passes over them and one that misses them keeps defaults.
 * @return @p report as MessagePack.
 */
std::string packReport(const HostReport &report);

/** @return The report, or Errc::Malformed. */
Result<HostReport> unpackReport(std::string_view bytes);

/** A whole table as it travels: after a change of leaders, all hosts ask for the same one. */
struct PackedTable
{
    Version version;
    std::string bytes; ///< Empty: none was sent yet.
};

/**
 * @param whole Used in place of encoding the same whole table again, and replaced by a newer one.
 * @return @p grant as MessagePack, encoded as reports are.
 */
std::string packGrant(const HostGrant &grant, PackedTable &whole);

/** @return The grant, or Errc::Malformed. */
Result<HostGrant> unpackGrant(std::string_view bytes);

} // namespace bilberry
