#include "socketinput.h"

#include <poll.h>

namespace camphorshunt::router {

auto inputOf(boost::asio::ip::tcp::socket& socket) -> SocketInput
{
    auto descriptor = pollfd { socket.native_handle(), POLLRDHUP, 0 };
    ::poll(&descriptor, 1, 0);
    return { (descriptor.revents & POLLRDHUP) != 0, (descriptor.revents & POLLERR) != 0 };
}

} // namespace camphorshunt::router
