#include "shared/http/server_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "shared/diagnostics/log.hpp"
#include "shared/http/connection_registry.hpp"
#include "shared/http/response_format.hpp"

namespace calicostall {

namespace {

namespace http = boost::beast::http;

// The longest that a connection is kept after its last response, for its client to read that and close.
constexpr auto max_linger = std::chrono::seconds(1);
// For a response, from its first byte to its last.
constexpr auto write_timeout = std::chrono::seconds(10);
// Until a connection whose bytes the client does not acknowledge counts as dead (TCP_USER_TIMEOUT).
constexpr unsigned int tcp_user_timeout_ms = 5000;

// Of what a client sends behind its last request, so much is taken at once.
constexpr size_t dropped_bytes_at_once = 4096;

constexpr int status_bad_request = 400;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;

// How a failed read is answered; nothing when the connection is just closed.
std::optional<int> rejection_status(boost::system::error_code error) {
    if (error == http::error::header_limit) return status_head_too_large;
    if (error == http::error::body_limit) return status_body_too_large;
    const bool is_parse_error = error.category() == http::make_error_code(http::error::bad_method).category();
    const bool is_end = error == http::error::end_of_stream || error == http::error::partial_message;
    if (is_parse_error && !is_end) return status_bad_request;
    return std::nullopt;
}

// The size of the request line and the headers; 12 stands for " " and " HTTP/1.1\r\n", 4 for ": " and "\r\n".
size_t head_size(const http::request<http::string_body>& message, const Request& request) {
    size_t bytes = request.method.size() + request.path.size() + 12;
    for (const auto& field : message)
        bytes += field.name_string().size() + field.value().size() + 4;
    return bytes;
}

Request make_request(http::request<http::string_body> message) {
    Request request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.head_bytes = head_size(message, request);
    if (size_t query = request.path.find('?'); query != std::string::npos) request.path.resize(query);
    request.host = std::string(message[http::field::host]);
    if (size_t port = request.host.rfind(':'); port != std::string::npos) request.host.resize(port);
    request.if_match = std::string(message[http::field::if_match]);
    request.deadline_ms = std::string(message["X-Deadline-Ms"]);
    request.body = std::move(message.body());
    return request;
}

}  // namespace

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener)
    : stream_(std::move(socket)), linger_timer_(stream_.get_executor()), listener_(std::move(listener)) {
    connection_registry().add(this);
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
               sizeof tcp_user_timeout_ms);
}

ServerConnection::~ServerConnection() {
    connection_registry().remove(this);
}

bool ServerConnection::has_unanswered_request() const {
    return state_ == State::awaiting_response || state_ == State::writing ||
           (state_ == State::reading && has_request_begun_);
}

// --- reading ---

void ServerConnection::read_next_request() {
    state_ = State::reading;
    const ListenerLimits& limits = listener_->limits;
    parser_.emplace();
    parser_->header_limit(std::uint32_t(limits.max_head_bytes));
    parser_->body_limit(limits.max_body_bytes);
    has_request_begun_ = buffer_.size() > 0;
    const bool is_first = request_number_ == 0;
    const Micros timeout = has_request_begun_ || is_first ? limits.request_timeout : limits.idle_timeout;
    stream_.expires_after(std::chrono::microseconds(timeout));
    read_some();
}

void ServerConnection::read_some() {
    auto on_done = [self = shared_from_this()](boost::system::error_code error, size_t) { self->on_read(error); };
    http::async_read_some(stream_, buffer_, *parser_, std::move(on_done));
}

void ServerConnection::on_read(boost::system::error_code error) {
    if (state_ != State::reading) return;  // it was ended while the read was under way
    if (error && error != http::error::need_more) {
        if (std::optional<int> status = rejection_status(error)) return reject(*status);
        return close();
    }
    if (parser_->is_done()) return dispatch_request();
    if (!has_request_begun_) {
        has_request_begun_ = true;
        stream_.expires_after(std::chrono::microseconds(listener_->limits.request_timeout));
    }
    const bool expects_continue =
        parser_->is_header_done() && !has_sent_continue_ && parser_->get()[http::field::expect] == "100-continue";
    if (expects_continue)
        send_continue();
    else
        read_some();
}

void ServerConnection::send_continue() {
    has_sent_continue_ = true;
    output_ = "HTTP/1.1 100 Continue\r\n\r\n";
    auto on_done = [self = shared_from_this()](boost::system::error_code error, size_t) {
        if (error) return self->close();
        self->read_some();
    };
    boost::asio::async_write(stream_, boost::asio::buffer(output_), std::move(on_done));
}

void ServerConnection::reject(int code) {
    counters().add("requests_malformed");
    state_ = State::awaiting_response;
    ++request_number_;
    Responder(shared_from_this(), request_number_, true).send(Response::plain(code));
}

void ServerConnection::dispatch_request() {
    auto message = parser_->release();
    parser_.reset();
    state_ = State::awaiting_response;
    stream_.expires_never();
    ++request_number_;
    has_sent_continue_ = false;
    is_keep_alive_ = message.keep_alive();
    Request request = make_request(std::move(message));
    // A request that came with this one is answered too, so the connection can't end here.
    const bool is_last = listener_->is_draining && buffer_.size() == 0;
    request.responder = Responder(shared_from_this(), request_number_, is_last);
    if (!listener_->handler) return close();
    listener_->handler(std::move(request));
}

// --- writing and closing ---

void ServerConnection::write(std::uint64_t request_number, std::string bytes, bool keep_alive) {
    if (state_ != State::awaiting_response || request_number != request_number_)
        return counters().add("answers_undeliverable");
    state_ = State::writing;
    output_ = std::move(bytes);
    stream_.expires_after(write_timeout);
    auto on_done = [self = shared_from_this(), keep_alive = keep_alive && is_keep_alive_](
                       boost::system::error_code error, size_t) { self->on_written(error, keep_alive); };
    boost::asio::async_write(stream_, boost::asio::buffer(output_), std::move(on_done));
}

void ServerConnection::on_written(boost::system::error_code error, bool keep_alive) {
    if (error) return close();
    if (!keep_alive) return linger();
    read_next_request();
}

// A connection that is closed with unread bytes in it is reset, and the reset may overtake the response. So only our
// own side is closed at first, and the rest once the client has closed its own, or has had time to read. What the
// client sent behind its last request is dropped unseen: it was told that the connection ends.
void ServerConnection::linger() {
    state_ = State::lingering;
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    linger_timer_.expires_after(max_linger);
    linger_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) self->close();
    });
    await_end_of_client();
}

void ServerConnection::await_end_of_client() {
    auto on_readable = [self = shared_from_this()](boost::system::error_code error) {
        if (self->state_ == State::closed) return;
        if (error || self->drop_received_bytes() == Received::end) return self->close();
        self->await_end_of_client();
    };
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read, std::move(on_readable));
}

ServerConnection::Received ServerConnection::drop_received_bytes() {
    std::array<char, dropped_bytes_at_once> bytes;
    const ssize_t count = recv(stream_.socket().native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) return Received::bytes;
    const bool is_interrupted = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return is_interrupted ? Received::nothing : Received::end;
}

void ServerConnection::close_if_idle() {
    const bool is_idle = state_ == State::reading && !has_request_begun_;
    if (!is_idle) return;
    char byte;
    if (recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return;
    stream_.expires_never();
    stream_.cancel();
    linger();
}

void ServerConnection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    linger_timer_.cancel();
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
}

// --- Responder ---

Responder::Responder(std::shared_ptr<ServerConnection> connection, std::uint64_t request_number, bool closes_connection)
    : connection_(std::move(connection)),
      request_number_(request_number),
      closes_connection_(closes_connection),
      is_open_(true) {}

Responder::Responder(Responder&& other) noexcept {
    *this = std::move(other);
}

Responder& Responder::operator=(Responder&& other) noexcept {
    connection_ = std::move(other.connection_);
    request_number_ = other.request_number_;
    closes_connection_ = other.closes_connection_;
    is_open_ = std::exchange(other.is_open_, false);
    return *this;
}

void Responder::send(const Response& response) {
    if (!std::exchange(is_open_, false)) return;
    std::shared_ptr<ServerConnection> connection = std::move(connection_);
    std::string bytes = format_response(response, closes_connection_);
    auto executor = connection->executor();
    auto write = [connection = std::move(connection), request_number = request_number_, bytes = std::move(bytes),
                  keep_alive = !closes_connection_]() mutable {
        connection->write(request_number, std::move(bytes), keep_alive);
    };
    boost::asio::dispatch(executor, std::move(write));
}

}  // namespace calicostall
