/** @file share.cpp Weighted max-min fair shares, computed by water filling. */
#include "target/share_func.h"

#include <algorithm>
#include <numeric>

namespace bilberry {

std::vector<double> maxMinShares(const std::vector<Claim> &claims, double capacity)
{
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return claims[a].demand * claims[b].weight < claims[b].demand * claims[a].weight;
    });
    double weights = 0;
    for (const Claim &claim : claims)
        weights += claim.weight;
    std::vector<double> shares(claims.size());
    for (const std::size_t i : order) {
        const double fair = weights > 0 ? capacity * claims[i].weight / weights : 0;
        shares[i] = std::min(claims[i].demand, fair);
        capacity -= shares[i];
        weights -= claims[i].weight;
    }
    return shares;
}

} // namespace bilberry
