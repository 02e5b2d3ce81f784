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

} // namespace bilberry
