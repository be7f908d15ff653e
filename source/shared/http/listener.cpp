#include "shared/http/listener.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <future>
#include <unordered_set>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "shared/record/log.hpp"

namespace calicostall {

// What all connections of one listener share.
struct ListenerShared {
    ListenerLimits limits;
    std::function<void(Request)> take;
    std::atomic<bool> closing{false};
};

namespace {

// The thread on which all connections of the process live; it begins with the first listener.
boost::asio::io_context& connection_thread() {
    static boost::asio::io_context* context = [] {
        auto* fresh = new boost::asio::io_context(1);
        std::thread([fresh] {
            auto work = boost::asio::make_work_guard(*fresh);
            fresh->run();
        }).detach();
        return fresh;
    }();
    return *context;
}

// The longest that a connection is kept after its last answer, for its client to read that and close.
constexpr auto linger_most = std::chrono::seconds(1);
// Between two looks at whether every request has its answer.
constexpr auto finish_interval = std::chrono::milliseconds(5);

// All connections of the process. A session may be destroyed by any thread that drops its reply.
class SessionRegistry {
public:
    void add(Session* session) {
        std::lock_guard guard(lock_);
        sessions_.insert(session);
    }
    void remove(Session* session) {
        std::lock_guard guard(lock_);
        sessions_.erase(session);
    }
    // Whether a request that was read, in whole or in part, has no complete answer; on the connection thread.
    bool any_busy();

private:
    std::mutex lock_;
    std::unordered_set<Session*> sessions_;
};

SessionRegistry& session_registry() {
    static auto* registry = new SessionRegistry;
    return *registry;
}

}  // namespace

// One connection; only the connection thread touches it. States: reading a request, waiting for its answer, writing
// it, lingering (the last answer is written and our side is closed; the client is given time to read it).
class Session : public std::enable_shared_from_this<Session> {
public:
    enum class State { reading, waiting, writing, lingering, closed };

    Session(boost::asio::ip::tcp::socket socket, std::shared_ptr<ListenerShared> shared)
        : stream_(std::move(socket)), linger_timer_(stream_.get_executor()), shared_(std::move(shared)) {
        session_registry().add(this);
        boost::system::error_code ignored;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        unsigned int patience_ms = 5000;
        setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &patience_ms, sizeof patience_ms);
    }
    ~Session() { session_registry().remove(this); }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    // Whether a request that was read, in whole or in part, has no complete answer.
    bool busy() const {
        return state_ == State::waiting || state_ == State::writing || (state_ == State::reading && begun_);
    }
    void read_next() {
        change_state(State::reading);
        parser_.emplace();
        parser_->header_limit(std::uint32_t(shared_->limits.head_bytes));
        parser_->body_limit(shared_->limits.body_bytes);
        begun_ = buffer_.size() > 0;
        stream_.expires_after(
            std::chrono::microseconds(begun_ || number_ == 0 ? shared_->limits.head_wait : shared_->limits.idle_wait));
        read_some();
    }
    boost::asio::any_io_executor executor() { return stream_.get_executor(); }
    // An answer to another request than the one that waits now is dropped.
    void write(std::uint64_t number, std::string bytes, bool keep) {
        if (state_ != State::waiting || number != number_) return counters().add("answers_undeliverable");
        change_state(State::writing);
        answer_ = std::move(bytes);
        keep = keep && keep_;
        stream_.expires_after(std::chrono::seconds(10));
        boost::asio::async_write(stream_, boost::asio::buffer(answer_),
                                 [self = shared_from_this(), keep](boost::system::error_code error, size_t) {
                                     if (error) return self->close();
                                     if (!keep) return self->linger();
                                     self->read_next();
                                 });
    }

private:
    void change_state(State state) { state_ = state; }
    void close() {
        if (state_ == State::closed) return;
        change_state(State::closed);
        linger_timer_.cancel();
        boost::system::error_code ignored;
        stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        stream_.close();
    }
    // A connection that is closed with unread bytes in it is reset, and the reset may overtake the answer. So only our
    // own side is closed at first, and the rest once the client has closed its own, or has had time to read. What the
    // client sent behind its last request is never read: it was told that the connection ends.
    void linger() {
        change_state(State::lingering);
        boost::system::error_code ignored;
        stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        linger_timer_.expires_after(linger_most);
        linger_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) self->close();
        });
        stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                    [self = shared_from_this()](boost::system::error_code error) {
                                        if (error || !self->holds_unread()) self->close();
                                    });
    }
    bool holds_unread() {
        char byte;
        return recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }
    void read_some() {
        boost::beast::http::async_read_some(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](boost::system::error_code error, size_t) { self->take_some(error); });
    }
    void take_some(boost::system::error_code error) {
        namespace http = boost::beast::http;
        if (error == http::error::header_limit) return refuse(431);
        if (error == http::error::body_limit) return refuse(413);
        if (error && error != http::error::need_more &&
            error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message)
            return refuse(400);
        if (error && error != http::error::need_more) return close();
        if (parser_->is_done()) return hand_over();
        if (!begun_) {
            begun_ = true;
            stream_.expires_after(std::chrono::microseconds(shared_->limits.head_wait));
        }
        if (parser_->is_header_done() && !continued_ && parser_->get()[http::field::expect] == "100-continue") {
            continued_ = true;
            answer_ = "HTTP/1.1 100 Continue\r\n\r\n";
            return boost::asio::async_write(stream_, boost::asio::buffer(answer_),
                                            [self = shared_from_this()](boost::system::error_code failed, size_t) {
                                                if (failed) return self->close();
                                                self->read_some();
                                            });
        }
        read_some();
    }
    void refuse(int code) {
        counters().add("requests_malformed");
        change_state(State::waiting);
        ++number_;
        Reply(shared_from_this(), number_, true).send(Response::plain(code));
    }
    void hand_over() {
        namespace http = boost::beast::http;
        auto message = parser_->release();
        parser_.reset();
        change_state(State::waiting);
        stream_.expires_never();
        ++number_;
        continued_ = false;
        keep_ = message.keep_alive();
        Request request;
        request.method = std::string(message.method_string());
        request.path = std::string(message.target());
        request.head_bytes = request.method.size() + request.path.size() + 12;
        for (const auto& field : message)
            request.head_bytes += field.name_string().size() + field.value().size() + 4;
        if (size_t mark = request.path.find('?'); mark != std::string::npos) request.path.resize(mark);
        request.host = std::string(message[http::field::host]);
        if (size_t port = request.host.rfind(':'); port != std::string::npos) request.host.resize(port);
        request.if_match = std::string(message[http::field::if_match]);
        request.deadline_ms = std::string(message["X-Deadline-Ms"]);
        request.body = std::move(message.body());
        // A request that came with this one is answered too, so the connection can't end here.
        const bool last = shared_->closing && buffer_.size() == 0;
        request.reply = Reply(shared_from_this(), number_, last);
        if (!shared_->take) return close();
        shared_->take(std::move(request));
    }

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer linger_timer_;
    std::shared_ptr<ListenerShared> shared_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::string answer_;
    State state_ = State::reading;
    std::uint64_t number_ = 0;  // of the request on this connection
    bool begun_ = false, continued_ = false, keep_ = true;
};

bool SessionRegistry::any_busy() {
    std::lock_guard guard(lock_);
    return std::any_of(sessions_.begin(), sessions_.end(), [](const Session* session) { return session->busy(); });
}

Reply::Reply(std::shared_ptr<Session> session, std::uint64_t number, bool closing)
    : session_(std::move(session)), number_(number), closing_(closing), open_(true) {}

Reply::Reply(Reply&& other) noexcept {
    *this = std::move(other);
}

Reply& Reply::operator=(Reply&& other) noexcept {
    session_ = std::move(other.session_);
    number_ = other.number_;
    closing_ = other.closing_;
    open_ = std::exchange(other.open_, false);
    return *this;
}

void Reply::send(const Response& response) {
    if (!std::exchange(open_, false)) return;
    std::shared_ptr<Session> session = std::move(session_);
    std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", response.code,
                                    std::string_view(boost::beast::http::obsolete_reason(
                                        boost::beast::http::int_to_status(unsigned(response.code)))));
    switch (response.form) {
        case Response::Form::json:
            bytes += "Content-Type: application/json\r\n";
            break;
        case Response::Form::cbor:
            bytes += "Content-Type: application/octet-stream\r\n";
            break;
        case Response::Form::text:
            bytes += "Content-Type: text/plain\r\n";
            break;
        case Response::Form::none:
            break;
    }
    if (response.retry_after_s > 0)
        fmt::format_to(std::back_inserter(bytes), "Retry-After: {}\r\n", response.retry_after_s);
    if (!response.location.empty()) fmt::format_to(std::back_inserter(bytes), "Location: {}\r\n", response.location);
    if (closing_) bytes += "Connection: close\r\n";
    fmt::format_to(std::back_inserter(bytes), "Content-Length: {}\r\n\r\n", response.body.size());
    bytes += response.body;
    auto executor = session->executor();
    boost::asio::dispatch(executor, [session = std::move(session), number = number_, bytes = std::move(bytes),
                                     keep = !closing_]() mutable { session->write(number, std::move(bytes), keep); });
}

struct Listener::Accepting : std::enable_shared_from_this<Accepting> {
    explicit Accepting(boost::asio::io_context& context) : acceptor(context), pause(context) {}
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer pause;
    std::shared_ptr<ListenerShared> shared;
    bool stopped = false;
    void next() {
        if (stopped) return;
        acceptor.async_accept(
            [self = shared_from_this()](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (self->stopped) return;
                if (!error) {
                    std::make_shared<Session>(std::move(socket), self->shared)->read_next();
                    return self->next();
                }
                // Out of descriptors: those that are open go on.
                counters().add("accepts_failed");
                self->pause.expires_after(std::chrono::milliseconds(50));
                self->pause.async_wait([self](boost::system::error_code) { self->next(); });
            });
    }
};

Listener::Listener(const std::string& address, const Limits& limits, Take take)
    : shared_(std::make_shared<ListenerShared>()), accepting_(std::make_shared<Accepting>(connection_thread())) {
    using boost::asio::ip::tcp;
    shared_->limits = limits;
    shared_->take = std::move(take);
    size_t colon = address.rfind(':');
    if (colon == std::string::npos) throw std::runtime_error("needs the form IP:PORT");
    tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                           std::uint16_t(std::stoi(address.substr(colon + 1))));
    accepting_->acceptor.open(endpoint.protocol());
    accepting_->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    accepting_->acceptor.bind(endpoint);
    accepting_->shared = shared_;
}

Listener::~Listener() {
    auto stop = [this] {
        boost::system::error_code ignored;
        accepting_->acceptor.close(ignored);
        accepting_->pause.cancel();
        accepting_->stopped = true;
        shared_->take = nullptr;
    };
    if (accepting_->acceptor.get_executor()
            .target<boost::asio::io_context::executor_type>()
            ->running_in_this_thread()) {
        stop();
        return;
    }
    std::promise<void> stopped;
    boost::asio::post(accepting_->acceptor.get_executor(), [&] {
        stop();
        stopped.set_value();
    });
    stopped.get_future().wait();
}

void Listener::open() {
    accepting_->acceptor.listen(512);
    boost::asio::post(accepting_->acceptor.get_executor(), [accepting = accepting_] { accepting->next(); });
}

void Listener::close_gently() {
    shared_->closing = true;
}

namespace {

// Looks again and again until every request has its answer, or the time is up.
struct Finishing : std::enable_shared_from_this<Finishing> {
    explicit Finishing(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    std::chrono::steady_clock::time_point until;
    std::function<void()> then;

    void look() {
        if (!session_registry().any_busy() || std::chrono::steady_clock::now() >= until) return then();
        timer.expires_after(finish_interval);
        timer.async_wait([self = shared_from_this()](boost::system::error_code) { self->look(); });
    }
};

}  // namespace

void Listener::finish(Micros patience, std::function<void()> then) {
    auto finishing = std::make_shared<Finishing>(connection_thread());
    finishing->until = std::chrono::steady_clock::now() + std::chrono::microseconds(patience);
    finishing->then = std::move(then);
    boost::asio::post(connection_thread(), [finishing] { finishing->look(); });
}

}  // namespace calicostall
