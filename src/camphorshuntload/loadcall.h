#pragma once

#include <functional>
#include <memory>
#include <string>

#include "httpclient.h"
#include "measurements.h"

namespace camphorshunt::load {

/** Sends one request of an organisation and records its progress; keeps itself alive until the call ends. */
class LoadCall : public std::enable_shared_from_this<LoadCall> {
public:
    enum class End { Done, Refused, Failed };

    LoadCall(Measurements& measurements, const Plan& plan, std::size_t organisation);

    auto start(net::HttpClient& client, const PlannedDaemon& daemon, std::uint64_t promptTokens,
        std::uint64_t outputTokens, std::function<void(End)> onEnd) -> void;

private:
    auto handleBody(std::string_view bytes) -> void;
    auto finish(net::HttpCallEnd how) -> void;
    auto serviceUnits() const -> double;

    Measurements& measurements_;
    const Plan& plan_;
    std::size_t organisation_;
    std::shared_ptr<net::HttpCall> call_;
    std::function<void(End)> onEnd_;
    Clock::time_point sentAt_;
    std::uint16_t status_ {};
    double promptUnits_ {};
    std::uint64_t tokens_ {};
    char lastByte_ = '\n';
};

} // namespace camphorshunt::load
