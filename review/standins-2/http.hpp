// HTTP/1.1 on loopback as far as the stand-ins of the second review need it: blocking sockets with deadlines.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <map>
#include <optional>
#include <string>

namespace standins {

using Clock = std::chrono::steady_clock;

// A request or a response: `first` and `second` are method and path, or version and status.
struct Message {
    std::string first, second;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
    int status() const { return std::atoi(second.c_str()); }
};

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool wait_for(int descriptor, short events, Clock::time_point deadline) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    if (left <= 0) return false;
    pollfd entry{descriptor, events, 0};
    return poll(&entry, 1, int(left)) > 0;
}

inline bool write_all(int descriptor, const std::string& bytes, Clock::time_point deadline) {
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += size_t(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR) return false;
        if (!wait_for(descriptor, POLLOUT, deadline)) return false;
    }
    return true;
}

// Reads until `buffer` has at least so many bytes; false at the end, at an error and at the deadline.
inline bool fill(int descriptor, std::string& buffer, Clock::time_point deadline) {
    if (!wait_for(descriptor, POLLIN, deadline)) return false;
    char bytes[65536];
    const ssize_t count = recv(descriptor, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer.append(bytes, size_t(count));
    return true;
}

// One message; what came behind it stays in `buffer`. Nothing when the connection ended or the time was up.
inline std::optional<Message> read_message(int descriptor, std::string& buffer, Clock::time_point deadline) {
    size_t head_end;
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!fill(descriptor, buffer, deadline)) return std::nullopt;
    Message message;
    const std::string head = buffer.substr(0, head_end + 2);
    buffer.erase(0, head_end + 4);
    size_t line_begin = 0;
    for (size_t line_end; (line_end = head.find("\r\n", line_begin)) != std::string::npos; line_begin = line_end + 2) {
        const std::string line = head.substr(line_begin, line_end - line_begin);
        if (line_begin == 0) {
            const size_t space = line.find(' ');
            const size_t next = line.find(' ', space + 1);
            message.first = line.substr(0, space);
            message.second = line.substr(space + 1, next == std::string::npos ? next : next - space - 1);
            continue;
        }
        const size_t colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::string name = line.substr(0, colon);
        for (char& character : name)
            character = char(std::tolower(character));
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const size_t length = message.headers.contains("content-length") ? std::stoul(message.headers["content-length"]) : 0;
    while (buffer.size() < length)
        if (!fill(descriptor, buffer, deadline)) return std::nullopt;
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return message;
}

using Headers = std::map<std::string, std::string>;

inline std::string format_request(const std::string& method, const std::string& path, const std::string& body,
                                  const Headers& headers) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty()) text += "Content-Type: application/json\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline int connect_to(const std::string& ip, int port, Clock::time_point deadline) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) return -1;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = address_of(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        int error = errno;
        socklen_t size = sizeof error;
        if (error == EINPROGRESS && wait_for(descriptor, POLLOUT, deadline))
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close(descriptor);
            return -1;
        }
    }
    return descriptor;
}

// One call on a connection of its own; nothing without a complete response in time.
inline std::optional<Message> call(const std::string& ip, int port, const std::string& method, const std::string& path,
                                   const std::string& body = {}, Headers headers = {}, double timeout_s = 1.0) {
    const auto deadline = Clock::now() + std::chrono::microseconds(std::int64_t(timeout_s * 1e6));
    const int descriptor = connect_to(ip, port, deadline);
    if (descriptor < 0) return std::nullopt;
    headers.try_emplace("Host", ip);
    std::optional<Message> response;
    std::string buffer;
    if (write_all(descriptor, format_request(method, path, body, headers), deadline))
        response = read_message(descriptor, buffer, deadline);
    close(descriptor);
    return response;
}

}  // namespace standins
