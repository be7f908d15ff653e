#include "control/store/leader.hpp"

namespace calicostall {

namespace {

// Whether at most one member came or went.
bool is_single_step(const Membership& one, const Membership& other) {
    size_t differences = 0;
    for (const Member& member : one.members)
        differences += !other.find(member.replica_id);
    for (const Member& member : other.members)
        differences += !one.find(member.replica_id);
    return differences <= 1;
}

void call_each(std::vector<CommitCallback>& callbacks, bool committed) {
    for (CommitCallback& callback : callbacks)
        if (callback) callback(committed);
}

}  // namespace

// --- elections ---

void Leader::start_election(const Membership& membership, Term highest_term_seen,
                            std::map<std::string, Register> local_registers, std::optional<ReplicaId> current_leader,
                            const Register& membership_register) {
    if (!membership.find(self_)) return;
    step_down();
    peers_.set_membership(membership);
    term_ = Term{std::max(highest_term_seen.value, term_.value) + 1};
    if (current_leader == self_) current_leader.reset();
    election_.begin(std::move(local_registers), current_leader, membership_register);
    ++election_count_;
    state_ = State::preparing;
}

void Leader::step_down() {
    if (state_ == State::idle) return;
    state_ = State::idle;
    confirmed_at_ = -1;
    membership_changing_ = false;
    draining_ = false;
    std::vector<Callback> callbacks = pending_commits_.take_all();
    callbacks.push_back(std::exchange(on_membership_committed_, nullptr));
    peers_.clear();
    table_.clear();
    election_.clear();
    call_each(callbacks, false);
}

void Leader::on_grant(Peer& peer, const PrepareResponse& response) {
    if (state_ != State::preparing) return peer.compare(election_.revisions_of(response), table_);
    election_.add_grant(peer.member().replica_id, response);
    learn_membership(response);
    const bool is_elected = state_ == State::preparing && election_.is_granted_by_majority(membership(), self_);
    if (is_elected) begin_synchronization();
}

// A grant may show a later membership than the one this election began with.
void Leader::learn_membership(const PrepareResponse& grant) {
    for (const KeyedRegister& entry : grant.registers) {
        if (entry.key != membership_key || !decode_membership) continue;
        std::optional<Membership> later = decode_membership(entry.value.head);
        if (!later || !election_.learn_membership(entry.value)) continue;
        peers_.set_membership(*later);
        if (!later->find(self_)) return step_down();
        peers_.update();
    }
}

void Leader::begin_synchronization() {
    table_.begin_term(term_, election_.choose_registers(membership()));
    peers_.restart_replication();
    for (auto& [replica_id, peer] : peers_.all()) {
        const PrepareResponse* grant = election_.find_grant(replica_id);
        if (grant) peer.compare(election_.revisions_of(*grant), table_);
    }
    election_.drop_contents();
    state_ = State::synchronizing;
}

// Whether a member's promise is one that this daemon's own term can't have: a higher term, or the same for another.
bool Leader::preempts_own_term(Term promised_term, ReplicaId promised_to) const {
    return promised_term > term_ || (promised_term == term_ && promised_to != self_);
}

void Leader::preempted_by_higher_term(Term promised_term) {
    higher_term_seen = promised_term;
    step_down();
}

// --- proposals ---

void Leader::propose(const std::string& key, std::optional<std::string> immutable, Mutation mutation,
                     Callback on_committed) {
    const Sequence sequence = table_.sequence() + 1;
    for (auto& [replica_id, peer] : peers_.all())
        peer.enqueue(key, sequence, mutation, immutable.has_value());
    const Version version = table_.apply(key, std::move(immutable), std::move(mutation));
    if (on_committed) pending_commits_.add({key, version, 0, std::move(on_committed)});
}

void Leader::confirm(const std::string& key, Callback on_committed) {
    const Register* value = table_.find(key);
    const Version version = value ? value->version : Version{};
    pending_commits_.add({key, version, pending_commits_.request_round(), std::move(on_committed)});
}

void Leader::remove(const std::string& key) {
    propose(key, std::string(), Mutation({}, {}, true), nullptr);
    table_.mark_tombstone(key);
}

// A tombstone goes only when nobody who may take part in an election, now or after joining, can still hold what was
// before it: neither a member of the membership before an open change, nor a learner.
void Leader::collect_tombstone(const std::string& key) {
    const Register* value = table_.find(key);
    if (membership_changing_ || !value || !peers_.is_everyone_at(key, value->version)) return;
    const Version version = value->version;
    table_.collect(key);
    for (auto& [replica_id, peer] : peers_.all())
        peer.enqueue_purge(key, version);
}

void Leader::collect_tombstones() {
    const std::set<std::string> tombstones = table_.tombstones();
    for (const std::string& key : tombstones)
        collect_tombstone(key);
}

// --- membership ---

bool Leader::change_membership(const Membership& membership, const std::string& encoded, Callback on_committed) {
    const bool is_allowed = membership_committed() && membership.find(self_);
    if (!is_allowed || !is_single_step(this->membership(), membership)) return false;
    peers_.set_membership(membership);
    peers_.update();
    propose(membership_key, std::nullopt, encoded, nullptr);
    membership_sequence_ = table_.sequence();
    membership_changing_ = true;
    on_membership_committed_ = std::move(on_committed);
    return true;
}

bool Leader::is_caught_up(ReplicaId replica_id) const {
    const Peer* peer = peers_.find_live(replica_id);
    return leading() && peer && peer->acknowledged_sequence(table_.sequence()) >= table_.sequence();
}

bool Leader::is_caught_up_without(ReplicaId replica_id) const {
    return leading() && is_replicated_without(replica_id, table_.sequence());
}

bool Leader::is_replicated_without(ReplicaId replica_id, Sequence sequence) const {
    return peers_.caught_up_count(sequence, table_.sequence(), replica_id) >= membership().majority();
}

void Leader::add_learner(const Member& member) {
    if (membership().find(member.replica_id)) return;
    peers_.add_learner(member);
    peers_.update();
}

bool Leader::is_learner_ready(ReplicaId replica_id) const {
    const Peer* peer = peers_.find_live(replica_id);
    return peer && peer->is_synchronized();
}

void Leader::remove_learner(ReplicaId replica_id) {
    peers_.remove_learner(replica_id);
    peers_.update();
    collect_tombstones();
}

bool Leader::responded_since(ReplicaId replica_id, Micros since) const {
    const Peer* peer = peers_.find_live(replica_id);
    return peer && peer->has_responded_since(since);
}

// --- requests ---

std::vector<OutgoingMessage> Leader::messages_due(Micros now) {
    std::vector<OutgoingMessage> messages;
    if (state_ == State::idle) return messages;
    if (peers_.empty()) peers_.update();
    const bool pre_votes_only =
        state_ == State::preparing && election_.awaits_current_leader(membership(), settings_.handover_timeout, now);
    for (auto& [replica_id, peer] : peers_.all()) {
        if (!peer.can_send(now)) continue;
        // One that was not among the majority: what it holds is learned before it is written to.
        if (state_ == State::preparing || !peer.is_compared()) {
            std::optional<PrepareRequest> request = next_prepare(peer, pre_votes_only, now);
            if (request) messages.push_back(make_message(peer, now, std::move(*request)));
        } else {
            std::optional<WriteRequest> request = next_write(peer, now);
            if (request) messages.push_back(make_message(peer, now, std::move(*request)));
        }
    }
    return messages;
}

std::optional<Micros> Leader::next_message_at() const {
    std::optional<Micros> next;
    for (const auto& [replica_id, peer] : peers_.all()) {
        if (!peer.is_idle() || !peer.has_work(pending_commits_.requested_round())) continue;
        next = std::min(next.value_or(peer.next_send_at()), peer.next_send_at());
    }
    return next;
}

std::optional<PrepareRequest> Leader::next_prepare(const Peer& peer, bool pre_votes_only, Micros now) const {
    if (state_ != State::preparing) return make_prepare(peer, PrepareKind::revisions_only);
    std::optional<PrepareRequest> request = next_vote_request(peer, pre_votes_only);
    if (request) return request;
    // A member whose part in the election is done might be lost since, or have promised a higher term. An election that
    // only waits for others would otherwise never learn it.
    if (peer.is_quiet_for(settings_.probe_interval, now)) return make_prepare(peer, PrepareKind::pre_vote);
    return std::nullopt;
}

std::optional<PrepareRequest> Leader::next_vote_request(const Peer& peer, bool pre_votes_only) const {
    const ReplicaId replica_id = peer.member().replica_id;
    if (election_.has_grant(replica_id) || peers_.has_learner(replica_id)) return std::nullopt;
    // The own promise is raised last: until the others trust this daemon, the current leader is left alone.
    if (replica_id == self_ && election_.grant_count() + 1 < membership().majority()) return std::nullopt;
    const bool is_pre_vote = replica_id != self_ && !peer.would_grant();
    if (pre_votes_only && !is_pre_vote) return std::nullopt;
    return make_prepare(peer, is_pre_vote ? PrepareKind::pre_vote : PrepareKind::grant);
}

std::optional<WriteRequest> Leader::next_write(Peer& peer, Micros now) {
    if (state_ == State::synchronizing && peer.is_quiet_for(settings_.probe_interval, now)) request_confirmation();
    return peer.next_write({self_, table_, pending_commits_.requested_round(), settings_.max_batch_bytes});
}

PrepareRequest Leader::make_prepare(const Peer& peer, PrepareKind kind) const {
    return election_.make_request(self_, peer.member().replica_id, term_, kind);
}

template <class Request>
OutgoingMessage Leader::make_message(Peer& peer, Micros now, Request request) {
    peer.on_sent(++last_request_id_, now);
    return {last_request_id_, peer.member(), std::move(request)};
}

// --- responses ---

void Leader::on_response(std::uint64_t request_id, const PrepareResponse* response, Micros now) {
    Peer* peer = peers_.end_request(request_id);
    if (!peer || state_ == State::idle) return;
    election_.on_response(peer->member().replica_id, response);
    if (!response) return back_off(*peer, now);
    const bool is_id_mismatch = response->verdict == Verdict::replica_id_mismatch;
    const bool is_preempted = preempts_own_term(response->promised_term, response->promised_to);
    if (is_id_mismatch && !is_preempted) return mark_disk_lost(*peer, now);
    if (!is_id_mismatch) peer->on_response(now);
    if (response->verdict == Verdict::would_grant) return peer->mark_would_grant();
    if (response->verdict == Verdict::granted) return on_grant(*peer, *response);
    if (is_preempted) return preempted_by_higher_term(response->promised_term);
    back_off(*peer, now);
    if (response->verdict == Verdict::untrusted) peer->delay_until(now + settings_.untrusted_retry_interval);
}

void Leader::on_response(std::uint64_t request_id, const WriteResponse* response, Micros now) {
    Peer* peer = peers_.end_request(request_id);
    const bool is_writing = state_ == State::synchronizing || state_ == State::leading;
    if (!peer || !is_writing) return;
    const bool is_preempted = response && preempts_own_term(response->promised_term, response->promised_to);
    if (is_preempted) return preempted_by_higher_term(response->promised_term);
    const bool is_granted = response && response->verdict == Verdict::granted;
    if (!is_granted) peer->requeue(table_);
    if (!response) return back_off(*peer, now);
    if (response->verdict == Verdict::replica_id_mismatch) return mark_disk_lost(*peer, now);
    peer->on_response(now);
    if (!is_granted) return back_off(*peer, now);
    on_write_granted(*peer, *response, now);
}

// An answer from another replica at the member's address is no sign of life of the member.
void Leader::mark_disk_lost(Peer& peer, Micros now) {
    peer.mark_disk_lost();
    back_off(peer, now);
}

void Leader::on_write_granted(Peer& peer, const WriteResponse& response, Micros now) {
    const WriteResult result = peer.on_write_granted(response, table_, settings_.max_batch_delay, now);
    if (result.has_adopted)
        collect_tombstones();
    else
        for (const std::string& key : result.acknowledged_tombstones)
            collect_tombstone(key);
    if (state_ == State::synchronizing && peers_.is_majority_synchronized()) state_ = State::leading;
    update_confirmed_at();
    run_commit_callbacks();
}

// --- commits ---

bool Leader::is_committed(const PendingCommit& pending) const {
    const bool needs_no_copies = pending.version.value == 0 || !table_.contains(pending.key);
    const bool is_replicated = needs_no_copies || peers_.is_majority_at(pending.key, pending.version);
    return is_replicated && peers_.is_majority_in_round(pending.confirmation_round);
}

void Leader::update_confirmed_at() {
    if (leading()) confirmed_at_ = std::max(confirmed_at_, peers_.majority_acknowledged_send_at());
}

void Leader::run_commit_callbacks() {
    if (!leading()) return;
    std::vector<Callback> callbacks =
        pending_commits_.take_if([this](const PendingCommit& pending) { return is_committed(pending); });
    commit_membership_change(callbacks);
    call_each(callbacks, true);
}

void Leader::commit_membership_change(std::vector<Callback>& callbacks) {
    if (!membership_changing_) return;
    if (peers_.caught_up_count(membership_sequence_, table_.sequence()) < membership().majority()) return;
    membership_changing_ = false;
    callbacks.push_back(std::exchange(on_membership_committed_, nullptr));
    collect_tombstones();
}

}  // namespace calicostall
