#include "control/daemon/bootstrap_coordinator.hpp"

#include "shared/wire/codec.hpp"

namespace calicostall {

namespace {

// Until the response to a request counts as lost.
constexpr Micros request_timeout = milliseconds(300);

}  // namespace

BootstrapCoordinator::BootstrapCoordinator(EventLoop& loop, std::recursive_mutex& mutex, Disk& disk, Replica& replica,
                                           IterationScheduler& iterations, const Settings& machine)
    : loop_(loop), mutex_(mutex), disk_(disk), replica_(replica), iterations_(iterations), machine_(machine) {}

void BootstrapCoordinator::start(const std::string& own_address) {
    bootstrap_.emplace(BootstrapSettings{.control_address = machine_.control_address,
                                         .replica_address = own_address,
                                         .seeds = machine_.seeds,
                                         .is_first_start = machine_.may_bootstrap,
                                         .is_eligible = machine_.is_quorum_member},
                       replica_);
    persist(bootstrap_->start());
}

void BootstrapCoordinator::change_seeds(const std::vector<std::string>& seeds) {
    if (bootstrap_) persist(bootstrap_->change_seeds(seeds));
}

bool BootstrapCoordinator::is_collecting_votes() const {
    return bootstrap_->state() == BootstrapState::collecting_votes;
}

void BootstrapCoordinator::send_messages(Micros now) {
    for (const BootstrapMessage& message : bootstrap_->requests_due(now))
        send(message);
}

void BootstrapCoordinator::send(const BootstrapMessage& message) {
    const std::string address = message.replica_address.empty() ? machine_.replica_address_of(message.control_address)
                                                                : message.replica_address;
    loop_.send(
        {.url = "http://" + address + "/inner/found", .body = encode(message.request), .timeout = request_timeout},
        [this, peer = message.control_address](const ClientResponse& response) {
            auto frame = response.is_ok() ? decode<BootstrapResponse>(response.body) : std::nullopt;
            std::lock_guard guard(mutex_);
            persist(bootstrap_->on_response(peer, frame ? &*frame : nullptr, steady_now()));
            iterations_.run();
        });
}

std::optional<Micros> BootstrapCoordinator::next_message_at() const {
    return bootstrap_->next_request_at();
}

void BootstrapCoordinator::on_request(const BootstrapRequest& request, std::function<void(BootstrapResponse)> respond) {
    auto [response, batch] = bootstrap_->on_request(request, steady_now());
    persist(std::move(batch), [respond = std::move(respond), response = std::move(response)] { respond(response); });
}

void BootstrapCoordinator::on_active_membership_observed() {
    persist(bootstrap_->on_active_membership_observed(steady_now()));
}

void BootstrapCoordinator::persist(WriteBatch batch, std::function<void()> on_persisted) {
    for (const std::string& line : bootstrap_->take_log_lines())
        log_line("control", "{}", line);
    if (batch.empty()) return disk_.enqueue(std::move(batch), std::move(on_persisted));
    auto on_synced = [this, on_persisted = std::move(on_persisted), sequence = bootstrap_->last_batch_sequence()] {
        on_persisted();
        loop_.run_after(0, [this, sequence] {
            std::lock_guard guard(mutex_);
            bootstrap_->mark_durable(sequence);
            iterations_.run();
        });
    };
    disk_.enqueue(std::move(batch), std::move(on_synced));
}

}  // namespace calicostall
