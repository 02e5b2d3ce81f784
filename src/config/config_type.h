/** @file config_type.h What operators declare: accounts, keys, models, routes, targets, zones. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bilberry {

/** Scheduling class of a request. */
enum class WorkClass {
    Interactive, ///< Short; never waits behind bulk work.
    Bulk,
};
NLOHMANN_JSON_SERIALIZE_ENUM(WorkClass,
                             {{WorkClass::Interactive, "interactive"}, {WorkClass::Bulk, "bulk"}})

/** A client account with its rates and permissions. */
struct Account
{
    AccountId id;
    double requestsPerSecond = 10; ///< Refill rate of the request budget.
    double requestBurst = 20; ///< Bound of the request budget.
    double tokensPerSecond = 10'000; ///< Refill rate of the generated-token budget.
    double tokenBurst = 40'000; ///< Bound of the generated-token budget.
    double weight = 1; ///< Share of contended targets relative to other accounts.
    std::vector<std::string> models{"*"}; ///< Models, or model:adapter, it may call; "*" for all.
    std::vector<std::string> routes{"*"}; ///< Routes it may call; "*" for all.
    bool limitsRequests = true; ///< Whether the request budget binds.
    bool limitsTokens = true; ///< Whether the token budget binds.
    std::int64_t tokensOfPlainCall = 0; ///< Charged for a call that declares no tokens.

    friend bool operator==(const Account &, const Account &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Account, id, requestsPerSecond, requestBurst,
                                                tokensPerSecond, tokenBurst, weight, models, routes,
                                                limitsRequests, limitsTokens, tokensOfPlainCall)

/** A key; the secret itself is never stored. */
struct Key
{
    KeyId id;
    AccountId account;
    std::string salt;
    Digest digest; ///< digestOf({salt, digestOf({secret})}).

    friend bool operator==(const Key &, const Key &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Key, id, account, salt, digest)

/** A model and the adapters that go on top of it. */
struct Model
{
    ModelId id;
    std::vector<AdapterId> adapters;
    std::string service; ///< Service whose engines serve it; empty: engines without one.
    std::int64_t memoryMb = 16'000; ///< Accelerator memory of one replica.
    std::int64_t adapterMemoryMb = 200; ///< Additional memory of each adapter.
    double loadSeconds = 0; ///< From the weight store; 0: unknown.
    double cachedLoadSeconds = 0; ///< From a target's own disk; 0: unknown.
    int minReplicas = 0; ///< Kept loaded even when idle.
    int maxReplicas = 4;
    Version version{1}; ///< Version of the weights to serve; 0: whichever an engine has.
    WorkClass workClass = WorkClass::Interactive;
    int timeLimitMs = 60'000; ///< Longest time a caller may wait for the whole answer.

    friend bool operator==(const Model &, const Model &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Model, id, adapters, service, memoryMb,
                                                adapterMemoryMb, loadSeconds, cachedLoadSeconds,
                                                minReplicas, maxReplicas, version, workClass,
                                                timeLimitMs)

/** Part of a route's requests that goes to one service. */
struct RouteShare
{
    std::string service;
    std::int64_t weight = 1; ///< Relative to the other shares of the route.

    friend bool operator==(const RouteShare &, const RouteShare &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RouteShare, service, weight)

/** What the operator says of all targets of one service. */
struct ServicePolicy
{
    std::string id; ///< Name that the targets announce.
    double coldStartsPerSecond = 0; ///< Requests that one cold target bears; 0: no limit.
    std::int64_t memoryMb = 0; ///< Accelerator memory of one engine; 0: a plain service.
    int adapterSlots = 0; ///< Adapters that one engine holds at once; 0: no limit.
    bool ramps = true; ///< Whether a fresh target's slots are opened step by step.
    double storeLoadsPerSecond = 0; ///< Model loads that the weight store allows; 0: the default.

    friend bool operator==(const ServicePolicy &, const ServicePolicy &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServicePolicy, id, coldStartsPerSecond, memoryMb,
                                                adapterSlots, ramps, storeLoadsPerSecond)

/** A named path that leads to a plain service. */
struct Route
{
    RouteId id;
    std::string host; ///< Virtual host that callers name; empty: any.
    std::string path; ///< Path prefix on the callers' port.
    std::string service; ///< Name that the service's targets announce; unused if there is a split.
    std::vector<RouteShare> split; ///< Services that share the requests by weight.
    bool repeatable = false; ///< Whether a call may be sent twice.
    bool resumable = false; ///< Whether another target may continue a broken stream.
    bool open = false; ///< Whether callers need no key.
    WorkClass workClass = WorkClass::Interactive;
    int timeLimitMs = 5'000;
    int attempts = 3; ///< Most targets that may run one call.
    int patienceMs = 0; ///< Callers leave if the answer has not begun by then; 0: they wait.
    int answerGoalMs = 0; ///< Time to the answer's beginning that callers hope for; 0: none.
    int priority = 0; ///< 0 goes first.

    friend bool operator==(const Route &, const Route &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Route, id, host, path, service, split, repeatable,
                                                resumable, open, workClass, timeLimitMs, attempts,
                                                patienceMs, answerGoalMs, priority)

/** What the operator says of a target beyond its own announcement. */
struct TargetPolicy
{
    TargetId id;
    bool checksFencing = false; ///< Whether it refuses orders with an old fencing number.
    bool leaving = false; ///< Gets no new work.

    friend bool operator==(const TargetPolicy &, const TargetPolicy &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetPolicy, id, checksFencing, leaving)

/** Operator's word on an availability zone. */
struct ZonePolicy
{
    ZoneId id;
    bool out = false; ///< Gets no new work.

    friend bool operator==(const ZonePolicy &, const ZonePolicy &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ZonePolicy, id, out)

/** State of a decided replica. */
enum class ReplicaState {
    Loading,
    Ready,
    Unloading,
};
NLOHMANN_JSON_SERIALIZE_ENUM(ReplicaState,
                             {{ReplicaState::Loading, "loading"},
                              {ReplicaState::Ready, "ready"},
                              {ReplicaState::Unloading, "unloading"}})

/** A committed decision that a target holds a model or an adapter. */
struct Replica
{
    Variant variant;
    TargetId target;
    StartNumber start; ///< Start of the target that the decision is about.
    FencingNumber fencing; ///< Number of the order that carries the decision out.
    ReplicaState state = ReplicaState::Loading;
    Version version; ///< Version of the weights.
    std::int64_t memoryMb = 0; ///< Reserved on the target until the replica is known to be gone.

    friend bool operator==(const Replica &, const Replica &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Replica, variant, target, start, fencing, state,
                                                version, memoryMb)

/** A request digest that is refused on all hosts because it crashed its targets. */
struct Quarantine
{
    Digest request;
    Duration until{}; ///< Cluster time at which it ends.

    friend bool operator==(const Quarantine &, const Quarantine &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Quarantine, request, until)

/** Whole content of a merged configuration folder. */
struct FolderConfig
{
    std::map<AccountId, Account> accounts;
    std::map<ModelId, Model> models;
    std::map<RouteId, Route> routes;
    std::map<TargetId, TargetPolicy> targets;
    std::map<std::string, ServicePolicy> services;
    std::map<KeyId, Key> keys; ///< Only in a configuration that is replaced as a whole.

    friend bool operator==(const FolderConfig &, const FolderConfig &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FolderConfig, accounts, models, routes, targets,
                                                services, keys)

} // namespace bilberry
