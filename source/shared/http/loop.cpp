#include "shared/http/loop.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace calicostall {

namespace {

constexpr unsigned int unacknowledged_most_ms = 3000;  // until a connection counts as dead
constexpr Micros connect_most = milliseconds(500);

// No text and port 0 for a family that is not of the internet.
SocketAddress numeric(const sockaddr& address) {
    char text[INET6_ADDRSTRLEN] = "";
    if (address.sa_family == AF_INET) {
        const auto& four = reinterpret_cast<const sockaddr_in&>(address);
        return {inet_ntop(AF_INET, &four.sin_addr, text, sizeof text), ntohs(four.sin_port)};
    }
    if (address.sa_family == AF_INET6) {
        const auto& six = reinterpret_cast<const sockaddr_in6&>(address);
        return {inet_ntop(AF_INET6, &six.sin6_addr, text, sizeof text), ntohs(six.sin6_port)};
    }
    return {};
}

// Also after the peer has reset the connection, when the system no longer tells the peer.
SocketAddress local_end_of(curl_socket_t socket) {
    sockaddr_storage storage{};
    auto* address = reinterpret_cast<sockaddr*>(&storage);
    socklen_t size = sizeof storage;
    if (getsockname(socket, address, &size) != 0) return {};
    return numeric(*address);
}

long whole_ms(Micros time) {
    return std::max<long>(1, long(time / 1000));
}

}  // namespace

// --- SocketTable ---

void SocketTable::opened(curl_socket_t socket, const sockaddr& peer) {
    closed(socket);
    unnamed_[socket] = numeric(peer);
}

void SocketTable::closed(curl_socket_t socket) {
    unnamed_.erase(socket);
    auto known = ends_of_.find(socket);
    if (known == ends_of_.end()) return;
    auto named = by_ends_.find(known->second);
    if (named != by_ends_.end() && named->second == socket) by_ends_.erase(named);
    ends_of_.erase(known);
}

SocketTable::Rest SocketTable::look(const ConnectionEnds& ends) {
    std::optional<curl_socket_t> socket = find(ends);
    if (!socket) return Rest::clean;
    char byte;
    ssize_t got = recv(*socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool nothing_there = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return nothing_there ? Rest::clean : Rest::unclean;
}

std::optional<curl_socket_t> SocketTable::find(const ConnectionEnds& ends) {
    // First the new ones: after a reset the system may give both ends to another connection.
    for (const auto& [socket, peer] : unnamed_) {
        if (peer != ends.peer || local_end_of(socket) != ends.local) continue;
        const curl_socket_t found = socket;
        unnamed_.erase(found);
        by_ends_[ends] = found;
        ends_of_[found] = ends;
        return found;
    }
    auto known = by_ends_.find(ends);
    return known == by_ends_.end() ? std::nullopt : std::optional(known->second);
}

// --- Loop ---

Loop::Loop(long connections_most) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, connections_most);
}

void Loop::ask(Ask ask, Then then) {
    {
        std::lock_guard guard(lock_);
        asks_.emplace_back(std::move(ask), std::move(then));
    }
    wake();
}

void Loop::after(Micros wait, std::function<void()> act) {
    bool sooner;
    {
        std::lock_guard guard(lock_);
        Micros due = steady_now() + wait;
        timers_.emplace(due, std::move(act));
        sooner = due < sleeps_until_;
    }
    if (sooner) wake();
}

void Loop::run() {
    runner_ = std::this_thread::get_id();
    while (true) {
        begin_asks();
        int running = 0;
        curl_multi_perform(multi_, &running);
        finish_asks();
        run_timers();
        curl_multi_poll(multi_, nullptr, 0, wait_ms(), nullptr);
        woken_ = false;
    }
}

// Many asks of other threads wake the loop once.
void Loop::wake() {
    if (std::this_thread::get_id() != runner_ && !woken_.exchange(true)) curl_multi_wakeup(multi_);
}

int Loop::wait_ms() {
    std::lock_guard guard(lock_);
    Micros now = steady_now(), wait = seconds(1);
    if (!timers_.empty()) wait = std::clamp<Micros>(timers_.begin()->first - now, 0, wait);
    if (!asks_.empty()) wait = 0;
    sleeps_until_ = now + wait;
    return int((wait + 999) / 1000);
}

void Loop::begin_asks() {
    std::deque<std::pair<Ask, Then>> fresh;
    {
        std::lock_guard guard(lock_);
        fresh.swap(asks_);
    }
    for (auto& [ask, then] : fresh)
        begin(std::move(ask), std::move(then));
}

void Loop::begin(Ask ask, Then then) {
    auto call = std::make_unique<Call>();
    call->loop = this;
    call->ask = std::move(ask);
    call->then = std::move(then);
    call->until = steady_now() + call->ask.patience;
    call->kind = call->ask.method + " " + call->ask.url + " " + call->ask.form;
    for (const std::string& header : call->ask.headers)
        call->kind += "\n" + header;
    auto kept = kept_.find(call->kind);
    if (kept != kept_.end()) {
        call->easy = kept->second.easy;
        call->headers = kept->second.headers;
        kept_.erase(kept);
    } else {
        make_ready(*call);
    }
    CURL* easy = call->easy;
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call->body);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call.get());
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, call.get());
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 0L);
    if (has_body(call->ask)) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->ask.body.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, long(call->ask.body.size()));
    }
    start(std::move(call));
}

void Loop::start(std::unique_ptr<Call> call) {
    CURL* easy = call->easy;
    Micros left = call->until - steady_now();
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, whole_ms(left));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, whole_ms(std::min(left, connect_most)));
    curl_multi_add_handle(multi_, easy);
    calls_.emplace(easy, std::move(call));
}

void Loop::make_ready(Call& call) {
    CURL* easy = call.easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, call.ask.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Loop::open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Loop::close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Loop::before_request);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Loop::take_bytes);
    if (has_body(call.ask)) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        call.headers = curl_slist_append(call.headers, fmt::format("Content-Type: {}", call.ask.form).c_str());
        call.headers = curl_slist_append(call.headers, "Expect:");
    }
    call.headers = curl_slist_append(call.headers, "Accept:");
    // Some servers close after each answer unless they are asked to stay.
    call.headers = curl_slist_append(call.headers, "Connection: Keep-Alive");
    if (call.ask.method != "POST") curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.ask.method.c_str());
    for (const std::string& header : call.ask.headers)
        call.headers = curl_slist_append(call.headers, header.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.headers);
}

void Loop::keep(Call& call) {
    if (kept_.size() >= handles_kept_most) {
        drop(kept_.begin()->second);
        kept_.erase(kept_.begin());
    }
    kept_.emplace(std::move(call.kind), Kept{call.easy, call.headers});
}

void Loop::drop(Kept kept) {
    curl_easy_cleanup(kept.easy);
    curl_slist_free_all(kept.headers);
}

void Loop::finish_asks() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) continue;
        CURLcode result = message->data.result;
        auto found = calls_.find(message->easy_handle);
        std::unique_ptr<Call> call = std::move(found->second);
        calls_.erase(found);
        curl_multi_remove_handle(multi_, call->easy);
        if (result != CURLE_OK && call->unclean && restart(call)) continue;
        finish(std::move(call), result);
    }
}

void Loop::finish(std::unique_ptr<Call> call, CURLcode result) {
    Answer answer;
    if (result == CURLE_OK) {
        long code = 0;
        curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &code);
        answer = {Answer::Fate::answered, int(code), std::move(call->body)};
    } else {
        answer.fate = call->sent ? Answer::Fate::unknown : Answer::Fate::refused;
        counters().add("sends_without_answer");
    }
    keep(*call);
    if (call->then) call->then(std::move(answer));
}

bool Loop::restart(std::unique_ptr<Call>& call) {
    if (call->until - steady_now() < milliseconds(1)) return false;
    counters().add("connections_unclean");
    call->unclean = false;
    if (++call->restarts >= restarts_on_kept) curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
    start(std::move(call));
    return true;
}

void Loop::run_timers() {
    while (true) {
        std::function<void()> act;
        {
            std::lock_guard guard(lock_);
            if (timers_.empty() || timers_.begin()->first > steady_now()) return;
            act = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
        }
        act();
    }
}

size_t Loop::take_bytes(char* data, size_t size, size_t count, void* body) {
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
}

curl_socket_t Loop::open_socket(void* loop, curlsocktype, curl_sockaddr* peer) {
    curl_socket_t opened = ::socket(peer->family, peer->socktype, peer->protocol);
    if (opened == CURL_SOCKET_BAD) return opened;
    setsockopt(opened, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_most_ms, sizeof unacknowledged_most_ms);
    static_cast<Loop*>(loop)->sockets_.opened(opened, peer->addr);
    return opened;
}

int Loop::close_socket(void* loop, curl_socket_t socket) {
    static_cast<Loop*>(loop)->sockets_.closed(socket);
    return ::close(socket);
}

// libcurl calls this when a connection is ready, before the first byte of each request that it sends on it.
int Loop::before_request(void* data, char* peer_address, char* local_address, int peer_port, int local_port) {
    Call& call = *static_cast<Call*>(data);
    if (call.sent) {
        // A kept connection ended without an answer, and libcurl would send the request again.
        counters().add("repeats_prevented");
        return CURL_PREREQFUNC_ABORT;
    }
    if (call.loop->sockets_.look({{local_address, local_port}, {peer_address, peer_port}}) ==
        SocketTable::Rest::unclean) {
        call.unclean = true;
        return CURL_PREREQFUNC_ABORT;
    }
    call.sent = true;
    return CURL_PREREQFUNC_OK;
}

}  // namespace calicostall
