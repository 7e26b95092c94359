#include "fleetstate.h"

#include <algorithm>
#include <utility>

#include "platform/configuration.h"
#include "platform/directoryentry.h"

namespace camphorshunt::router {

auto FleetState::applyConfiguration(std::string json, std::string_view source) -> bool
{
    if (json == configuration_)
        return false;
    auto decoded = platform::decodeConfiguration(json);
    if (!decoded) {
        log_.write(LogLevel::Error, "configuration-unreadable",
            { { "error", decoded.error().text() }, { "source", std::string(source) },
                { "in-force", std::to_string(version()) } });
        return false;
    }
    const auto next = decoded.value().version;
    if (table_ && next <= version())
        return false;
    log_.write(LogLevel::Info, "configuration",
        { { "version", std::to_string(next) }, { "before", std::to_string(version()) },
            { "source", std::string(source) }, { "routes", std::to_string(decoded.value().routes.size()) },
            { "organisations", std::to_string(decoded.value().organisations.size()) } });
    configuration_ = std::move(json);
    table_ = RouteTable::build(std::move(decoded.value()));
    return true;
}

auto FleetState::applyEvacuations(Time now, const EvacuationRead& read) -> bool
{
    const auto changes = evacuations_.apply(now, read);
    logEvacuations(changes, "store");
    return !changes.empty();
}

auto FleetState::applyEvacuations(Time now, const EvacuationState& told) -> bool
{
    const auto changes = evacuations_.apply(now, told);
    logEvacuations(changes, "peer");
    return !changes.empty();
}

auto FleetState::logEvacuations(std::span<const Evacuations::Change> changes, std::string_view source) -> void
{
    for (const auto& change : changes) {
        const auto upstreams
            = std::ranges::count(directory_.entries(), change.domain, &UpstreamEntry::failureDomain);
        log_.write(LogLevel::Warning, change.active ? "evacuation" : "evacuation-ended",
            { { "domain", change.domain }, { "upstreams", std::to_string(upstreams) },
                { "era", std::to_string(evacuations_.position().era) },
                { "end", std::to_string(evacuations_.position().end) }, { "source", std::string(source) } });
    }
}

auto FleetState::decode(const std::string& name, const std::optional<std::string>& value)
    -> UpstreamDirectory::NamedEntry
{
    if (!value)
        return { name, std::nullopt };
    auto entry = platform::decodeDirectoryEntry(name, *value);
    if (entry)
        return { name, std::move(entry.value()) };
    log_.write(LogLevel::Warning, "directory-entry-unreadable",
        { { "upstream", name }, { "error", entry.error().text() } });
    return { name, std::nullopt };
}

auto FleetState::applySnapshot(Time now, const DirectoryPage& page) -> bool
{
    auto entries = std::vector<UpstreamDirectory::NamedEntry> {};
    rawEntries_.clear();
    for (const auto& record : page.records) {
        entries.push_back(decode(record.name, record.value));
        if (record.value)
            rawEntries_[record.name] = *record.value;
    }
    return directory_.replaceAll(now, entries);
}

auto FleetState::beginEra(Time now, const DirectoryPage& page) -> void
{
    if (directoryEra_ == 0)
        return;
    directory_.recordReturn(now);
    log_.write(LogLevel::Warning, "store-returned",
        { { "era", std::to_string(page.era) }, { "era-before", std::to_string(directoryEra_) },
            { "directory-end", std::to_string(page.end) },
            { "directory-end-before", std::to_string(directoryEnd_.value_or(0)) },
            { "entries", std::to_string(page.records.size()) },
            { "entries-before", std::to_string(rawEntries_.size()) } });
}

auto FleetState::applyDirectoryPage(Time now, const DirectoryPage& page) -> PageResult
{
    const auto known = directoryEnd_.value_or(0);
    const auto era = page.era == 0 ? directoryEra_ : page.era;
    if (directoryEnd_ && era < directoryEra_)
        return PageResult::Outdated;
    const auto isOfLaterEra = directoryEnd_ && era > directoryEra_;
    if (!page.isSnapshot && (!directoryEnd_ || isOfLaterEra || page.from > known))
        return PageResult::Gap;
    directory_.recordRead(now);
    if (isOfLaterEra)
        beginEra(now, page);
    else if (directoryEnd_ && page.end < known)
        return PageResult::Unchanged;
    auto changed = false;
    if (page.isSnapshot) {
        changed = applySnapshot(now, page);
    } else {
        for (const auto& record : page.records) {
            if (record.offset < known)
                continue;
            auto [name, entry] = decode(record.name, record.value);
            if (record.value)
                rawEntries_[record.name] = *record.value;
            else
                rawEntries_.erase(record.name);
            if (directory_.applyEntry(now, name, std::move(entry))) {
                changed = true;
                log_.write(LogLevel::Info, "upstream-changed",
                    { { "upstream", name }, { "offset", std::to_string(record.offset) },
                        { "entry", record.value.value_or("removed") } });
            }
        }
    }
    directoryEnd_ = page.end;
    directoryEra_ = era;
    return changed ? PageResult::Changed : PageResult::Unchanged;
}

auto FleetState::removeExpired(Time now) -> bool { return directory_.removeLapsed(now); }

auto FleetState::directorySnapshot() const -> DirectoryPage
{
    auto page = DirectoryPage { true, 0, directoryEnd_.value_or(0), {} };
    page.era = directoryEra_;
    for (const auto& [name, value] : rawEntries_)
        page.records.push_back({ name, value, 0 });
    return page;
}

auto FleetState::upstreams() const -> std::shared_ptr<const UpstreamList>
{
    auto entries = directory_.entries();
    for (auto& entry : entries)
        entry.evacuated = evacuations_.isEvacuated(entry.failureDomain);
    return std::make_shared<const UpstreamList>(std::move(entries));
}

} // namespace camphorshunt::router
