// Who belongs to the cluster: learning of changes, joining, and carrying out what MembershipManager decides.
#include "control/daemon/control_daemon.hpp"

namespace calicostall {

namespace {

// From the sending of an election's first message until a member that nobody grants a vote asks whether it is one.
constexpr Micros ungranted_vote_timeout = seconds(2);
// One outside the membership watches with polls of this length, so that it knows soon whether it is in contact.
constexpr Micros locate_poll_interval = seconds(1);

}  // namespace

void ControlDaemon::refresh_membership(Micros now) {
    auto found = replica_.registers.find("core");
    if (found != replica_.registers.end()) apply_membership(found->second, now);
}

void ControlDaemon::apply_membership(const Register& value, Micros now) {
    const std::optional<MembershipTracker::Change> change = membership_.adopt_if_later(value, replica_.replica_id);
    if (!change) return;
    const bool was_member = change->previous_rank.has_value();
    if (!was_member && membership_.is_member()) election_.begin_membership(now);
    if (change->has_same_members || !membership_.is_member()) return;
    // The detector goes on trusting the same member at its new rank.
    const Membership& membership = membership_.membership();
    const std::vector<Member>& previous = change->previous.members;
    size_t trusted_rank = 0;
    if (was_member && detector_.trusted_rank() < previous.size())
        trusted_rank = membership.rank_of(previous[detector_.trusted_rank()].replica_id).value_or(0);
    detector_.reorder(*membership_.rank(), membership.members.size(), trusted_rank, now);
    log_line("control", "membership changed members={} rank={}", membership.members.size(), *membership_.rank());
}

// Whom to ask for the membership: the seeds, and the members as this daemon knew them last. Seeds alone may all be
// outside the membership by now, and then nobody of them knows it.
std::vector<std::string> ControlDaemon::known_replica_addresses() const {
    const std::string& own_address = leadership_.own_address();
    std::vector<std::string> known = settings_.machine.seed_replicas(own_address);
    for (const Member& member : membership_.membership().members) {
        const bool is_new = std::find(known.begin(), known.end(), member.address) == known.end();
        if (is_new && member.address != own_address) known.push_back(member.address);
    }
    return known;
}

// A member that heard of its removal by the watch may still be needed: the removal may never have been committed. So
// it votes once no daemon in contact is heard of any more; a vote that isn't needed does no harm (see `Leader`).
bool ControlDaemon::may_grant_vote(ReplicaId candidate, Micros now) const {
    if (!graceful_shutdown_.is_participating()) return false;
    const Membership& membership = membership_.membership();
    if (membership_.is_member()) return election_.can_grant(candidate, membership);
    const bool hears_of_leader = leader_locator_ && leader_locator_->is_in_contact(now);
    return membership.find(replica_.replica_id) && !hears_of_leader;
}

// Others that know a later membership don't count this daemon among the members.
void ControlDaemon::notice_removal() {
    if (!membership_.is_member() || !leader_locator_) return;
    const auto [version, members] = leader_locator_->known_members();
    const bool is_listed = std::find(members.begin(), members.end(), leadership_.own_address()) != members.end();
    if (version <= membership_.version() || is_listed) return;
    log_line("control", "membership lost version={}", version);
    membership_.lose_rank();
    leader_.step_down();
}

// One outside the membership learns leader, members and configuration as fronts do, to pass calls and watches on. So
// does a member that nobody grants a term for long: it may have been removed while it was away, and then it asks to
// join again.
void ControlDaemon::locate_membership(Micros now) {
    notice_removal();
    const bool is_vote_ungranted = election_.ungranted_for(now) > ungranted_vote_timeout;
    if (membership_.is_member() && !is_vote_ungranted) return;
    if (bootstrap_.is_collecting_votes()) return;
    std::vector<std::string> seeds = known_replica_addresses();
    if (!seeds.empty()) start_leader_locator(std::move(seeds));
}

void ControlDaemon::start_leader_locator(std::vector<std::string> seeds) {
    if (leader_locator_) return;
    LeaderLocator::Settings settings{
        .own_name = settings_.machine.node_name, .seeds = std::move(seeds), .max_wait = locate_poll_interval};
    leader_locator_ = std::make_unique<LeaderLocator>(std::move(settings), loop_, [this] {
        std::lock_guard guard(mutex_);
        on_located();
    });
    leader_locator_->start();
}

void ControlDaemon::on_located() {
    const Term term = leader_locator_->term();
    if (term.value != 0) update_known_leader(term, leader_locator_->leader());
    if (!leader_locator_->known_members().second.empty()) bootstrap_.on_active_membership_observed();
    iterations_.run();
}

// Only a daemon with a disk that counts asks to join: the leader, and whoever may know it.
void ControlDaemon::request_join(Micros now) {
    if (membership_.is_member() || bootstrap_.is_collecting_votes() || now < next_join_at_) return;
    if (election_.is_shutting_down() || !settings_.machine.is_quorum_member) return;
    next_join_at_ = now + settings_.join_interval;
    const JoinRequest request{replica_.replica_id, leadership_.own_address(), settings_.machine.control_address, false};
    for (const std::string& address : join_addresses())
        loop_.send({.url = "http://" + address + "/inner/join", .body = encode(request)}, nullptr);
}

std::set<std::string> ControlDaemon::join_addresses() const {
    const std::vector<std::string> known = known_replica_addresses();
    std::set<std::string> addresses(known.begin(), known.end());
    if (leader_locator_) {
        const auto members = leader_locator_->known_members().second;
        addresses.insert(members.begin(), members.end());
    }
    if (!leadership_.leader_address().empty()) addresses.insert(leadership_.leader_address());
    addresses.erase(leadership_.own_address());
    return addresses;
}

void ControlDaemon::on_join_request(const JoinRequest& request) {
    if (!leadership_.is_serving()) {
        auto leader = leadership_.other_leader_address();
        if (request.is_relayed || !leader) return;
        JoinRequest relayed = request;
        relayed.is_relayed = true;
        loop_.send({.url = "http://" + *leader + "/inner/join", .body = encode(relayed)}, nullptr);
        return;
    }
    if (leader_.membership().find(request.replica_id)) return;
    const Member learner{0, request.replica_id, request.address, request.control_address};
    if (!membership_manager_->record_join_request(learner, steady_now())) return;
    log_line("control", "join requested address={} replica_id={:x}", request.address, request.replica_id.value);
    iterations_.mark_requested();
}

// The membership changes by one member at a time, and only under a leader: it grows to every quorum member there is.
void ControlDaemon::maintain_membership(Micros now) {
    maintain_learners(now);
    const MembershipChange change = membership_manager_->next_change(leader_.membership(), LeaderHealth(leader_), now);
    if (change.kind == MembershipChange::Kind::none) return;
    const bool is_addition = change.kind == MembershipChange::Kind::add;
    log_line("control", "membership change started change={} member={} address={}", is_addition ? "add" : "remove",
             change.member.number, change.member.address);
    leader_.change_membership(change.membership, encode(change.membership), nullptr);
    if (!is_addition) directory_.add(change.member.address, now);
    iterations_.mark_requested();
}

// Whoever asks to join is a learner first, for as long as it goes on asking.
void ControlDaemon::maintain_learners(Micros now) {
    for (ReplicaId replica_id : membership_manager_->expire_learners(leader_.membership(), now))
        leader_.remove_learner(replica_id);
    for (const Member& learner : membership_manager_->learners()) {
        if (leader_.has_learner(learner.replica_id)) continue;
        leader_.add_learner(learner);
        iterations_.mark_requested();
    }
}

}  // namespace calicostall
