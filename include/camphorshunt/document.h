#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <boost/json/fwd.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/result.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

enum class RequestClass : std::uint8_t {
    Interactive,
    Deferrable,
};

/** An organisation that may call the service. */
struct Organisation {
    std::string name;
    OrganisationId id;
    double weight = 1.0;
    /** SHA-256 of each bearer key, as 64 lower-case hex digits; several while a key is being replaced. */
    std::vector<std::string> keyDigests;
};

/** One operation of the service, addressed as `/v1/<service>/<operation>`. */
struct Operation {
    std::string name;
    bool repeatable = true;
    RequestClass requestClass = RequestClass::Interactive;
};

/** A process that executes requests: a model engine or a plain service. */
struct Upstream {
    std::string name;
    UpstreamId id;
    Endpoint endpoint;
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool leaving = false;
    /** True if the upstream refuses requests that carry an outdated fencing number. */
    bool checksFencing = false;
};

struct Limits {
    std::uint32_t queuePerOrganisation = 1000;
    std::uint32_t queueTotal = 10000;
    Duration defaultDeadline = 60s;
    Duration maxDeadline = 600s;
    Duration connectTimeout = 1s;
    Duration firstByteTimeout = 15s;
    Duration gapTimeout = 5s;
    /** Maximum retries, as a fraction of requests. */
    double retryFraction = 0.1;
    /** Time for which the key of a finished claim is stored as used; older keys are refused. */
    Duration keyWindow = 3600s;
};

struct Dispatch {
    /** Name of a registered dispatch policy. */
    std::string policy = "fair";
    std::uint32_t shards = 1;
    double promptWeight = 0.1;
    double outputWeight = 1.0;
    /** Units of service per organisation that a shard accumulates before it reports them to the other shards.
     */
    double quantum = 2000.0;
    /** Slots of each shard that are not granted to deferrable requests. */
    std::uint32_t reservedSlots = 1;
    /** Maximum fraction of a shard's upstreams that may be ejected at the same time. */
    double ejectFraction = 0.5;
};

/** The validated configuration of one service. */
struct Document {
    std::string service;
    ServiceId id;
    /** Name of a registered upstream kind: `model-engine` or `plain-service`. */
    std::string upstreamKind;
    std::vector<Organisation> organisations;
    std::vector<Operation> operations;
    std::vector<Upstream> upstreams;
    Limits limits;
    Dispatch dispatch;

    /** Parses and validates JSON with comments; errors state the path, the value and what is allowed. */
    static auto parse(std::string_view text) -> Result<Document>;
    /** Like `parse`, for a document that is already parsed JSON. */
    static auto fromJson(const boost::json::value& value) -> Result<Document>;

    auto organisation(OrganisationId id) const -> const Organisation*;
    auto organisationByKeyDigest(std::string_view digest) const -> const Organisation*;
    auto operation(std::string_view name) const -> const Operation*;
    auto upstream(UpstreamId id) const -> const Upstream*;
    /** The shard an upstream belongs to: its position in the document modulo the number of shards. */
    auto shardOf(UpstreamId id) const -> std::uint32_t;

private:
    auto buildIndex() -> void;

    /** Positions in the lists above; empty in a document not created by `parse` or `fromJson`, whose lists
     * are searched instead. */
    absl::flat_hash_map<OrganisationId, std::uint32_t> organisationIndex_;
    std::map<std::string, std::uint32_t, std::less<>> digestIndex_;
    std::map<std::string, std::uint32_t, std::less<>> operationIndex_;
    absl::flat_hash_map<UpstreamId, std::uint32_t> upstreamIndex_;
};

} // namespace camphorshunt
