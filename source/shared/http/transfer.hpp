// One request under way: its curl handle, its deadline, and that at most one copy of it reaches the wire.
#pragma once
#include "common.hpp"
#include "shared/http/client_request.hpp"
#include "shared/http/curl_handle.hpp"
#include "shared/http/socket_table.hpp"

namespace calicostall {

// Not thread-safe: only the loop's thread uses it. Its address must not change, since libcurl's callbacks get it.
class Transfer {
public:
    // Takes a fitting handle out of the cache, or configures a new one. Both references must outlive the transfer.
    Transfer(ClientRequest request, ResponseHandler on_response, SocketTable& sockets, CurlHandleCache& handles);
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    CURL* easy() const { return handle_.easy.get(); }
    // Sets libcurl's timeouts to what is left until the deadline; to be called before each submission.
    void set_timeouts();
    // After a failure: whether the request is to be submitted again, on another connection, since nothing of it was
    // sent on an unusable one and there is time left.
    bool prepare_retry();
    // Gives the handle back to the cache, then calls the response handler.
    void finish(CURLcode result);

private:
    std::string handle_kind() const;
    void configure_handle();
    void configure_headers();
    void set_request_options();

    // Callbacks of libcurl.
    static size_t append_body(char* data, size_t size, size_t count, void* body);
    static curl_socket_t open_socket(void* sockets, curlsocktype purpose, curl_sockaddr* peer);
    static int close_socket(void* sockets, curl_socket_t socket);
    static int before_request(void* transfer, char* peer_address, char* local_address, int peer_port, int local_port);

    ClientRequest request_;
    ResponseHandler on_response_;
    SocketTable& sockets_;
    CurlHandleCache& handles_;
    std::string handle_kind_;
    CurlHandle handle_;
    std::string response_body_;
    Micros deadline_;
    size_t retries_ = 0;
    bool may_have_been_sent_ = false;
    bool is_connection_unusable_ = false;  // the connection that libcurl offered last
};

}  // namespace calicostall
