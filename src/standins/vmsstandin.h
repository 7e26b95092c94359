#pragma once

#include <string>

#include "standin.h"

namespace camphorshunt::standins {

/** The platform's VM list; a change by `POST /admin/vms` becomes visible after `listLag`. */
class VmsStandIn : public StandInRole<VmsStandIn> {
public:
    using StandInRole::StandInRole;

private:
    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;

    std::string visibleList_ = R"({"vms":[]})";
};

} // namespace camphorshunt::standins
