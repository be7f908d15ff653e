#include "control/daemon/control_daemon.hpp"

namespace calicostall {

namespace {

// Store messages may hold a whole configuration and many jobs; operators' calls hold one configuration.
constexpr size_t max_internal_body_bytes = 64 << 20, max_operator_body_bytes = 4 << 20;

}  // namespace

ControlDaemon::ControlDaemon(ControlSettings settings, EventLoop& loop)
    : settings_(std::move(settings)),
      loop_(loop),
      disk_(settings_.machine.data_dir, settings_.machine.disk_mb),
      detector_(settings_.detector, 0, 1, steady_now()),
      leader_(settings_.leader, ReplicaId{}),
      election_(settings_.election, detector_, leader_, replica_),
      suspicion_(settings_.suspicion),
      leadership_(leader_, election_, quorum_clock_),
      iterations_(settings_.iterations, loop_, mutex_, *this),
      ledger_(leader_, [this] { iterations_.mark_requested(); }),
      scheduler_(settings_.scheduler, ledger_),
      bootstrap_(loop_, mutex_, disk_, replica_, iterations_, settings_.machine),
      agents_(settings_.agents, loop_, scheduler_, leader_, leadership_, quorum_clock_),
      calls_({loop_, mutex_, scheduler_, leader_, leadership_, membership_, quorum_clock_, election_, iterations_,
              settings_.machine, [this](Micros now) { return is_in_contact(now); }},
             settings_.call_relay_timeout),
      watch_(settings_.watch),
      snapshots_(settings_.snapshots, scheduler_, leader_, leadership_, quorum_clock_) {
    add_internal_routes();
    add_operator_routes();
}

Findings ControlDaemon::open() {
    Findings findings;
    std::lock_guard guard(mutex_);
    const Micros now = steady_now();
    leadership_.set_own_address(settings_.machine.replica_address_of(settings_.machine.control_address));
    if (std::optional<DiskError> error = disk_.open(replica_)) {
        findings.add("data_dir", error->text);
        return findings;
    }
    const bool is_new_disk = replica_.replica_id.value == 0;
    if (is_new_disk) replica_.replica_id = generate_replica_id();
    if (is_new_disk && !disk_.write_replica_id(replica_.replica_id)) findings.add("data_dir", "takes no writes");
    leader_ = Leader(settings_.leader, replica_.replica_id);
    leader_.decode_membership = [](const std::string& encoded) { return decode<Membership>(encoded); };
    membership_manager_.emplace(settings_.membership, replica_.replica_id);
    disk_.start();
    bootstrap_.start(leadership_.own_address());
    election_.start(is_new_disk && settings_.machine.may_bootstrap, now);
    refresh_membership(now);
    log_line("control", "{}", describe_start());
    open_listeners(findings);
    if (settings_.logs_run_events)
        scheduler_.set_run_listener([this](RunEvent run_event) {
            run_event.wall_clock = quorum_clock_.wall_clock(steady_now());
            log_line("run", "{}", run_event.to_json());
        });
    iterations_.start();
    return findings;
}

std::string ControlDaemon::describe_start() const {
    const std::optional<size_t> rank = membership_.rank();
    return fmt::format("started replica_id={:x} registers={} promised_term={} rank={} members={}",
                       replica_.replica_id.value, replica_.registers.size(), replica_.promised_term.value,
                       rank ? std::to_string(*rank) : "none", membership_.membership().members.size());
}

void ControlDaemon::open_listeners(Findings& findings) {
    internal_listener_ =
        open_listener(leadership_.own_address(), max_internal_body_bytes, "port_range", internal_router_, findings);
    operator_listener_ = open_listener(settings_.machine.control_address, max_operator_body_bytes, "bind_addrs.control",
                                       operator_router_, findings);
}

std::unique_ptr<Listener> ControlDaemon::open_listener(const std::string& address, size_t max_body_bytes,
                                                       const char* setting, const RequestRouter& router,
                                                       Findings& findings) {
    try {
        auto listener = std::make_unique<Listener>(address, Listener::Limits{.max_body_bytes = max_body_bytes},
                                                   [&router](Request request) { router.route(std::move(request)); });
        listener->open();
        return listener;
    } catch (const std::exception& error) {
        findings.add(setting, fmt::format("{}: {}", address, error.what()));
        return nullptr;
    }
}

void ControlDaemon::apply_settings(const Settings& machine) {
    std::lock_guard guard(mutex_);
    settings_.machine.seeds = machine.seeds;
    bootstrap_.change_seeds(machine.seeds);
    if (leader_locator_) leader_locator_->add_seeds(known_replica_addresses());
}

}  // namespace calicostall
