#include "shared/http/connection_registry.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shared/http/connection_thread.hpp"
#include "shared/http/server_connection.hpp"

namespace calicostall {

namespace {

// Between two checks whether every request has its response.
constexpr auto drain_check_interval = std::chrono::milliseconds(5);

// The longest that the end of the process waits for clients to read their last responses and to close, once all are
// written: some round trips.
constexpr auto max_close_time = std::chrono::milliseconds(100);

// Checks again and again until every request has its response, then ends what is left; or until the time is up. Keeps
// itself alive until then.
class ConnectionDrain : public std::enable_shared_from_this<ConnectionDrain> {
public:
    ConnectionDrain(std::chrono::steady_clock::time_point deadline, std::function<void()> on_drained)
        : timer_(connection_context()), deadline_(deadline), on_drained_(std::move(on_drained)) {}

    void check() {
        const auto now = std::chrono::steady_clock::now();
        if (now >= deadline_) return on_drained_();
        if (!connection_registry().has_unanswered_request()) {
            if (!closing_until_) closing_until_ = now + max_close_time;
            connection_registry().close_idle();
            if (now >= *closing_until_ || !connection_registry().has_open_connection()) return on_drained_();
        }
        timer_.expires_after(drain_check_interval);
        timer_.async_wait([self = shared_from_this()](boost::system::error_code) { self->check(); });
    }

private:
    boost::asio::steady_timer timer_;
    std::chrono::steady_clock::time_point deadline_;
    std::function<void()> on_drained_;
    std::optional<std::chrono::steady_clock::time_point> closing_until_;  // once all responses were written
};

}  // namespace

void ConnectionRegistry::add(ServerConnection* connection) {
    std::lock_guard guard(mutex_);
    connections_.insert(connection);
}

void ConnectionRegistry::remove(ServerConnection* connection) {
    std::lock_guard guard(mutex_);
    connections_.erase(connection);
}

bool ConnectionRegistry::has_unanswered_request() {
    std::lock_guard guard(mutex_);
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const ServerConnection* connection) { return connection->has_unanswered_request(); });
}

void ConnectionRegistry::close_idle() {
    std::lock_guard guard(mutex_);
    for (ServerConnection* connection : connections_)
        connection->close_if_idle();
}

bool ConnectionRegistry::has_open_connection() {
    std::lock_guard guard(mutex_);
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const ServerConnection* connection) { return !connection->is_closed(); });
}

ConnectionRegistry& connection_registry() {
    static auto* registry = new ConnectionRegistry;
    return *registry;
}

void drain_all_connections(Micros timeout, std::function<void()> on_drained) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::microseconds(timeout);
    auto drain = std::make_shared<ConnectionDrain>(deadline, std::move(on_drained));
    boost::asio::post(connection_context(), [drain] { drain->check(); });
}

}  // namespace calicostall
