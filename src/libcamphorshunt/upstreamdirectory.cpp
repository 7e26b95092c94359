#include "upstreamdirectory.h"

#include <utility>

namespace camphorshunt {

namespace {

/** A longer interval between reads means that the directory was unreachable. */
constexpr auto maxReadInterval = Duration(std::chrono::milliseconds(1200));
/**
 * Live upstreams are listed again within two seconds; the rest covers the delay until this router reads it.
 */
constexpr auto reappearTimeout = Duration(std::chrono::milliseconds(2300));

} // namespace

auto UpstreamDirectory::recordRead(Time now) -> void
{
    if (lastReadAt_ && now - *lastReadAt_ > maxReadInterval)
        recordReturn(now);
    lastReadAt_ = now;
}

auto UpstreamDirectory::recordReturn(Time now) -> void
{
    reachableAgainAt_ = now;
    wasUnreachable_ = true;
}

auto UpstreamDirectory::applyEntry(Time now, const std::string& name, std::optional<UpstreamEntry> entry)
    -> bool
{
    if (!entry)
        return removeEntry(now, name);
    lapsed_.erase(name);
    const auto found = entries_.find(name);
    if (found != entries_.end() && found->second == *entry)
        return false;
    entries_.insert_or_assign(name, std::move(*entry));
    return true;
}

auto UpstreamDirectory::removeEntry(Time now, const std::string& name) -> bool
{
    if (!entries_.contains(name))
        return false;
    if (wasUnreachable_ && now < reachableAgainAt_ + reappearTimeout) {
        lapsed_.try_emplace(name, reachableAgainAt_ + reappearTimeout);
        return false;
    }
    entries_.erase(name);
    lapsed_.erase(name);
    return true;
}

auto UpstreamDirectory::replaceAll(Time now, std::span<const NamedEntry> entries) -> bool
{
    auto changed = false;
    auto listed = std::map<std::string, bool> {};
    for (const auto& [name, entry] : entries) {
        listed[name] = true;
        changed = applyEntry(now, name, entry) || changed;
    }
    auto missing = std::vector<std::string> {};
    for (const auto& [name, entry] : entries_) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const auto& name : missing)
        changed = removeEntry(now, name) || changed;
    return changed;
}

auto UpstreamDirectory::removeLapsed(Time now) -> bool
{
    auto changed = false;
    for (auto next = lapsed_.begin(); next != lapsed_.end();) {
        if (now < next->second) {
            ++next;
            continue;
        }
        entries_.erase(next->first);
        next = lapsed_.erase(next);
        changed = true;
    }
    return changed;
}

auto UpstreamDirectory::entries() const -> std::vector<UpstreamEntry>
{
    auto list = std::vector<UpstreamEntry> {};
    list.reserve(entries_.size());
    for (const auto& [name, entry] : entries_)
        list.push_back(entry);
    return list;
}

} // namespace camphorshunt
