#include "evacuation/evacuationframe.h"

#include "peerframefields.h"

namespace camphorshunt::router {

auto packEvacuation(flatbuffers::FlatBufferBuilder& builder, const EvacuationState& state)
    -> flatbuffers::Offset<fleet::Evacuation>
{
    const auto domains = builder.CreateVectorOfStrings(state.domains);
    return fleet::CreateEvacuation(builder, state.position.era, state.position.end, domains);
}

auto unpackEvacuation(const fleet::Evacuation& packed) -> Result<EvacuationState>
{
    auto state = EvacuationState { { packed.era(), packed.end() }, {} };
    if (packed.domains() == nullptr)
        return state;
    if (packed.domains()->size() > Evacuations::maxDomains)
        return malformed("more evacuated failure domains than a router keeps");
    for (const auto* const domain : *packed.domains())
        state.domains.push_back(domain->str());
    return state;
}

} // namespace camphorshunt::router
