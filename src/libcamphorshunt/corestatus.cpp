#include "coreimpl.h"

#include <algorithm>

#include <boost/json.hpp>

namespace camphorshunt {

namespace {

/** Parses the JSON text that a part returns as its status; null if it is malformed. */
auto parsePart(const std::string& text) -> boost::json::value
{
    auto error = boost::system::error_code {};
    auto value = boost::json::parse(text, error);
    return error ? boost::json::value(nullptr) : value;
}

auto queueStatus(const EntryService& entry) -> boost::json::array
{
    auto queues = boost::json::array {};
    for (const auto& waiting : entry.queue().waitingEntries()) {
        const auto* const organisation = entry.document()->organisation(waiting.organisation);
        queues.push_back({ { "organisation", organisation ? organisation->name : "" },
            { "class", waiting.requestClass == RequestClass::Interactive ? "interactive" : "deferrable" },
            { "waiting", waiting.waiting } });
    }
    return queues;
}

} // namespace

auto CoreImpl::documentStatus() const -> boost::json::array
{
    auto services = boost::json::array {};
    const auto versions = documents_->versions();
    for (const auto& [id, entry] : flow_.entries()) {
        const auto version = std::ranges::find(versions, id, &DocumentVersion::service);
        services.push_back({ { "service", entry.document()->service },
            { "version", version == versions.end() ? 0 : version->version.value },
            { "waiting", entry.queue().size() }, { "held", entry.heldSlots() },
            { "queues", queueStatus(entry) } });
    }
    return services;
}

auto CoreImpl::dispatchStatus() const -> boost::json::object
{
    auto duties = boost::json::object {};
    for (const auto& [shard, duty] : duties_.duties()) {
        const auto entry = flow_.entries().find(shard.service);
        const auto name = (entry == flow_.entries().end() ? std::string() : entry->second.document()->service)
            + "/" + std::to_string(shard.index);
        const auto status = duty.dispatcher->status();
        duties[name] = { { "slots", status.slots }, { "used", status.used }, { "waiting", status.waiting },
            { "organisations", status.organisations }, { "granted", status.granted } };
    }
    return duties;
}

auto CoreImpl::status(Time now) const -> std::string
{
    const auto status = boost::json::object { { "name", settings_.name }, { "ready", ready_ },
        { "draining", draining_ }, { "requests", flow_.activeRequests() }, { "services", documentStatus() },
        { "duties", dispatchStatus() }, { "members", parsePart(membership_->status(now)) },
        { "claims", parsePart(claims_->status(now)) }, { "documents", parsePart(documents_->status(now)) } };
    return boost::json::serialize(status);
}

} // namespace camphorshunt
