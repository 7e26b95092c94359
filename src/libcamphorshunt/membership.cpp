#include "membership.h"

#include "swimmembership.h"

namespace camphorshunt {

auto Membership::create(const MembershipSettings& settings) -> std::unique_ptr<Membership>
{
    return std::make_unique<SwimMembership>(settings);
}

} // namespace camphorshunt
