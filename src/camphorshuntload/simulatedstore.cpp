#include "simulatedstore.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "quarantinerecord.h"

namespace camphorshunt::load {

namespace {

namespace json = boost::json;
using namespace router;

} // namespace

auto SimulatedStore::configuration(std::uint64_t version) -> std::string
{
    const auto engine = json::object { { "slots", 12 }, { "kv_capacity", 337851 },
        { "kv_token_bytes", 163840 }, { "link_mbps", 740000.0 } };
    const auto route
        = json::object { { "name", "chat" }, { "host", "fleet.example" }, { "path_prefix", "/chat/" },
              { "kind", "stream" }, { "timeout_ms", 12000 }, { "latency_goal_ms", 800 }, { "priority", 1 },
              { "service", "model" }, { "attempts", 1 }, { "public", true } };
    const auto service = json::object { { "name", "model" }, { "health_path", "/health" },
        { "max_connections", 600 }, { "engine", engine } };
    const auto limits = json::object { { "max_header_bytes", 8192 }, { "max_body_bytes", 100000 },
        { "header_timeout_ms", 1000 }, { "idle_timeout_ms", 4000 }, { "tokens_per_s", 2800000 } };
    return json::serialize(json::object { { "version", version }, { "routes", json::array { route } },
        { "services", json::array { service } }, { "limits", limits } });
}

auto SimulatedStore::directoryRecord(std::size_t index, std::string_view state) -> DirectoryRecord
{
    const auto entry
        = json::object { { "service", "model" }, { "address", "10.0.0.1:" + std::to_string(8000 + index) },
              { "zone", "zone-a" }, { "version", "v1" }, { "slots", 12 }, { "state", std::string(state) },
              { "cold_remaining_ms", 0 }, { "sequence", 1 }, { "born", 1 } };
    return { "engine-" + std::to_string(index), json::serialize(entry), 0 };
}

SimulatedStore::SimulatedStore(EventQueue& events, Duration delay, std::size_t engines)
    : events_(events)
    , start_(events.now())
    , delay_(delay)
{
    for (auto index = std::size_t { 0 }; index < engines; ++index)
        directory_.push_back(directoryRecord(index, "ready"));
    publish();
}

auto SimulatedStore::call(SchedulerToStore call, Answer answer) -> void
{
    const auto second = static_cast<std::size_t>((events_.now() - start_) / std::chrono::seconds(1));
    if (callsBySecond_.size() <= second)
        callsBySecond_.resize(second + 1);
    ++callsBySecond_[second];
    events_.after(delay_, [this, call = std::move(call), answer = std::move(answer)] {
        std::visit([this, &answer](const auto& item) { handle(item, answer); }, call);
    });
}

auto SimulatedStore::answerLater(const Answer& answer, StoreToScheduler message) -> void
{
    events_.after(delay_, [answer, message = std::move(message)] { answer(message); });
}

auto SimulatedStore::handle(const ReadDirectory& read, const Answer& answer) -> void
{
    if (read.from && *read.from > directory_.size()) {
        answerLater(
            answer, DirectoryRead { failure(Error::Code::NotFound, "store", "status 410"), events_.now() });
        return;
    }
    auto page = DirectoryPage { !read.from, read.from.value_or(0), directory_.size(), {} };
    page.era = era_;
    if (!read.from)
        page.records = directory_;
    else if (*read.from < directory_.size())
        page.records.assign(directory_.begin() + static_cast<std::ptrdiff_t>(*read.from), directory_.end());
    answerLater(answer, DirectoryRead { std::move(page), events_.now() });
}

auto SimulatedStore::record(DirectoryRecord record) -> void
{
    record.offset = directory_.size();
    directory_.push_back(std::move(record));
}

auto SimulatedStore::returnFromCopy(std::size_t lostRecords) -> void
{
    ++era_;
    directory_.resize(directory_.size() - std::min(lostRecords, directory_.size()));
}

auto SimulatedStore::newest() const -> ConfigurationRead
{
    return { ConfigurationRead::Content { configuration(version_), version_, era_ }, events_.now() };
}

auto SimulatedStore::handle(const ReadConfiguration& read, const Answer& answer) -> void
{
    if (!read.from || *read.from < version_) {
        answerLater(answer, newest());
        return;
    }
    const auto number = nextPoll_++;
    longPolls_[number] = { *read.from, answer };
    events_.after(read.wait, [this, number] {
        const auto poll = longPolls_.extract(number);
        if (!poll.empty())
            answerLater(poll.mapped().answer,
                ConfigurationRead {
                    ConfigurationRead::Content { std::nullopt, poll.mapped().from, era_ }, events_.now() });
    });
}

auto SimulatedStore::handle(const JoinFleet& join, const Answer& answer) -> void
{
    routers_[join.self.endpoint] = join.self;
    auto routers = std::vector<RouterAddress> {};
    if (join.readsOthers) {
        for (const auto& [endpoint, address] : routers_)
            routers.push_back(address);
    }
    answerLater(answer, FleetJoined { std::move(routers) });
}

auto SimulatedStore::handle(const StoreQuarantine& store, const Answer& answer) -> void
{
    const auto& quarantine = store.quarantine;
    quarantines_[encodeQuarantineRecord({}, quarantine).key] = quarantine;
    answerLater(answer, QuarantineStored { quarantine, boost::outcome_v2::success() });
}

auto SimulatedStore::handle(const ReadQuarantines& /*read*/, const Answer& answer) -> void
{
    auto content = QuarantinesRead::Content {};
    for (const auto& [key, quarantine] : quarantines_) {
        if (!quarantine.released)
            content.quarantines.push_back(quarantine);
    }
    answerLater(answer, QuarantinesRead { std::move(content) });
}

auto SimulatedStore::publish() -> void
{
    ++version_;
    for (const auto& [number, poll] : std::exchange(longPolls_, {}))
        answerLater(poll.answer, newest());
}

} // namespace camphorshunt::load
