/** @file routing.cpp Choice among targets. */
#include "routing/routing_func.h"

#include <cassert>
#include <functional>
#include <tuple>

namespace bilberry {

namespace {

constexpr double AFFINITY_LOAD_BOUND
    = 1.25; ///< Most load of a prefix's target relative to the mean.

/** Rendezvous weight: each prefix orders the targets in its own way. */
std::uint64_t affinity(std::uint64_t prefix, const TargetId &target)
{
    std::uint64_t x = prefix ^ std::hash<std::string>{}(target.value);
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33;
    return x;
}

/** @return The prefix's own target if its load is within the bound, or the list's size. */
std::size_t affineCandidate(const std::vector<Candidate> &candidates, std::uint64_t prefix)
{
    double total = 1;
    std::size_t best = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        total += candidates[i].running;
        if (candidates[i].tried)
            continue;
        const bool better = best == candidates.size()
            || std::make_pair(candidates[i].prefixCached, affinity(prefix, candidates[i].target))
                > std::make_pair(candidates[best].prefixCached,
                                 affinity(prefix, candidates[best].target));
        if (better)
            best = i;
    }
    if (best == candidates.size())
        return best;
    const double mean = total / static_cast<double>(candidates.size());
    const bool fits = candidates[best].running + 1 <= AFFINITY_LOAD_BOUND * mean + 1;
    return fits ? best : candidates.size();
}

} // namespace

std::size_t chooseCandidate(const std::vector<Candidate> &candidates, std::uint64_t prefix)
{
    assert(!candidates.empty());
    if (prefix != 0) {
        const std::size_t affine = affineCandidate(candidates, prefix);
        if (affine < candidates.size())
            return affine;
    }
    const auto rank = [](const Candidate &candidate) {
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
