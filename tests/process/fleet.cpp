#include "fleet.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>
#include <thread>

#include <signal.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <openssl/sha.h>

namespace camphorshunt::test {

namespace {

namespace json = boost::json;

constexpr auto organisations = std::size_t { 16 };

auto digestOf(std::string_view key) -> std::string
{
    unsigned char bytes[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), bytes);
    auto text = std::ostringstream {};
    for (const auto byte : bytes)
        text << std::hex << std::setw(2) << std::setfill('0') << static_cast<int>(byte);
    return text.str();
}

auto organisationList() -> json::array
{
    auto list = json::array {};
    for (auto index = std::size_t {}; index < organisations; ++index) {
        const auto number = std::to_string(index);
        list.push_back(
            { { "name", "org-" + number }, { "keyDigests", json::array { digestOf("key-" + number) } } });
    }
    return list;
}

auto bearer(std::size_t organisation) -> net::HttpHeader
{
    return { "Authorization", "Bearer key-" + std::to_string(organisation) };
}

auto serviceStatusNumber(const json::value& status, std::string_view service, std::string_view name)
    -> std::uint64_t
{
    if (!status.is_object())
        return 0;
    for (const auto& entry : status.at("services").as_array()) {
        if (entry.at("service").as_string() == service)
            return entry.at(name).to_number<std::uint64_t>();
    }
    return 0;
}

auto endpointAfter(const std::string& line, std::string_view prefix) -> Endpoint
{
    const auto begin = line.find(prefix) + prefix.size();
    const auto end = line.find(' ', begin);
    return Endpoint::parse(line.substr(begin, end == std::string::npos ? end : end - begin), "listening")
        .value();
}

/** A temporary file, removed by the destructor. */
class TemporaryFile {
public:
    explicit TemporaryFile(std::string_view content)
    {
        // Tests publish from several threads at once, so the counter for file names is atomic.
        static auto number = std::atomic<int> { 0 };
        path_ = std::filesystem::temp_directory_path()
            / ("camphorshunt-" + std::to_string(::getpid()) + "-" + std::to_string(++number) + ".json");
        std::ofstream(path_) << content;
    }
    ~TemporaryFile() { std::filesystem::remove(path_); }
    TemporaryFile(const TemporaryFile&) = delete;
    auto operator=(const TemporaryFile&) -> TemporaryFile& = delete;
    auto path() const -> std::string { return path_.string(); }

private:
    std::filesystem::path path_;
};

auto daemonSettings(const std::string& name, const Endpoint& log, const Endpoint& vms) -> std::string
{
    const auto any = json::object { { "listen", "127.0.0.1:0" } };
    return json::serialize(json::object {
        { "name", name },
        { "failureDomain", "a" },
        { "callers", any },
        { "admin", any },
        { "peers",
            json::object { { "listen", "127.0.0.1:0" }, { "sharedKey", "a key that only tests use" } } },
        { "platform", json::object { { "log", log.text() }, { "vms", vms.text() } } },
    });
}

} // namespace

auto StandIn::fault(std::string_view json) const -> void
{
    post(endpoint, "/admin/faults", std::string(json));
}

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options))
    , log_(startStandIn("log", options_.logFlags))
    , vms_(startStandIn("vms", {}))
    , service_(startStandIn("service", options_.serviceFlags))
    , routers_(options_.routers)
{
    for (auto index = std::size_t {}; index < options_.engines; ++index) {
        auto flags = options_.engineFlags;
        flags.push_back("--slots=" + std::to_string(options_.slots));
        flags.push_back("--token_ms=" + std::to_string(options_.tokenMs));
        engines_.push_back(startStandIn("engine", flags));
        engines_.back().name = "e" + std::to_string(index);
    }
    publish(assistantDocument());
    publish(bookingDocument());
    for (auto index = std::size_t {}; index < options_.routers; ++index)
        startRouter(index);
}

auto Fleet::startStandIn(std::string name, std::vector<std::string> arguments) -> StandIn
{
    arguments.insert(arguments.begin(), { "--role=" + name, "--listen=127.0.0.1:0" });
    auto process = std::make_unique<ChildProcess>("standins", arguments);
    const auto line = process->readLine("listening ");
    return { std::move(name), std::move(process), endpointAfter(line, "listening ") };
}

auto Fleet::startRouter(std::size_t index) -> void
{
    auto& router = routers_.at(index);
    router.name = "r" + std::to_string(index);
    const auto settings = TemporaryFile(daemonSettings(router.name, log_.endpoint, vms_.endpoint));
    auto arguments = std::vector<std::string> { "--settings=" + settings.path(), "--log_level=warning" };
    for (const auto& flag : options_.daemonFlags)
        arguments.push_back(flag.starts_with("--record=") ? flag + "." + router.name : flag);
    router.process = std::make_unique<ChildProcess>("camphorshuntd", arguments);
    const auto line = router.process->readLine("listening ");
    router.callers = endpointAfter(line, "callers=");
    router.admin = endpointAfter(line, "admin=");
    router.peers = endpointAfter(line, "peers=");
    router.process->discardOutput();
    publishVms();
}

auto Fleet::restartRouter(std::size_t index) -> void
{
    routers_.at(index).process->kill();
    startRouter(index);
}

auto Fleet::restartAll() -> void
{
    for (auto& router : routers_)
        router.process->kill();
    for (auto index = std::size_t {}; index < routers_.size(); ++index)
        startRouter(index);
}

auto Fleet::pauseRouter(std::size_t index) -> void { routers_.at(index).process->signal(SIGSTOP); }

auto Fleet::continueRouter(std::size_t index) -> void { routers_.at(index).process->signal(SIGCONT); }

auto Fleet::publishVms(std::string_view leavingName) -> void
{
    auto list = json::array {};
    const auto add = [&](std::string_view name, std::string_view role, const Endpoint& endpoint) {
        list.push_back({ { "name", name }, { "role", role }, { "address", endpoint.text() },
            { "failureDomain", "a" }, { "state", name == leavingName ? "leaving" : "live" } });
    };
    for (const auto& router : routers_) {
        if (router.process)
            add(router.name, "router", router.peers);
    }
    for (const auto& engine : engines_)
        add(engine.name, "upstream", engine.endpoint);
    add("b0", "upstream", service_.endpoint);
    post(vms_.endpoint, "/admin/vms", json::serialize(json::object { { "vms", list } }));
}

auto Fleet::assistantDocument(std::string_view dispatchExtra) const -> std::string
{
    auto upstreams = json::array {};
    for (const auto& engine : engines_)
        upstreams.push_back({ { "name", engine.name }, { "address", engine.endpoint.text() },
            { "failureDomain", "a" }, { "slots", options_.slots } });
    auto dispatch = json::object { { "policy", options_.policy }, { "shards", options_.shards } };
    if (!dispatchExtra.empty()) {
        const auto extra = json::parse(dispatchExtra);
        for (const auto& entry : extra.as_object())
            dispatch[entry.key()] = entry.value();
    }
    const auto operations = json::array {
        json::object { { "name", "chat" }, { "class", "interactive" } },
        json::object { { "name", "dossier" }, { "class", "deferrable" } },
    };
    return json::serialize(json::object {
        { "service", "assistant" },
        { "upstreamKind", "model-engine" },
        { "organisations", organisationList() },
        { "operations", operations },
        { "upstreams", upstreams },
        { "limits",
            json::object { { "firstByteTimeoutMs", options_.firstByteTimeoutMs },
                { "gapTimeoutMs", options_.gapTimeoutMs },
                { "queuePerOrganisation", options_.queuePerOrganisation } } },
        { "dispatch", dispatch },
    });
}

auto Fleet::bookingDocument() const -> std::string
{
    const auto operations = json::array {
        json::object { { "name", "confirm" }, { "repeatable", false } },
        json::object { { "name", "history" } },
    };
    const auto upstreams = json::array { json::object { { "name", "b0" },
        { "address", service_.endpoint.text() }, { "failureDomain", "a" },
        { "slots", options_.bookingSlots ? options_.bookingSlots : options_.slots } } };
    return json::serialize(json::object {
        { "service", "booking" },
        { "upstreamKind", "plain-service" },
        { "organisations", organisationList() },
        { "operations", operations },
        { "upstreams", upstreams },
        { "limits",
            json::object { { "firstByteTimeoutMs", options_.firstByteTimeoutMs },
                { "gapTimeoutMs", options_.gapTimeoutMs } } },
    });
}

auto Fleet::publish(std::string_view document) -> void
{
    if (tryPublish(document) != 0)
        throw std::runtime_error("camphorshuntctl publish failed: the service document was not published");
}

auto Fleet::tryPublish(std::string_view document, std::vector<std::string> more) -> int
{
    const auto file = TemporaryFile(document);
    auto arguments = std::vector<std::string> { "publish", file.path(), "--log=" + log_.endpoint.text() };
    arguments.insert(arguments.end(), more.begin(), more.end());
    auto tool = ChildProcess("camphorshuntctl", arguments);
    tool.readAll();
    return tool.wait();
}

auto Fleet::status(std::size_t index) -> std::string { return get(routers_.at(index).admin, "/status").body; }

auto Fleet::statusJson(std::size_t index) -> json::value
{
    auto error = boost::system::error_code {};
    auto status = json::parse(this->status(index), error);
    return error ? json::value {} : status;
}

auto Fleet::waiting(std::size_t index, std::string_view service) -> std::size_t
{
    return static_cast<std::size_t>(serviceStatusNumber(statusJson(index), service, "waiting"));
}

auto Fleet::version(std::size_t index, std::string_view service) -> std::uint64_t
{
    return serviceStatusNumber(statusJson(index), service, "version");
}

auto Fleet::claimsStatusNumber(std::size_t index, std::string_view name) -> std::uint64_t
{
    const auto status = statusJson(index);
    if (!status.is_object())
        return 0;
    return status.at("claims").at("streams").at(0).at(name).to_number<std::uint64_t>();
}

auto Fleet::awaitMembers(std::size_t alive) -> bool
{
    const auto complete = [&](std::size_t index) {
        if (get(routers_.at(index).admin, "/ready").status != 200)
            return false;
        auto error = boost::system::error_code {};
        const auto status = json::parse(this->status(index), error);
        return !error && status.at("members").at("live").to_number<std::size_t>() == alive
            && status.at("claims").at("ready").as_bool();
    };
    return eventually([&] {
        for (auto index = std::size_t {}; index < routers_.size(); ++index) {
            if (routers_[index].process && routers_[index].process->isRunning() && !complete(index))
                return false;
        }
        return true;
    });
}

auto Fleet::dispatcher() -> std::size_t
{
    auto found = routers_.size();
    eventually([&] {
        for (auto index = std::size_t {}; index < routers_.size(); ++index) {
            if (!routers_[index].process || !routers_[index].process->isRunning())
                continue;
            if (status(index).find("\"assistant/0\"") != std::string::npos)
                found = index;
        }
        return found != routers_.size();
    });
    return found;
}

auto Fleet::chat(std::size_t organisation, std::uint32_t tokens, std::string_view tag) -> net::HttpRequest
{
    const auto body = json::object { { "outputTokens", tokens } };
    return { "POST", "/v1/assistant/chat",
        { bearer(organisation), { "Camphorshunt-Output-Tokens", std::to_string(tokens) },
            { "Camphorshunt-Request-Tag", std::string(tag) } },
        json::serialize(body) };
}

auto Fleet::booking(std::size_t organisation, std::string_view key) -> net::HttpRequest
{
    return { "POST", "/v1/booking/confirm", { bearer(organisation), { "Idempotency-Key", std::string(key) } },
        "{}" };
}

auto Fleet::makeKey() -> std::string
{
    static auto random = std::mt19937_64(std::random_device {}());
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const auto high = (static_cast<std::uint64_t>(now.count()) << 16U) | 0x7000U | (random() & 0xfffU);
    const auto low = (random() & 0x3fffffffffffffffU) | 0x8000000000000000U;
    auto text = std::ostringstream {};
    text << std::hex << std::setfill('0') << std::setw(8) << (high >> 32U) << '-' << std::setw(4)
         << ((high >> 16U) & 0xffffU) << '-' << std::setw(4) << (high & 0xffffU) << '-' << std::setw(4)
         << (low >> 48U) << '-' << std::setw(12) << (low & 0xffffffffffffU);
    return text.str();
}

auto Fleet::executionCount(std::string_view key) -> std::int64_t
{
    const auto counts = json::parse(get(service_.endpoint, "/admin/counts").body);
    const auto* const runs = counts.at("keys").as_object().if_contains(key);
    return runs ? runs->as_int64() : 0;
}

auto Fleet::trim(std::string_view stream, std::optional<std::uint64_t> first) -> void
{
    post(log_.endpoint, "/admin/trim",
        json::serialize(
            json::object { { "stream", stream }, { "first", first ? *first : endOfStream(stream) } }));
}

auto Fleet::endOfStream(std::string_view stream) -> std::uint64_t
{
    const auto answer = get(log_.endpoint, "/streams/" + std::string(stream) + "?from=0&max=0&waitMs=0");
    return json::parse(answer.body).at("end").to_number<std::uint64_t>();
}

auto Fleet::running(const StandIn& upstream) -> std::uint64_t
{
    return json::parse(get(upstream.endpoint, "/load").body).at("running").to_number<std::uint64_t>();
}

auto Fleet::started(const StandIn& engine) -> std::uint64_t
{
    return json::parse(get(engine.endpoint, "/load").body).at("started").to_number<std::uint64_t>();
}

} // namespace camphorshunt::test
