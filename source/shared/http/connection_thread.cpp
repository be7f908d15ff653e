#include "shared/http/connection_thread.hpp"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>

namespace calicostall {

namespace {

// Never destroyed: connections may be dropped by any thread until the process ends.
boost::asio::io_context* start_thread() {
    auto* context = new boost::asio::io_context(1);
    std::thread([context] {
        auto work = boost::asio::make_work_guard(*context);
        context->run();
    }).detach();
    return context;
}

}  // namespace

boost::asio::io_context& connection_context() {
    static boost::asio::io_context* context = start_thread();
    return *context;
}

}  // namespace calicostall
