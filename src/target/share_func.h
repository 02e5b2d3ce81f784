/** @file share_func.h Max-min fair shares of a contended capacity. */
#pragma once

#include <cstddef>
#include <vector>

namespace bilberry {

/** Claim of one participant on a shared capacity. */
struct Claim
{
    double demand = 0; ///< In units of the capacity.
    double weight = 1;
};

/**
 * Computes weighted max-min fair shares: no claim gets more than its demand, and a claim that gets
 * less has no smaller share per weight than any other claim.
 * @return A share for each claim, in the order of @p claims; their sum is the lesser of capacity
 * and total demand.
 */
std::vector<double> maxMinShares(const std::vector<Claim> &claims, double capacity);

/**
 * Divides a contended capacity among ranks: each gets its least share, and the rest goes to the
 * ranks in their order, up to their demands.
 * @param demands Demands of the ranks, the first rank first.
 * @return A share for each rank; their sum is the lesser of capacity and total demand.
 */
std::vector<double> sharesByRank(const std::vector<double> &demands, double capacity);

} // namespace bilberry
