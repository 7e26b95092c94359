#include "vmsstandin.h"

#include "jsonfields.h"

namespace camphorshunt::standins {

auto VmsStandIn::serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    if (pathOf(request) != "/admin/vms") {
        if (fault.mode == FaultMode::Cut)
            exchange->abort();
        else
            exchange->respond(statusOk, { { "Content-Type", "application/json" } }, visibleList_);
        return;
    }
    const auto parsed = parseObject(request.body);
    if (!parsed || !parsed->contains("vms") || !parsed->at("vms").is_array()) {
        respondError(*exchange, statusBadRequest, "vms: missing or not an array");
        return;
    }
    if (options().listLag.count() > 0)
        after(options().listLag, [this, list = request.body] { visibleList_ = list; });
    else
        visibleList_ = request.body;
    respondJson(*exchange, statusOk, boost::json::object());
}

} // namespace camphorshunt::standins
