#include "camphorshunt/document.h"

#include <algorithm>

#include <boost/json/value.hpp>

#include "documentjson.h"
#include "documentrules.h"
#include "documentschema.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

template <typename T> auto numberOr(const json::object& object, std::string_view field, T otherwise) -> T
{
    const auto* const value = object.if_contains(field);
    return value == nullptr ? otherwise : value->to_number<T>();
}

auto boolOr(const json::object& object, std::string_view field, bool otherwise) -> bool
{
    const auto* const value = object.if_contains(field);
    return value == nullptr ? otherwise : value->as_bool();
}

template <typename Unit>
auto durationOr(const json::object& object, std::string_view field, Duration otherwise) -> Duration
{
    const auto* const value = object.if_contains(field);
    return value == nullptr ? otherwise : Unit(value->to_number<std::int64_t>());
}

auto text(const json::object& object, std::string_view field) -> std::string
{
    return std::string(object.at(field).as_string());
}

auto readOrganisation(const json::object& object) -> Organisation
{
    auto organisation = Organisation { .name = text(object, "name"), .id = {}, .keyDigests = {} };
    organisation.id = idOf<OrganisationId>(organisation.name);
    organisation.weight = numberOr(object, "weight", organisation.weight);
    for (const auto& digest : object.at("keyDigests").as_array())
        organisation.keyDigests.emplace_back(digest.as_string());
    return organisation;
}

auto readOperation(const json::object& object) -> Operation
{
    auto operation = Operation { .name = text(object, "name") };
    operation.repeatable = boolOr(object, "repeatable", operation.repeatable);
    if (object.contains("class") && object.at("class").as_string() == "deferrable")
        operation.requestClass = RequestClass::Deferrable;
    return operation;
}

auto readUpstream(const json::object& object, std::size_t index) -> Result<Upstream>
{
    const auto path = "upstreams[" + std::to_string(index) + "].address";
    auto endpoint = Endpoint::parse(text(object, "address"), path);
    if (!endpoint)
        return endpoint.error();
    if (endpoint.value().port == 0)
        return failure(Error::Code::Invalid, path,
            "'" + endpoint.value().text() + "' is not allowed; give a port from 1 to 65535");

    auto upstream = Upstream { .name = text(object, "name"), .id = {}, .endpoint = {}, .failureDomain = {} };
    upstream.id = idOf<UpstreamId>(upstream.name);
    upstream.endpoint = endpoint.value();
    upstream.failureDomain = text(object, "failureDomain");
    upstream.slots = numberOr(object, "slots", upstream.slots);
    upstream.leaving = boolOr(object, "leaving", upstream.leaving);
    upstream.checksFencing = boolOr(object, "checksFencing", upstream.checksFencing);
    return upstream;
}

auto readLimits(const json::object& object) -> Limits
{
    using Ms = std::chrono::milliseconds;
    auto limits = Limits();
    limits.queuePerOrganisation = numberOr(object, "queuePerOrganisation", limits.queuePerOrganisation);
    limits.queueTotal = numberOr(object, "queueTotal", limits.queueTotal);
    limits.defaultDeadline = durationOr<Ms>(object, "defaultDeadlineMs", limits.defaultDeadline);
    limits.maxDeadline = durationOr<Ms>(object, "longestDeadlineMs", limits.maxDeadline);
    limits.connectTimeout = durationOr<Ms>(object, "connectTimeoutMs", limits.connectTimeout);
    limits.firstByteTimeout = durationOr<Ms>(object, "firstByteTimeoutMs", limits.firstByteTimeout);
    limits.gapTimeout = durationOr<Ms>(object, "gapTimeoutMs", limits.gapTimeout);
    limits.retryFraction = numberOr(object, "retryFraction", limits.retryFraction);
    limits.keyWindow = durationOr<std::chrono::seconds>(object, "keyWindowS", limits.keyWindow);
    return limits;
}

auto readDispatch(const json::object& object) -> Dispatch
{
    auto dispatch = Dispatch();
    if (object.contains("policy"))
        dispatch.policy = text(object, "policy");
    dispatch.shards = numberOr(object, "shards", dispatch.shards);
    dispatch.promptWeight = numberOr(object, "promptWeight", dispatch.promptWeight);
    dispatch.outputWeight = numberOr(object, "outputWeight", dispatch.outputWeight);
    dispatch.quantum = numberOr(object, "quantum", dispatch.quantum);
    dispatch.reservedSlots = numberOr(object, "reservedSlots", dispatch.reservedSlots);
    dispatch.ejectFraction = numberOr(object, "ejectFraction", dispatch.ejectFraction);
    return dispatch;
}

/** Precondition: the schema has accepted the object. */
auto readDocument(const json::object& object) -> Result<Document>
{
    auto document = Document();
    document.service = text(object, "service");
    document.id = idOf<ServiceId>(document.service);
    document.upstreamKind = text(object, "upstreamKind");
    for (const auto& item : object.at("organisations").as_array())
        document.organisations.push_back(readOrganisation(item.as_object()));
    for (const auto& item : object.at("operations").as_array())
        document.operations.push_back(readOperation(item.as_object()));
    for (const auto& item : object.at("upstreams").as_array()) {
        auto upstream = readUpstream(item.as_object(), document.upstreams.size());
        if (!upstream)
            return upstream.error();
        document.upstreams.push_back(std::move(upstream.value()));
    }
    if (const auto* const limits = object.if_contains("limits"))
        document.limits = readLimits(limits->as_object());
    if (const auto* const dispatch = object.if_contains("dispatch"))
        document.dispatch = readDispatch(dispatch->as_object());
    return document;
}

/** Looks an item up in the index. Documents that were not parsed have no index and are searched linearly. */
template <typename Item, typename Index, typename Key, typename Matches>
auto find(const std::vector<Item>& items, const Index& index, const Key& key, const Matches& matches)
    -> const Item*
{
    if (index.empty()) {
        const auto found = std::find_if(items.begin(), items.end(), matches);
        return found == items.end() ? nullptr : &*found;
    }
    const auto found = index.find(key);
    return found == index.end() ? nullptr : &items[found->second];
}

} // namespace

auto Document::parse(std::string_view text) -> Result<Document>
{
    const auto value = parseDocumentJson(text);
    if (!value)
        return value.error();
    return fromJson(value.value());
}

auto Document::fromJson(const boost::json::value& value) -> Result<Document>
{
    if (auto fault = checkDocumentSchema(value))
        return *fault;
    auto document = readDocument(value.as_object());
    if (!document)
        return document;
    if (auto fault = checkDocumentRules(document.value()))
        return *fault;
    document.value().buildIndex();
    return document;
}

auto Document::buildIndex() -> void
{
    for (auto i = std::uint32_t { 0 }; i < organisations.size(); ++i) {
        organisationIndex_.emplace(organisations[i].id, i);
        for (const auto& digest : organisations[i].keyDigests)
            digestIndex_.emplace(digest, i);
    }
    for (auto i = std::uint32_t { 0 }; i < operations.size(); ++i)
        operationIndex_.emplace(operations[i].name, i);
    for (auto i = std::uint32_t { 0 }; i < upstreams.size(); ++i)
        upstreamIndex_.emplace(upstreams[i].id, i);
}

auto Document::organisation(OrganisationId organisationId) const -> const Organisation*
{
    return find(organisations, organisationIndex_, organisationId,
        [&](const auto& item) { return item.id == organisationId; });
}

auto Document::organisationByKeyDigest(std::string_view digest) const -> const Organisation*
{
    return find(organisations, digestIndex_, digest, [&](const auto& item) {
        return std::find(item.keyDigests.begin(), item.keyDigests.end(), digest) != item.keyDigests.end();
    });
}

auto Document::operation(std::string_view name) const -> const Operation*
{
    return find(operations, operationIndex_, name, [&](const auto& item) { return item.name == name; });
}

auto Document::upstream(UpstreamId upstreamId) const -> const Upstream*
{
    return find(
        upstreams, upstreamIndex_, upstreamId, [&](const auto& item) { return item.id == upstreamId; });
}

auto Document::shardOf(UpstreamId upstreamId) const -> std::uint32_t
{
    const auto* const found = upstream(upstreamId);
    if (found == nullptr || dispatch.shards == 0)
        return 0;
    return static_cast<std::uint32_t>(found - upstreams.data()) % dispatch.shards;
}

} // namespace camphorshunt
