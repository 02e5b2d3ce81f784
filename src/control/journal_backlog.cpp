/** @file journal_backlog.cpp Bounds what waits for a journal that cannot be written. */
#include "control/journal_backlog_func.h"

#include <algorithm>
#include <iterator>

namespace bilberry {

namespace {

/** Moves everything of @p next into @p into that it does not replace. */
void merge(JournalWrite &into, JournalWrite next)
{
    if (next.hardState)
        into.hardState = next.hardState;
    if (next.snapshot) {
        // The entries before are in the snapshot or are repeated in the same write.
        into.snapshot = std::move(next.snapshot);
        into.append.clear();
    }
    if (!next.append.empty()) {
        const LogIndex first = next.append.front().index;
        std::erase_if(into.append, [&](const LogEntry &entry) { return entry.index >= first; });
        std::move(next.append.begin(), next.append.end(), std::back_inserter(into.append));
    }
    std::move(next.afterSync.begin(), next.afterSync.end(), std::back_inserter(into.afterSync));
}

} // namespace

void compactBacklog(std::vector<JournalWrite> &writes)
{
    if (writes.size() < 2)
        return;
    JournalWrite merged;
    for (JournalWrite &write : writes)
        merge(merged, std::move(write));
    if (merged.afterSync.size() > MAX_BACKLOG_MESSAGES) {
        const auto surplus = merged.afterSync.size() - MAX_BACKLOG_MESSAGES;
        merged.afterSync.erase(merged.afterSync.begin(),
                               merged.afterSync.begin() + static_cast<std::ptrdiff_t>(surplus));
    }
    writes.clear();
    writes.push_back(std::move(merged));
}

} // namespace bilberry
