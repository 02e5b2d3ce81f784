/** @file share_func.h Max-min shares of a contended capacity. */
#pragma once

#include <cstddef>
#include <vector>

namespace bilberry {

/** One claim on a shared capacity. */
struct Claim
{
    double demand = 0;
    double weight = 1;
};

/**
 * Weighted max-min shares: nobody gets more than its demand, and whoever gets less has no smaller
 * share per weight than anybody else.
 * @return A share for each claim; their sum is the lesser of capacity and total demand.
 */
std::vector<double> maxMinShares(const std::vector<Claim> &claims, double capacity);

} // namespace bilberry
