#include "storegateway.h"

#include <iterator>
#include <utility>

#include "clock.h"
#include "quarantinerecord.h"
#include "routerrecord.h"

namespace camphorshunt::router {

namespace {

namespace topic = platform::topic;

auto wallClockNow() -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

auto directoryPage(platform::KeyedPage page, std::optional<std::uint64_t> from) -> DirectoryPage
{
    auto result = DirectoryPage { !from.has_value(), from.value_or(0), page.end, {} };
    result.unreadable = page.unreadable;
    result.era = page.era;
    for (auto& record : page.records)
        result.records.push_back({ std::move(record.key), std::move(record.value), record.offset });
    // `page.end` may lie beyond this page: one read does not return all records.
    if (from)
        result.end = *from + result.records.size();
    return result;
}

auto configurationOf(const platform::KeyedPage& page, std::optional<std::uint64_t> from)
    -> ConfigurationRead::Content
{
    auto content = ConfigurationRead::Content { std::nullopt, page.end, page.era, page.unreadable };
    for (const auto& record : page.records) {
        if (record.key == topic::configurationKey && record.value)
            content.configuration = record.value;
        const auto namesDomain = record.key.size() > topic::evacuationPrefix.size();
        if (namesDomain && record.key.starts_with(topic::evacuationPrefix)) {
            content.evacuations.records.push_back({ record.key.substr(topic::evacuationPrefix.size()),
                record.value.has_value(), record.offset });
        }
    }
    if (from)
        content.end = *from + page.records.size();
    content.evacuations.isSnapshot = !from;
    content.evacuations.position = { content.era, content.end };
    return content;
}

} // namespace

StoreGateway::StoreGateway(
    boost::asio::io_context& context, const Endpoint& store, Ring<StoreToScheduler>& toScheduler)
    : client_(context, store)
    , toScheduler_(toScheduler)
{
}

auto StoreGateway::handleMessage(const SchedulerToStore& message) -> void
{
    std::visit([this](const auto& item) { handle(item); }, message);
}

auto StoreGateway::readAll(std::string topic, platform::KeyedPage readSoFar, PageHandler handler) -> void
{
    const auto after = readSoFar.records.empty() ? std::string {} : readSoFar.records.back().key;
    client_.readNewest(topic, after,
        [this, topic, readSoFar = std::move(readSoFar), handler = std::move(handler), after](
            Result<platform::KeyedPage> page) mutable {
            if (!page) {
                handler(page.error());
                return;
            }
            // The pages are not read atomically: later changes are read again from the end of the first page.
            if (after.empty()) {
                readSoFar.end = page.value().end;
                readSoFar.era = page.value().era;
            } else if (page.value().era != readSoFar.era) {
                handler(
                    failure(Error::Code::Unavailable, "store", "came back from a copy between two pages"));
                return;
            }
            const auto hasRecords = !page.value().records.empty();
            readSoFar.unreadable += page.value().unreadable;
            std::ranges::move(page.value().records, std::back_inserter(readSoFar.records));
            if (page.value().more && hasRecords)
                readAll(std::move(topic), std::move(readSoFar), std::move(handler));
            else
                handler(std::move(readSoFar));
        });
}

auto StoreGateway::handle(const ReadDirectory& read) -> void
{
    auto handler = [this, from = read.from](Result<platform::KeyedPage> page) {
        if (!page)
            toScheduler_.push(DirectoryRead { page.error(), steadyNow() });
        else
            toScheduler_.push(DirectoryRead { directoryPage(std::move(page.value()), from), steadyNow() });
    };
    if (read.from)
        client_.read(topic::upstreams, *read.from, {}, std::move(handler));
    else
        readAll(std::string(topic::upstreams), {}, std::move(handler));
}

auto StoreGateway::handle(const ReadConfiguration& read) -> void
{
    auto handler = [this, from = read.from](Result<platform::KeyedPage> page) {
        if (!page)
            toScheduler_.push(ConfigurationRead { page.error(), steadyNow() });
        else
            toScheduler_.push(ConfigurationRead { configurationOf(page.value(), from), steadyNow() });
    };
    if (read.from)
        client_.read(topic::operators, *read.from, read.wait, std::move(handler));
    else
        readAll(std::string(topic::operators), {}, std::move(handler));
}

auto StoreGateway::handle(const JoinFleet& join) -> void
{
    client_.put(topic::routers, join.self.endpoint, encodeRouterRecord(join.self),
        [this, readsOthers = join.readsOthers](const Result<void>& done) {
            if (!done)
                toScheduler_.push(FleetJoined { done.error() });
            else if (readsOthers)
                readRouters();
            else
                toScheduler_.push(FleetJoined { std::vector<RouterAddress> {} });
        });
}

auto StoreGateway::handle(const StoreQuarantine& store) -> void
{
    const auto record = encodeQuarantineRecord(wallClockNow(), store.quarantine);
    client_.put(topic::quarantines, record.key, record.value,
        [this, quarantine = store.quarantine](const Result<void>& done) {
            toScheduler_.push(QuarantineStored { quarantine, done });
        });
}

auto StoreGateway::handle(const ReadQuarantines& /*read*/) -> void
{
    readAll(std::string(topic::quarantines), {}, [this](Result<platform::KeyedPage> page) {
        if (!page) {
            toScheduler_.push(QuarantinesRead { page.error() });
            return;
        }
        auto content = QuarantinesRead::Content { {}, page.value().unreadable };
        const auto now = wallClockNow();
        for (const auto& record : page.value().records) {
            const auto quarantine = decodeQuarantineRecord(now, record.key, record.value.value_or(""));
            if (quarantine)
                content.quarantines.push_back(*quarantine);
            else
                ++content.unreadable;
        }
        toScheduler_.push(QuarantinesRead { std::move(content) });
    });
}

auto StoreGateway::readRouters() -> void
{
    readAll(std::string(topic::routers), {}, [this](Result<platform::KeyedPage> page) {
        if (!page) {
            toScheduler_.push(FleetJoined { page.error() });
            return;
        }
        auto routers = std::vector<RouterAddress> {};
        for (const auto& record : page.value().records)
            routers.push_back(decodeRouterRecord(record.key, record.value));
        toScheduler_.push(FleetJoined { std::move(routers) });
    });
}

} // namespace camphorshunt::router
