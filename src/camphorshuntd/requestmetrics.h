#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "messages.h"

namespace camphorshunt {

/**
 * Metrics of requests and their results. Labels are services of the documents, outcomes, reasons and results,
 * so that there are few time series; figures by organisation are on the status page only. Telemetry thread
 * only.
 */
class RequestMetrics {
public:
    explicit RequestMetrics(prometheus::Registry& registry);

    auto handle(const RequestOpened& opened) -> void;
    auto handle(const FirstByteSent& first) -> void;
    auto handle(const RequestClosed& closed) -> void;
    auto handle(const StepRecorded& recorded) -> void;
    auto handle(const AttemptRecorded& recorded) -> void;
    /** Updates members and document versions from a status answer (JSON); ignores malformed JSON. */
    auto setStatus(std::string_view status) -> void;

    /** The request's service; `none` until the core has recognised it, or for an unknown request. */
    auto serviceOf(RequestId request) const -> std::string;

private:
    struct Request {
        std::string service;
        Time opened;
        Time queued;
        /** True once the core has recognised the service. Names made up by callers must not become labels. */
        bool admitted = false;
    };

    static auto label(const Request& request) -> std::string;

    std::unordered_map<RequestId, Request> requests_;
    prometheus::Family<prometheus::Counter>& ended_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& steps_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Counter& retries_;
    prometheus::Counter& grants_;
    prometheus::Family<prometheus::Counter>& claims_;
    prometheus::Family<prometheus::Histogram>& queueWait_;
    prometheus::Family<prometheus::Histogram>& firstByte_;
    prometheus::Gauge& members_;
    prometheus::Family<prometheus::Gauge>& versions_;
};

} // namespace camphorshunt
