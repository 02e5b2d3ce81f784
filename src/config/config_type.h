/** @file config_type.h Operator configuration: accounts, keys, models, routes, targets, zones. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberry {

/** Scheduling class of a request. */
enum class WorkClass {
    Interactive, ///< Short requests, normally dispatched before bulk requests.
    Bulk, ///< Requests that may be delayed in favour of interactive requests.
};
NLOHMANN_JSON_SERIALIZE_ENUM(WorkClass,
                             {{WorkClass::Interactive, "interactive"}, {WorkClass::Bulk, "bulk"}})

/** A client account with its rate limits and permissions. */
struct Account
{
    AccountId id;
    double requestsPerSecond = 10; ///< Refill rate of the request token bucket.
    double requestBurst = 20; ///< Capacity of the request token bucket, in requests.
    double tokensPerSecond = 10'000; ///< Refill rate of the budget of generated tokens.
    double tokenBurst = 40'000; ///< Capacity of the budget of generated tokens.
    double weight = 1; ///< Weight in the fair sharing of targets among accounts.
    std::vector<std::string> models{"*"}; ///< Callable models, as model or model:adapter; "*": all.
    std::vector<std::string> routes{"*"}; ///< Callable routes; "*": all.
    bool limitsRequests = true; ///< Whether the request budget is enforced.
    bool limitsTokens = true; ///< Whether the token budget is enforced.
    std::int64_t tokensOfPlainCall = 0; ///< Tokens charged for a route call that declares none.
    std::optional<int> priority; ///< Rank of the account's requests, 0 first; empty: the route's.

    friend bool operator==(const Account &, const Account &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Account, id, requestsPerSecond, requestBurst,
                                                tokensPerSecond, tokenBurst, weight, models, routes,
                                                limitsRequests, limitsTokens, tokensOfPlainCall,
                                                priority)

/** An API key of an account; the secret itself is never stored. */
struct Key
{
    KeyId id;
    AccountId account;
    std::string salt; ///< Makes the digests of equal secrets differ.
    Digest digest; ///< digestOf({salt, digestOf({secret})}).

    friend bool operator==(const Key &, const Key &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Key, id, account, salt, digest)

/** A model and the adapters that can be loaded on top of it. */
struct Model
{
    ModelId id;
    std::vector<AdapterId> adapters;
    std::string service; ///< Service whose engines serve the model; empty: engines without service.
    std::int64_t memoryMb = 16'000; ///< Accelerator memory of one replica, in MB.
    std::int64_t adapterMemoryMb = 200; ///< Accelerator memory of each loaded adapter, in MB.
    double loadSeconds = 0; ///< Time to load the weights from the weight store; 0: unknown.
    double cachedLoadSeconds = 0; ///< Time to load the weights from the target's disk; 0: unknown.
    int minReplicas = 0; ///< Replicas kept loaded even when idle.
    int maxReplicas = 4; ///< Upper limit of loaded replicas.
    Version version{1}; ///< Version of the weights to serve; 0: any version an engine has.
    WorkClass workClass = WorkClass::Interactive;
    int timeLimitMs = 60'000; ///< Time limit from the arrival to the end of the answer.

    friend bool operator==(const Model &, const Model &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Model, id, adapters, service, memoryMb,
                                                adapterMemoryMb, loadSeconds, cachedLoadSeconds,
                                                minReplicas, maxReplicas, version, workClass,
                                                timeLimitMs)

/** Weighted share of a route's requests that goes to one service. */
struct RouteShare
{
    std::string service; ///< Name that the targets of the service announce.
    std::int64_t weight = 1; ///< Weight relative to the other shares of the route.

    friend bool operator==(const RouteShare &, const RouteShare &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RouteShare, service, weight)

/** Bounds of the number of targets of a service in each availability zone. */
struct TargetCountBounds
{
    int least = 0;
    int most = 0;
    double startSeconds = 0; ///< Time from the order of a target until it serves.

    friend bool operator==(const TargetCountBounds &, const TargetCountBounds &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetCountBounds, least, most, startSeconds)

/** Operator settings for all targets of one service. */
struct ServicePolicy
{
    std::string id; ///< Service name that the targets announce.
    double coldStartsPerSecond = 0; ///< Request rate of one target during warm-up; 0: no limit.
    std::int64_t memoryMb = 0; ///< Accelerator memory of one engine, in MB; 0: not a model engine.
    int adapterSlots = 0; ///< Adapters that one engine can have loaded; 0: no limit.
    bool ramps = true; ///< Whether the concurrency limit of a new target is raised gradually.
    double storeLoadsPerSecond = 0; ///< Rate limit of loads from the weight store; 0: the default.
    /** Set if the number of targets is ordered from the infrastructure. */
    std::optional<TargetCountBounds> targetCount;
    std::size_t maxHeaderBytes = 0; ///< Of the head of a request; 0: the default.

    friend bool operator==(const ServicePolicy &, const ServicePolicy &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServicePolicy, id, coldStartsPerSecond, memoryMb,
                                                adapterSlots, ramps, storeLoadsPerSecond,
                                                targetCount, maxHeaderBytes)

/** A named path whose requests are forwarded to a service. */
struct Route
{
    RouteId id;
    std::string host; ///< Virtual host of the requests; empty: any.
    std::string path; ///< Path prefix of the requests on the callers' port.
    std::string service; ///< Service name that the targets announce; unused if @c split is set.
    std::vector<RouteShare> split; ///< Services among which the requests are split by weight.
    bool repeatable = false; ///< Whether calls are idempotent and may be retried.
    bool resumable = false; ///< Whether another target may resume an interrupted stream.
    bool open = false; ///< Whether calls are allowed without an API key.
    WorkClass workClass = WorkClass::Interactive;
    int timeLimitMs = 5'000; ///< Time limit from the arrival to the end of the answer.
    int attempts = 3; ///< Upper limit of the targets that run one call.
    int patienceMs = 0; ///< Time for which callers await the first byte; 0: until the deadline.
    int answerGoalMs = 0; ///< Latency objective for the first byte of the answer; 0: none.
    int priority = 0; ///< Rank of the route's requests, 0 first, unless the account has its own.

    friend bool operator==(const Route &, const Route &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Route, id, host, path, service, split, repeatable,
                                                resumable, open, workClass, timeLimitMs, attempts,
                                                patienceMs, answerGoalMs, priority)

/** Operator settings for one target, in addition to its announcement, and its own shutdown. */
struct TargetPolicy
{
    TargetId id;
    bool checksFencing = false; ///< Whether the target rejects orders with an old fencing token.
    bool leaving = false; ///< Whether the target is drained and gets no new requests.
    /** Latest incarnation that has announced its shutdown; it and earlier ones get no new requests.
     * 0: none. */
    Incarnation shutDown;
    Duration shutDownKeptUntil{}; ///< Cluster time at which @c shutDown may be forgotten.

    friend bool operator==(const TargetPolicy &, const TargetPolicy &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetPolicy, id, checksFencing, leaving, shutDown,
                                                shutDownKeptUntil)

/** Operator settings for one availability zone. */
struct ZonePolicy
{
    ZoneId id;
    bool out = false; ///< Whether the targets of the zone get no new requests.

    friend bool operator==(const ZonePolicy &, const ZonePolicy &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ZonePolicy, id, out)

/** State of a replica in the committed placement. */
enum class ReplicaState {
    Loading, ///< Loading is decided, but not confirmed by the target.
    Ready, ///< The target has confirmed that the replica is loaded.
    Unloading, ///< Unloading is decided, but not confirmed by the target.
};
NLOHMANN_JSON_SERIALIZE_ENUM(ReplicaState,
                             {{ReplicaState::Loading, "loading"},
                              {ReplicaState::Ready, "ready"},
                              {ReplicaState::Unloading, "unloading"}})

/** A committed placement decision: a model or an adapter on a target. */
struct Replica
{
    Variant variant;
    TargetId target;
    Incarnation start; ///< Incarnation of the target to which the decision applies.
    FencingToken fencing; ///< Fencing token of the order that executes the decision.
    ReplicaState state = ReplicaState::Loading;
    Version version; ///< Version of the weights.
    std::int64_t memoryMb = 0; ///< Memory in MB that stays reserved until the unload is confirmed.

    friend bool operator==(const Replica &, const Replica &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Replica, variant, target, start, fencing, state,
                                                version, memoryMb)

/** Requests that all hosts refuse because such requests crashed targets. */
struct Quarantine
{
    /** Digest of the method, path and body of identical requests, or quarantineDigest() of a part
     * of the prompt. */
    Digest request;
    Duration until{}; ///< Cluster time at which the quarantine ends.

    friend bool operator==(const Quarantine &, const Quarantine &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Quarantine, request, until)

/** Complete configuration merged from the files of a folder. */
struct FolderConfig
{
    std::map<AccountId, Account> accounts;
    std::map<ModelId, Model> models;
    std::map<RouteId, Route> routes;
    std::map<TargetId, TargetPolicy> targets;
    std::map<std::string, ServicePolicy> services;
    std::map<KeyId, Key> keys; ///< Set only when the whole configuration is replaced.

    friend bool operator==(const FolderConfig &, const FolderConfig &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FolderConfig, accounts, models, routes, targets,
                                                services, keys)

} // namespace bilberry
