// Boost.Asio and Boost.Beast are compiled once, here.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
