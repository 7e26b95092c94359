#pragma once

#include <string>

#include "standin.h"

namespace camphorshunt::standins {

/** The platform's VM list; a change over `POST /admin/vms` shows after the lag. */
class VmsStandIn : public StandInRole<VmsStandIn> {
public:
    using StandInRole::StandInRole;

private:
    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;

    std::string visibleList_ = R"({"vms":[]})";
};

} // namespace camphorshunt::standins
