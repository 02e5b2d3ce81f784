/** @file share.cpp Weighted max-min fair shares, computed by water filling. */
#include "target/share_func.h"

#include "queue/urgency_func.h"

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

std::vector<double> sharesByRank(const std::vector<double> &demands, double capacity)
{
    if (demands.size() == 1)
        return {capacity};
    const double all = std::accumulate(demands.begin(), demands.end(), 0.0);
    std::vector<double> shares(demands.size());
    const double perDemand = capacity * leastPart(demands.back(), all) / all;
    for (std::size_t i = 1; i < demands.size(); ++i)
        shares[i] = std::min(demands[i], demands[i] * perDemand);
    double left = capacity - std::accumulate(shares.begin(), shares.end(), 0.0);
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double more = std::min(demands[i] - shares[i], left);
        shares[i] += more;
        left -= more;
    }
    return shares;
}

} // namespace bilberry
