// How the leader and the control daemons outside the membership find each other (docs/discovery.md).
#include "control/daemon/control_daemon.hpp"
#include "shared/wire/discovery_messages.hpp"

namespace calicostall {

namespace {

// Until the response to an announcement or a registration counts as lost.
constexpr Micros discovery_timeout = milliseconds(500);

}  // namespace

void ControlDaemon::add_discovery_routes() {
    internal_router_.add<RegistrationRequest>("/inner/register",
                                              [this](const RegistrationRequest& request, Responder responder) {
                                                  responder.send(Response::plain(200));
                                                  std::lock_guard guard(mutex_);
                                                  on_registration_request(request, steady_now());
                                              });
    internal_router_.add<LeaderAnnouncement>("/inner/leader",
                                             [this](const LeaderAnnouncement& announcement, Responder responder) {
                                                 responder.send(Response::plain(200));
                                                 std::lock_guard guard(mutex_);
                                                 on_leader_announcement(announcement, steady_now());
                                             });
}

// --- the leader ---

void ControlDaemon::begin_directory(Micros now) {
    const auto found = leader_.registers().find(directory_key);
    directory_.begin_term(found == leader_.registers().end() ? nullptr : &found->second, now);
}

void ControlDaemon::on_registration_request(const RegistrationRequest& request, Micros now) {
    if (!leadership_.is_leading()) return;
    directory_.add(request.replica_address, now);
    iterations_.request();
}

void ControlDaemon::maintain_directory(Micros now) {
    if (std::optional<std::string> record = directory_.next_proposal(now)) {
        log_line("control", "directory changed daemons={}", directory_.size());
        ledger_.propose(directory_key, std::nullopt, Mutation{std::move(*record)}, [this](bool is_committed) {
            if (is_committed) directory_.on_committed();
        });
    }
    announce_leadership(now);
}

// A membership that is not committed yet may never be: it is not announced.
void ControlDaemon::announce_leadership(Micros now) {
    if (!leader_.membership_committed()) return;
    std::set<std::string> excluded{leadership_.own_address()};
    for (const Member& member : leader_.membership().members)
        excluded.insert(member.address);
    const std::vector<std::string> seeds = settings_.machine.seed_replicas();
    const LeaderAnnouncement announcement{leader_.term(), leadership_.own_address(), membership_.version()};
    for (const std::string& address : directory_.announcements_due(seeds, excluded, now)) {
        counters().add("announcements_sent");
        loop_.send(
            {.url = "http://" + address + "/inner/leader", .body = encode(announcement), .timeout = discovery_timeout},
            [this, address](const ClientResponse& response) {
                if (!response.is_ok()) return;
                std::lock_guard guard(mutex_);
                directory_.on_answered(address, steady_now());
            });
    }
}

// --- a daemon outside the membership ---

void ControlDaemon::on_leader_announcement(const LeaderAnnouncement& announcement, Micros now) {
    const bool is_in_contact = leader_locator_ && leader_locator_->is_in_contact(now);
    const ClusterKnowledge known{membership_.is_member(), is_in_contact, leadership_.known_term(),
                                 membership_.version()};
    if (!registration_.on_announcement(announcement, known, now)) return;
    if (bootstrap_.is_collecting_votes()) return bootstrap_.on_active_membership_observed();
    log_line("control", "leader announced term={} address={} membership_version={} was_in_contact={}",
             announcement.term.value, announcement.leader_address, announcement.membership_version, is_in_contact);
    start_leader_locator(known_replica_addresses());
    leader_locator_->consult(announcement.leader_address);
}

void ControlDaemon::register_with_leader(Micros now) {
    if (membership_.is_member() || !leader_locator_ || leader_locator_->leader().empty()) return;
    if (!leader_locator_->is_in_contact(now) || !registration_.try_request(now)) return;
    loop_.send({.url = "http://" + leader_locator_->leader() + "/inner/register",
                .body = encode(RegistrationRequest{leadership_.own_address()}),
                .timeout = discovery_timeout},
               nullptr);
}

}  // namespace calicostall
