#include "hollow/simulator_loop.hpp"

namespace calicostall {

namespace {

// An experiment has up to 2,000 agents, each with connections to several daemons.
constexpr size_t max_idle_connections = 16384;
// The head of a response as the daemons' listener writes it, without further headers.
constexpr size_t response_head_bytes = 110;

size_t request_bytes(const ClientRequest& request, const std::string& address, const std::string& path) {
    const std::string head = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
                                         request.method, path, address, request.content_type, request.body.size());
    return head.size() + request.body.size();
}

}  // namespace

TrafficCounters& TrafficCounters::operator+=(const TrafficCounters& more) {
    requests += more.requests;
    unanswered += more.unanswered;
    sent_bytes += more.sent_bytes;
    received_bytes += more.received_bytes;
    return *this;
}

SimulatorLoop::SimulatorLoop() : EventLoop(max_idle_connections) {}

void SimulatorLoop::register_worker(const std::string& address, WorkerHandler handler) {
    workers_[address] = std::move(handler);
}

void SimulatorLoop::send(ClientRequest request, ResponseHandler on_response) {
    const std::string_view scheme = "http://";
    const std::string_view target = std::string_view(request.url).substr(scheme.size());
    const size_t slash = target.find('/');
    const std::string address(target.substr(0, slash));
    std::string path(target.substr(slash));
    if (auto found = workers_.find(address); found != workers_.end())
        return found->second(std::move(path), std::move(request), std::move(on_response));
    const std::string kind = path.starts_with("/team") ? "client " + request.method : path;
    const size_t sent_bytes = request_bytes(request, address, path);
    auto count_response = [this, kind, sent_bytes, on_response = std::move(on_response)](ClientResponse response) {
        count(kind, sent_bytes, response);
        if (on_response) on_response(std::move(response));
    };
    EventLoop::send(std::move(request), std::move(count_response));
}

void SimulatorLoop::count(const std::string& kind, size_t sent_bytes, const ClientResponse& response) {
    const bool is_answered = response.outcome == ClientResponse::Outcome::answered;
    const size_t received_bytes = is_answered ? response.body.size() + response_head_bytes : 0;
    std::lock_guard guard(traffic_lock_);
    traffic_[kind] += {1, !is_answered, sent_bytes, received_bytes};
}

void SimulatorLoop::add_traffic(TrafficByKind& sum) const {
    std::lock_guard guard(traffic_lock_);
    for (const auto& [kind, counters] : traffic_)
        sum[kind] += counters;
}

}  // namespace calicostall
