/** @file stream.cpp Records which software version writes a stream. */
#include "stream/stream_func.h"

namespace bilberry {

namespace {

void removeOldest(StreamTable &table)
{
    table.records.erase(table.order.front());
    table.order.pop_front();
}

} // namespace

StreamOrigin recordStream(StreamTable &table, const StreamId &id, const StreamOrigin &origin,
                          const StreamOwner &owner, std::uint64_t revision, Duration clock)
{
    const auto [it, added]
        = table.records.try_emplace(id, StreamRecord{origin, owner, revision, clock});
    StreamRecord &record = it->second;
    if (added) {
        table.order.push_back(id);
    } else if (record.owner == owner && revision > record.revision) {
        record.origin = origin;
        record.revision = revision;
    }
    StreamOrigin holds = record.origin;
    if (table.order.size() > MAX_STREAM_RECORDS)
        removeOldest(table);
    return holds;
}

std::optional<StreamOrigin> findStream(const StreamTable &table, const StreamId &id)
{
    const auto it = table.records.find(id);
    return it == table.records.end() ? std::nullopt : std::optional(it->second.origin);
}

void expireStreams(StreamTable &table, Duration clock)
{
    while (!table.order.empty()
           && table.records.at(table.order.front()).created + STREAM_RETENTION <= clock)
        removeOldest(table);
}

} // namespace bilberry
