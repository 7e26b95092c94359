#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/** The fleet as one router sees it, for operators. */
struct FleetReport {
    using Milliseconds = std::chrono::milliseconds;

    /** Another router that this one is connected to, or tries to reach. */
    struct Link {
        /** Address on which it listens for peers; empty if it is no longer known. */
        std::string address;
        RouterId router;
        /** Hash of its failure domain; zero if unknown. */
        std::uint64_t failureDomain = 0;
        bool isHub = false;
        bool isConnected = false;
        /** It has been heard within the time in which that is expected. */
        bool isResponsive = false;
        /** Empty if it has not been heard yet. */
        std::optional<Milliseconds> lastHeard;
        /** Time between the heartbeats that are expected of it. */
        Milliseconds interval {};
    };
    struct Placer {
        std::string service;
        RouterId router;
    };

    /** A failure domain to whose upstreams the router sends nothing. */
    struct Evacuation {
        std::string domain;
        /** Time since the router learnt of it. */
        Milliseconds age {};
    };

    /** Address on which the router listens for peers. */
    std::string address;
    std::string failureDomain;
    bool isHub = false;
    bool isDraining = false;
    bool reachesStore = false;
    /** Routers in the fleet as far as this one knows, itself included. */
    std::uint64_t liveRouters = 0;
    /** Zero before the first configuration. */
    std::uint64_t configurationVersion = 0;
    /** Time since the version was last confirmed to be the newest. */
    std::optional<Milliseconds> configurationAge;
    /** Offset of the directory's log up to which it has been applied. */
    std::uint64_t directoryOffset = 0;
    /** Time since a read of the directory was last applied. */
    std::optional<Milliseconds> directoryAge;
    RouterId storeReader;
    /** The router from which this one gets new configurations and pages of the directory. */
    RouterId feed;
    std::vector<Placer> placers;
    std::vector<Evacuation> evacuations;
    std::vector<Link> links;
    /** Links beyond those listed. */
    std::uint64_t linksLeftOut = 0;
    /** Links, listed or not, whose router is not heard. */
    std::uint64_t silentLinks = 0;
    /** Time since the report was made. */
    Milliseconds age {};

    auto router() const -> RouterId { return idOf<RouterId>(address); }
    /** The roles that the router itself holds. */
    auto rolesHeld() const -> std::vector<std::string>;

    auto json() const -> std::string;
    /** Ignores unknown fields, which a newer router may send. */
    static auto parse(std::string_view text) -> Result<FleetReport>;
};

} // namespace camphorshunt
