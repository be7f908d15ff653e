// One incoming HTTP connection: reads requests, hands each to its listener's handler and writes the responses.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "common.hpp"
#include "shared/http/listener_state.hpp"
#include "shared/http/request.hpp"

namespace calicostall {

// Only the connection thread touches it. States: reading a request, awaiting its response, writing it, lingering (the
// last response is written and our side is closed; the client is given time to read it).
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener);
    ~ServerConnection();
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    // Begins to read the next request.
    void read_next_request();
    // Writes the response to a request; one to another request than the one that waits now is dropped.
    // `keep_alive`: whether the connection may serve another request.
    void write(std::uint64_t request_number, std::string bytes, bool keep_alive);
    // Whether a request that was read, completely or in part, has no complete response.
    bool has_unanswered_request() const;
    bool is_closed() const { return state_ == State::closed; }
    // Ends the connection if it waits for a next request of which nothing has come. Its client sees the end before the
    // process is gone; what it sends from here on is read and dropped, so that nothing is reset.
    void close_if_idle();
    boost::asio::any_io_executor executor() { return stream_.get_executor(); }

private:
    enum class State { reading, awaiting_response, writing, lingering, closed };
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_some();
    void on_read(boost::system::error_code error);
    void on_written(boost::system::error_code error, bool keep_alive);
    void send_continue();
    void dispatch_request();
    void reject(int code);
    // Closes our own side only, so that the client can read the last response.
    void linger();
    // Waits for what the client still sends, and drops it.
    void await_end_of_client();
    enum class Received { nothing, bytes, end };
    Received drop_received_bytes();
    void close();

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer linger_timer_;
    std::shared_ptr<ListenerState> listener_;
    boost::beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;
    std::string output_;
    State state_ = State::reading;
    std::uint64_t request_number_ = 0;  // of the request on this connection, from 1
    bool has_request_begun_ = false;
    bool has_sent_continue_ = false;
    bool is_keep_alive_ = true;
};

}  // namespace calicostall
