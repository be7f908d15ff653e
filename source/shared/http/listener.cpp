#include "shared/http/listener.hpp"

#include <future>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shared/diagnostics/log.hpp"
#include "shared/http/connection_registry.hpp"
#include "shared/http/connection_thread.hpp"
#include "shared/http/server_connection.hpp"

namespace calicostall {

namespace {

using boost::asio::ip::tcp;

constexpr int accept_backlog = 512;
// After a failed accept: the process is out of descriptors, and the connections that are open go on.
constexpr auto accept_retry_interval = std::chrono::milliseconds(50);

// Throws std::exception for what is no "IP:PORT".
tcp::endpoint parse_endpoint(const std::string& address) {
    const size_t colon = address.rfind(':');
    if (colon == std::string::npos) throw std::runtime_error("needs the form IP:PORT");
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            std::uint16_t(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

// The listening socket. Once constructed, only the connection thread touches it.
class Listener::Acceptor : public std::enable_shared_from_this<Acceptor> {
public:
    Acceptor(const tcp::endpoint& endpoint, std::shared_ptr<ListenerState> state)
        : socket_(connection_context()), retry_timer_(connection_context()), state_(std::move(state)) {
        socket_.open(endpoint.protocol());
        socket_.set_option(boost::asio::socket_base::reuse_address(true));
        socket_.bind(endpoint);
    }

    void listen() { socket_.listen(accept_backlog); }

    void accept_next() {
        if (is_stopped_) return;
        auto on_done = [self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            self->on_accepted(error, std::move(socket));
        };
        socket_.async_accept(std::move(on_done));
    }

    // Accepts no more, and lets no connection call the handler any more.
    void stop() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        retry_timer_.cancel();
        is_stopped_ = true;
        state_->handler = nullptr;
    }

private:
    void on_accepted(boost::system::error_code error, tcp::socket socket) {
        if (is_stopped_) return;
        if (!error) {
            std::make_shared<ServerConnection>(std::move(socket), state_)->read_next_request();
            return accept_next();
        }
        counters().add("accepts_failed");
        retry_timer_.expires_after(accept_retry_interval);
        retry_timer_.async_wait([self = shared_from_this()](boost::system::error_code) { self->accept_next(); });
    }

    tcp::acceptor socket_;
    boost::asio::steady_timer retry_timer_;
    std::shared_ptr<ListenerState> state_;
    bool is_stopped_ = false;
};

Listener::Listener(const std::string& address, const Limits& limits, RequestHandler handler)
    : state_(std::make_shared<ListenerState>()) {
    state_->limits = limits;
    state_->handler = std::move(handler);
    acceptor_ = std::make_shared<Acceptor>(parse_endpoint(address), state_);
}

// Throws only without memory; the process ends then, as it does with any exception of a destructor.
Listener::~Listener() {  // NOLINT(bugprone-exception-escape)
    if (connection_context().get_executor().running_in_this_thread()) {
        acceptor_->stop();
        return;
    }
    std::promise<void> stopped;
    boost::asio::post(connection_context(), [&] {
        acceptor_->stop();
        stopped.set_value();
    });
    stopped.get_future().wait();
}

void Listener::open() {
    acceptor_->listen();
    boost::asio::post(connection_context(), [acceptor = acceptor_] { acceptor->accept_next(); });
}

void Listener::begin_draining() {
    state_->is_draining = true;
}

void Listener::drain_connections(Micros timeout, std::function<void()> on_drained) {
    drain_all_connections(timeout, std::move(on_drained));
}

}  // namespace calicostall
