#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

// Store messages may hold a whole configuration and many jobs; operators' calls hold one configuration.
constexpr size_t inner_body_bytes = 64 << 20, operator_body_bytes = 4 << 20;

}  // namespace

Control::Control(ControlSettings settings, Loop& loop)
    : settings_(std::move(settings)),
      loop_(loop),
      disk_(settings_.machine.folder, settings_.machine.disk_mb),
      detector_(settings_.detector, 0, 1, steady_now()),
      owner_(settings_.owner, Identity{}),
      election_(settings_.election, detector_, owner_, replica_),
      ledger_(owner_, [this] { turn_requested_ = true; }),
      scheduler_(settings_.scheduler, ledger_),
      suspicion_(settings_.suspicion),
      preview_reads_(settings_.preview_reads, settings_.snapshot),
      turn_pace_(settings_.turn_pace) {}

Findings Control::open() {
    Findings findings;
    std::lock_guard guard(lock_);
    const Micros now = steady_now();
    own_address_ = settings_.machine.replica_address(settings_.machine.control);
    if (std::string error = disk_.open(replica_); !error.empty()) {
        findings.add("data_dir", error);
        return findings;
    }
    const bool new_disk = replica_.identity.value == 0;
    if (new_disk) replica_.identity = draw_identity();
    if (new_disk && !disk_.write_identity(replica_.identity)) findings.add("data_dir", "takes no writes");
    owner_ = Owner(settings_.owner, replica_.identity);
    owner_.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
    core_keeper_.emplace(settings_.membership, replica_.identity);
    disk_.start();
    begin_founding();
    const bool founding = new_disk && settings_.machine.first_start;
    election_.start(founding, now);
    refresh_core(now);
    log_line("control", "{}", describe_start());
    open_listeners(findings);
    if (settings_.run_lines)
        scheduler_.tell_runs([this](RunLine line) {
            line.wall = core_clock_.wall(steady_now());
            log_line("run", "{}", line.line());
        });
    loop_.after(0, [this] { turn_on_timer(); });
    return findings;
}

std::string Control::describe_start() const {
    const std::string place = place_ ? fmt::format("place {} of {}", *place_, core_.members.size()) : "no member yet";
    return fmt::format("identity {:x}, {} registers, promised {}, {}", replica_.identity.value,
                       replica_.registers.size(), replica_.promised.value, place);
}

void Control::open_listeners(Findings& findings) {
    inner_listener_ =
        open_listener(own_address_, inner_body_bytes, "port_range", &Control::route_inner_request, findings);
    operator_listener_ = open_listener(settings_.machine.control, operator_body_bytes, "bind_addrs.control",
                                       &Control::route_operator_request, findings);
}

std::unique_ptr<Listener> Control::open_listener(const std::string& address, size_t body_bytes, const char* setting,
                                                 void (Control::*route)(Request), Findings& findings) {
    try {
        auto listener =
            std::make_unique<Listener>(address, Listener::Limits{.body_bytes = body_bytes},
                                       [this, route](Request request) { (this->*route)(std::move(request)); });
        listener->open();
        return listener;
    } catch (const std::exception& error) {
        findings.add(setting, fmt::format("{}: {}", address, error.what()));
        return nullptr;
    }
}

void Control::take_settings(const Settings& machine) {
    std::lock_guard guard(lock_);
    settings_.machine.seeds = machine.seeds;
    if (founding_) keep_founding(founding_->change_seeds(machine.seeds), [] {});
    if (locator_) locator_->add_seeds(known_replicas());
}

}  // namespace calicostall
