#include "documentrules.h"

#include <algorithm>
#include <set>

#include <absl/container/flat_hash_map.h>
#include <boost/json/value.hpp>

#include "documentschema.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

/** In bytes. */
constexpr std::size_t maxNameLength = 64;
/** Hex digits of a SHA-256. */
constexpr std::size_t digestLength = 64;

using Fault = std::optional<Error>;

auto invalid(std::string path, std::string message) -> Error
{
    return failure(Error::Code::Invalid, std::move(path), std::move(message));
}

auto itemPath(std::string_view list, std::size_t index, std::string_view field) -> std::string
{
    return std::string(list) + "[" + std::to_string(index) + "]." + std::string(field);
}

auto shown(std::string_view text) -> std::string { return shownValue(json::value(text)); }

auto isNameCharacter(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '.';
}

auto isLowerHex(char c) -> bool { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

auto checkName(std::string_view name, std::string path) -> Fault
{
    const auto isName = !name.empty() && name.size() <= maxNameLength
        && std::all_of(name.begin(), name.end(), isNameCharacter) && name != "." && name != "..";
    if (isName)
        return std::nullopt;
    return invalid(std::move(path),
        shown(name) + " is not allowed; give a name of 1 to 64 letters, digits, '-', '_' and '.'");
}

/** Names must be valid and unique, and so must their hashes, since ids are hashes of names. */
template <typename Item> auto checkNames(const std::vector<Item>& items, std::string_view list) -> Fault
{
    auto seen = absl::flat_hash_map<std::uint64_t, std::string_view>();
    for (auto i = std::size_t { 0 }; i < items.size(); ++i) {
        const auto path = itemPath(list, i, "name");
        if (auto fault = checkName(items[i].name, path))
            return fault;
        const auto [other, isNew] = seen.try_emplace(hashName(items[i].name), items[i].name);
        if (!isNew)
            return invalid(path,
                shown(items[i].name) + " is not allowed; its hash is already that of " + shown(other->second)
                    + "; give names that differ");
    }
    return std::nullopt;
}

auto checkKeyDigests(const std::vector<Organisation>& organisations) -> Fault
{
    auto seen = absl::flat_hash_map<std::string_view, std::size_t>();
    for (auto i = std::size_t { 0 }; i < organisations.size(); ++i) {
        const auto& digests = organisations[i].keyDigests;
        for (auto k = std::size_t { 0 }; k < digests.size(); ++k) {
            const auto path = itemPath("organisations", i, "keyDigests[" + std::to_string(k) + "]");
            if (digests[k].size() != digestLength
                || !std::all_of(digests[k].begin(), digests[k].end(), isLowerHex))
                return invalid(path,
                    shown(digests[k])
                        + " is not allowed; give the key's SHA-256 as 64 lower-case hex digits");
            const auto [other, isNew] = seen.try_emplace(digests[k], i);
            if (!isNew)
                return invalid(path,
                    shown(digests[k]) + " is not allowed; "
                        + itemPath("organisations", other->second, "keyDigests")
                        + " has it already, and a key names one organisation");
        }
    }
    return std::nullopt;
}

auto checkUpstreams(const std::vector<Upstream>& upstreams) -> Fault
{
    auto seen = std::set<std::string>();
    for (auto i = std::size_t { 0 }; i < upstreams.size(); ++i) {
        if (auto fault = checkName(upstreams[i].failureDomain, itemPath("upstreams", i, "failureDomain")))
            return fault;
        if (!seen.insert(upstreams[i].endpoint.text()).second)
            return invalid(itemPath("upstreams", i, "address"),
                shown(upstreams[i].endpoint.text()) + " is not allowed; another upstream has it already");
    }
    return std::nullopt;
}

auto milliseconds(Duration duration) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto checkLimits(const Limits& limits) -> Fault
{
    if (limits.queuePerOrganisation > limits.queueTotal)
        return invalid("limits.queuePerOrganisation",
            std::to_string(limits.queuePerOrganisation) + " is not allowed; give at most limits.queueTotal, "
                + std::to_string(limits.queueTotal));
    if (limits.defaultDeadline > limits.maxDeadline)
        return invalid("limits.defaultDeadlineMs",
            milliseconds(limits.defaultDeadline) + " is not allowed; give at most limits.longestDeadlineMs, "
                + milliseconds(limits.maxDeadline));
    return std::nullopt;
}

auto hasDeferrable(const std::vector<Operation>& operations) -> bool
{
    return std::any_of(operations.begin(), operations.end(),
        [](const auto& operation) { return operation.requestClass == RequestClass::Deferrable; });
}

/** Deferrable requests need at least one slot in each shard that is not reserved, or they would never run. */
auto checkReservedSlots(const Document& document) -> Fault
{
    if (!hasDeferrable(document.operations))
        return std::nullopt;
    auto slots = std::vector<std::uint64_t>(document.dispatch.shards);
    for (auto i = std::size_t { 0 }; i < document.upstreams.size(); ++i)
        slots[i % slots.size()] += document.upstreams[i].slots;
    const auto minSlots = *std::min_element(slots.begin(), slots.end());
    if (document.upstreams.empty() || document.dispatch.reservedSlots < minSlots)
        return std::nullopt;
    return invalid("dispatch.reservedSlots",
        std::to_string(document.dispatch.reservedSlots) + " is not allowed; the smallest shard has slots = "
            + std::to_string(minSlots) + ": give fewer, or deferrable operations would never run");
}

auto checkDispatch(const Document& document) -> Fault
{
    const auto& dispatch = document.dispatch;
    const auto maxShards = std::max<std::size_t>(document.upstreams.size(), 1);
    if (dispatch.shards > maxShards)
        return invalid("dispatch.shards",
            std::to_string(dispatch.shards) + " is not allowed; give at most the number of upstreams, "
                + std::to_string(maxShards));
    if (dispatch.promptWeight + dispatch.outputWeight <= 0)
        return invalid("dispatch.outputWeight",
            "0 is not allowed; give a number above 0 here or in dispatch.promptWeight");
    return checkReservedSlots(document);
}

} // namespace

auto checkDocumentRules(const Document& document) -> Fault
{
    if (auto fault = checkName(document.service, "service"))
        return fault;
    if (auto fault = checkName(document.upstreamKind, "upstreamKind"))
        return fault;
    if (auto fault = checkName(document.dispatch.policy, "dispatch.policy"))
        return fault;
    if (auto fault = checkNames(document.organisations, "organisations"))
        return fault;
    if (auto fault = checkNames(document.operations, "operations"))
        return fault;
    if (auto fault = checkNames(document.upstreams, "upstreams"))
        return fault;
    if (auto fault = checkKeyDigests(document.organisations))
        return fault;
    if (auto fault = checkUpstreams(document.upstreams))
        return fault;
    if (auto fault = checkLimits(document.limits))
        return fault;
    return checkDispatch(document);
}

} // namespace camphorshunt
