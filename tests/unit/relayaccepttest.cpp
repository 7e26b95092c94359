#include "drivenrelay.h"

using namespace camphorshunt;

TEST_CASE("Waiting connections are accepted together, not one in each turn of a busy event loop")
{
    auto driven = test::DrivenRelay {};
    driven.connect(100);
    for (auto turn = 0; turn < 8; ++turn)
        driven.context.poll_one();
    CHECK(driven.relay->callers() == 100);
}

TEST_CASE("Connections beyond the limit of callers are closed, and later ones accepted again")
{
    auto driven = test::DrivenRelay {};
    driven.connect(100);
    driven.context.poll();
    CHECK(driven.relay->callers() == 100);
    driven.connect(100);
    driven.context.poll();
    CHECK(driven.relay->callers() == 150);
    driven.clients.clear();
    driven.context.poll();
    CHECK(driven.relay->callers() == 0);
    driven.connect(20);
    driven.context.poll();
    CHECK(driven.relay->callers() == 20);
}
