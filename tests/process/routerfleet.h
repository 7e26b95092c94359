#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "camphorshunt/endpoint.h"

#include "childprocess.h"
#include "testclient.h"

namespace camphorshunt::test {

/** A store stand-in, engines, plain upstreams and routers as processes on loopback. */
class RouterFleet {
public:
    struct Options {
        std::size_t routers = 1;
        std::size_t engines = 2;
        std::size_t plain = 2;
        std::vector<std::string> engineFlags { "--slots=8", "--token_ms=2" };
        std::vector<std::string> plainFlags { "--call_ms=5" };
        std::uint64_t descriptors = 1024;
    };
    struct Upstream {
        std::string name;
        std::string service;
        std::unique_ptr<ChildProcess> process;
        Endpoint endpoint;
    };
    struct Router {
        std::unique_ptr<ChildProcess> process;
        Endpoint callers;
        Endpoint readiness;
        Endpoint peers;
        Endpoint metrics;
        std::string settings;
    };

    explicit RouterFleet(const Options& options);
    ~RouterFleet();
    RouterFleet(const RouterFleet&) = delete;
    auto operator=(const RouterFleet&) -> RouterFleet& = delete;

    auto router(std::size_t index) -> Router& { return routers_.at(index); }
    auto upstream(std::size_t index) -> Upstream& { return upstreams_.at(index); }
    auto store() const -> const Endpoint& { return store_; }
    auto startRouter(std::size_t index) -> void;
    auto isReady(std::size_t index) -> bool;
    /** All routers are ready and in touch with each other. */
    auto awaitReady() -> bool;

    /** Writes a record of a keyed topic as operators and upstreams do; an empty value drops the key. */
    auto put(std::string_view topic, std::string_view key, const std::string& value) -> void;
    auto putConfiguration(const std::string& json) -> void { put("keyed.op", "config", json); }
    auto putUpstream(std::size_t index, std::string_view state = "ready", std::uint64_t born = 1) -> void;
    /**
     * The configuration of the first day: routes `/plain/`, `/book/` (one upstream), `/pay/` (two),
     * `/stream/`, `/resume/` and `/open/`.
     */
    static auto configuration(std::uint64_t version) -> boost::json::object;

    static auto request(std::string_view route, std::string_view method = "GET") -> net::HttpRequest;
    /** A request to a model engine for this many events. */
    static auto stream(std::string_view route, std::size_t events) -> net::HttpRequest;
    /** What an upstream has run so far. */
    auto runs(std::size_t upstream) -> std::vector<std::map<std::string, std::string>>;
    auto totalRuns() -> std::size_t;
    /** Requests that an upstream works on now. */
    auto working(std::size_t upstream) -> std::uint64_t;
    auto fault(std::size_t upstream, std::string_view json) -> void;
    auto storeFault(std::string_view json) -> void;
    auto metric(std::size_t router, std::string_view line) -> double;

private:
    auto addUpstream(const std::string& service, std::size_t number, const std::vector<std::string>& flags)
        -> void;

    std::string folder_;
    std::uint64_t descriptors_;
    std::unique_ptr<ChildProcess> storeProcess_;
    Endpoint store_;
    std::vector<Upstream> upstreams_;
    std::vector<Router> routers_;
};

auto withHeader(net::HttpRequest request, std::string name, std::string value) -> net::HttpRequest;
/** A router gave the answer itself. */
auto isOwn(const Answer& answer) -> bool;

} // namespace camphorshunt::test
