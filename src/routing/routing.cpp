/** @file routing.cpp Selection of the target for a request. */
#include "routing/routing_func.h"

#include <cassert>
#include <functional>
#include <tuple>

namespace bilberry {

namespace {

/**
 * A target is chosen by prefix affinity only while its load is at most about this multiple of the
 * mean load, as in consistent hashing with bounded loads.
 */
constexpr double AFFINITY_LOAD_BOUND = 1.25;

/**
 * Rendezvous (highest random weight) hash: gives each prefix its own stable order of the targets.
 */
std::uint64_t rendezvousHash(std::uint64_t prefix, const TargetId &target)
{
    std::uint64_t x = prefix ^ std::hash<std::string>{}(target.value);
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33;
    return x;
}

/**
 * Finds the target preferred for a prefix, among the targets that the request has not tried:
 * targets with the prefix in their cache come first, then the highest rendezvous hash decides.
 * @return Index of that target, or candidates.size() if there is none or its load exceeds the
 * bound.
 */
std::size_t findAffinityCandidate(const std::vector<RoutingCandidate> &candidates,
                                  std::uint64_t prefix)
{
    double total = 1;
    std::size_t best = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        total += candidates[i].running;
        if (candidates[i].tried)
            continue;
        const bool preferred = best == candidates.size()
            || std::make_pair(candidates[i].prefixCached,
                              rendezvousHash(prefix, candidates[i].target))
                > std::make_pair(candidates[best].prefixCached,
                                 rendezvousHash(prefix, candidates[best].target));
        if (preferred)
            best = i;
    }
    if (best == candidates.size())
        return best;
    const double mean = total / static_cast<double>(candidates.size());
    const bool withinBound = candidates[best].running + 1 <= AFFINITY_LOAD_BOUND * mean + 1;
    return withinBound ? best : candidates.size();
}

} // namespace

std::size_t chooseCandidate(const std::vector<RoutingCandidate> &candidates, std::uint64_t prefix)
{
    assert(!candidates.empty());
    if (prefix != 0) {
        const std::size_t preferredIndex = findAffinityCandidate(candidates, prefix);
        if (preferredIndex < candidates.size())
            return preferredIndex;
    }
    const auto rank = [](const RoutingCandidate &candidate) {
        return std::make_tuple(candidate.tried, candidate.failing, !candidate.sameZone,
                               candidate.running, -candidate.freeSlots);
    };
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        if (rank(candidates[i]) < rank(candidates[best]))
            best = i;
    }
    return best;
}

} // namespace bilberry
