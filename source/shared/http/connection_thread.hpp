// The thread on which all incoming HTTP connections of the process live.
#pragma once
#include <boost/asio/io_context.hpp>

namespace calicostall {

// Runs on a thread of its own, which starts with the first call and runs until the process ends.
boost::asio::io_context& connection_context();

}  // namespace calicostall
