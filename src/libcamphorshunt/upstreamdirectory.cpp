#include "upstreamdirectory.h"

#include <utility>

namespace camphorshunt {

namespace {

/** A pause between reads that is longer than this means that the directory was out of reach. */
constexpr auto longestPause = Duration(std::chrono::milliseconds(1200));
/** Upstreams that live are listed again within two seconds; the rest is the way to here. */
constexpr auto returnTime = Duration(std::chrono::milliseconds(2300));

} // namespace

auto UpstreamDirectory::noteRead(Time now) -> void
{
    if (lastRead_ && now - *lastRead_ > longestPause) {
        returnedAt_ = now;
        hasReturned_ = true;
    }
    lastRead_ = now;
}

auto UpstreamDirectory::apply(Time now, const std::string& name, std::optional<UpstreamEntry> entry) -> bool
{
    if (!entry)
        return remove(now, name);
    lapsed_.erase(name);
    const auto found = entries_.find(name);
    if (found != entries_.end() && found->second == *entry)
        return false;
    entries_.insert_or_assign(name, std::move(*entry));
    return true;
}

auto UpstreamDirectory::remove(Time now, const std::string& name) -> bool
{
    if (!entries_.contains(name))
        return false;
    if (hasReturned_ && now < returnedAt_ + returnTime) {
        lapsed_.try_emplace(name, returnedAt_ + returnTime);
        return false;
    }
    entries_.erase(name);
    lapsed_.erase(name);
    return true;
}

auto UpstreamDirectory::replaceAll(Time now, std::span<const Named> entries) -> bool
{
    auto changed = false;
    auto listed = std::map<std::string, bool> {};
    for (const auto& [name, entry] : entries) {
        listed[name] = true;
        changed = apply(now, name, entry) || changed;
    }
    auto missing = std::vector<std::string> {};
    for (const auto& [name, entry] : entries_) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const auto& name : missing)
        changed = remove(now, name) || changed;
    return changed;
}

auto UpstreamDirectory::settle(Time now) -> bool
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
