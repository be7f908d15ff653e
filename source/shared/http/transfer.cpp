#include "shared/http/transfer.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shared/diagnostics/log.hpp"
#include "shared/time/clock.hpp"

namespace calicostall {

namespace {

// Until a connection whose bytes the peer does not acknowledge counts as dead (TCP_USER_TIMEOUT).
constexpr unsigned int tcp_user_timeout_ms = 3000;
constexpr Micros max_connect_time = milliseconds(500);
// A retry sooner before the deadline could not be answered in time.
constexpr Micros min_retry_time = milliseconds(1);
// After as many retries on connections that libcurl kept, a new connection is made.
constexpr size_t max_retries_on_kept_connections = 3;

long to_curl_milliseconds(Micros duration) {
    return std::max<long>(1, long(duration / 1000));
}

}  // namespace

Transfer::Transfer(ClientRequest request, ResponseHandler on_response, SocketTable& sockets, CurlHandleCache& handles)
    : request_(std::move(request)),
      on_response_(std::move(on_response)),
      sockets_(sockets),
      handles_(handles),
      handle_kind_(handle_kind()),
      deadline_(steady_now() + request_.timeout) {
    if (std::optional<CurlHandle> idle = handles_.take(handle_kind_))
        handle_ = std::move(*idle);
    else
        configure_handle();
    set_request_options();
}

std::string Transfer::handle_kind() const {
    std::string kind = request_.method + " " + request_.url + " " + request_.content_type;
    for (const std::string& header : request_.headers)
        kind += "\n" + header;
    return kind;
}

void Transfer::configure_handle() {
    handle_.easy.reset(curl_easy_init());
    curl_easy_setopt(easy(), CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(easy(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy(), CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy(), CURLOPT_OPENSOCKETFUNCTION, &Transfer::open_socket);
    curl_easy_setopt(easy(), CURLOPT_OPENSOCKETDATA, &sockets_);
    curl_easy_setopt(easy(), CURLOPT_CLOSESOCKETFUNCTION, &Transfer::close_socket);
    curl_easy_setopt(easy(), CURLOPT_CLOSESOCKETDATA, &sockets_);
    curl_easy_setopt(easy(), CURLOPT_PREREQFUNCTION, &Transfer::before_request);
    curl_easy_setopt(easy(), CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy(), CURLOPT_WRITEFUNCTION, &Transfer::append_body);
    configure_headers();
    if (request_.method != "POST") curl_easy_setopt(easy(), CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void Transfer::configure_headers() {
    auto add = [this](const std::string& line) {
        handle_.headers.reset(curl_slist_append(handle_.headers.release(), line.c_str()));
    };
    if (request_.has_body()) {
        curl_easy_setopt(easy(), CURLOPT_POST, 1L);
        add(fmt::format("Content-Type: {}", request_.content_type));
        add("Expect:");
    }
    add("Accept:");
    // Some servers close after each response unless they are asked to keep the connection.
    add("Connection: Keep-Alive");
    for (const std::string& header : request_.headers)
        add(header);
    curl_easy_setopt(easy(), CURLOPT_HTTPHEADER, handle_.headers.get());
}

void Transfer::set_request_options() {
    curl_easy_setopt(easy(), CURLOPT_WRITEDATA, &response_body_);
    curl_easy_setopt(easy(), CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy(), CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy(), CURLOPT_FRESH_CONNECT, 0L);
    if (!request_.has_body()) return;
    curl_easy_setopt(easy(), CURLOPT_POSTFIELDS, request_.body.c_str());
    curl_easy_setopt(easy(), CURLOPT_POSTFIELDSIZE, long(request_.body.size()));
}

void Transfer::set_timeouts() {
    const Micros remaining = deadline_ - steady_now();
    curl_easy_setopt(easy(), CURLOPT_TIMEOUT_MS, to_curl_milliseconds(remaining));
    curl_easy_setopt(easy(), CURLOPT_CONNECTTIMEOUT_MS, to_curl_milliseconds(std::min(remaining, max_connect_time)));
}

bool Transfer::prepare_retry() {
    if (!is_connection_unusable_ || deadline_ - steady_now() < min_retry_time) return false;
    counters().add("connections_unclean");
    is_connection_unusable_ = false;
    if (++retries_ >= max_retries_on_kept_connections) curl_easy_setopt(easy(), CURLOPT_FRESH_CONNECT, 1L);
    return true;
}

void Transfer::finish(CURLcode result) {
    ClientResponse response;
    if (result == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy(), CURLINFO_RESPONSE_CODE, &status);
        response = {ClientResponse::Outcome::answered, int(status), std::move(response_body_)};
    } else {
        response.outcome = may_have_been_sent_ ? ClientResponse::Outcome::unknown : ClientResponse::Outcome::not_sent;
        counters().add("sends_without_answer");
    }
    handles_.store(std::move(handle_kind_), std::move(handle_));
    if (on_response_) on_response_(std::move(response));
}

size_t Transfer::append_body(char* data, size_t size, size_t count, void* body) {
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
}

curl_socket_t Transfer::open_socket(void* sockets, curlsocktype, curl_sockaddr* peer) {
    curl_socket_t opened = ::socket(peer->family, peer->socktype, peer->protocol);
    if (opened == CURL_SOCKET_BAD) return opened;
    setsockopt(opened, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms, sizeof tcp_user_timeout_ms);
    static_cast<SocketTable*>(sockets)->on_opened(opened, peer->addr);
    return opened;
}

int Transfer::close_socket(void* sockets, curl_socket_t socket) {
    static_cast<SocketTable*>(sockets)->on_closed(socket);
    return ::close(socket);
}

// libcurl calls this when a connection is ready, before the first byte of each request that it sends on it.
int Transfer::before_request(void* data, char* peer_address, char* local_address, int peer_port, int local_port) {
    Transfer& transfer = *static_cast<Transfer*>(data);
    if (transfer.may_have_been_sent_) {
        // A kept connection ended without a response, and libcurl would send the request again.
        counters().add("repeats_prevented");
        return CURL_PREREQFUNC_ABORT;
    }
    const ConnectionEndpoints endpoints{{local_address, local_port}, {peer_address, peer_port}};
    if (transfer.sockets_.check(endpoints) == SocketTable::Reusability::unusable) {
        transfer.is_connection_unusable_ = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.may_have_been_sent_ = true;
    return CURL_PREREQFUNC_OK;
}

}  // namespace calicostall
