#include "control/membership/bootstrap.hpp"

#include "shared/wire/codec.hpp"

namespace calicostall {

namespace {

// Of the first membership's register: a later one is no first membership.
constexpr Version initial_version{1};

std::vector<std::string> sorted(std::vector<std::string> addresses) {
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return addresses;
}

bool contains(const std::vector<std::string>& addresses, const std::string& value) {
    return std::find(addresses.begin(), addresses.end(), value) != addresses.end();
}

bool lists(const Membership& membership, const ReplicaId& replica_id, const std::string& control_address) {
    const Member* member = membership.find(replica_id);
    return member && member->control_address == control_address;
}

ReplicaId candidate_of(const Membership& membership) {
    return membership.members.front().replica_id;
}

void append(WriteBatch& batch, WriteBatch more) {
    for (auto& entry : more.entries)
        batch.entries.push_back(std::move(entry));
}

}  // namespace

ReplicaId generate_replica_id() {
    std::random_device device;
    return ReplicaId{(std::uint64_t(device()) << 32 | device()) | 1};
}

Bootstrap::Bootstrap(BootstrapSettings settings, Replica& replica) : settings_(std::move(settings)), replica_(replica) {
    settings_.seeds = sorted(std::move(settings_.seeds));
}

WriteBatch Bootstrap::start() {
    WriteBatch batch;
    if (auto record = decode<BootstrapRecord>(replica_.bootstrap_record)) record_ = std::move(*record);
    exclude_if_empty(batch);
    bool is_seed = contains(settings_.seeds, settings_.control_address);
    const bool may_vote = settings_.is_first_start && settings_.is_eligible && is_seed && !is_excluded();
    if (may_vote && !membership_register()) {
        bool is_same_record = record_.is_voter && record_.seeds == settings_.seeds;
        record_.is_voter = true;
        record_.seeds = settings_.seeds;
        if (!is_same_record) persist_record(batch);
    }
    form_membership_if_complete(batch);
    return count_batch(std::move(batch));
}

// An empty disk after the first start: one that was here before is lost, and may have voted or formed a membership.
void Bootstrap::exclude_if_empty(WriteBatch& batch) {
    const bool is_empty = !record_.is_voter && !record_.has_abandoned && !membership_register();
    if (settings_.is_first_start || !settings_.is_eligible || !is_empty) return;
    record_.has_abandoned = true;
    persist_record(batch);
}

WriteBatch Bootstrap::change_seeds(std::vector<std::string> seeds) {
    WriteBatch batch;
    seeds = sorted(std::move(seeds));
    if (is_collecting_votes() && settings_.is_first_start && seeds != record_.seeds &&
        contains(seeds, settings_.control_address)) {
        record_.seeds = std::move(seeds);
        persist_record(batch);
        form_membership_if_complete(batch);
    }
    return count_batch(std::move(batch));
}

BootstrapState Bootstrap::state() const {
    if (membership_register()) return BootstrapState::member;
    if (!record_.is_voter) return BootstrapState::non_voter;
    return record_.has_abandoned ? BootstrapState::abandoned : BootstrapState::collecting_votes;
}

// --- requests and responses ---

std::vector<BootstrapMessage> Bootstrap::requests_due(Micros now) {
    std::vector<BootstrapMessage> messages;
    if (!is_membership_durable()) return messages;
    append_seed_requests(messages, now);
    append_member_requests(messages, now);
    return messages;
}

std::optional<Micros> Bootstrap::next_request_at() const {
    std::optional<Micros> next;
    if (!is_membership_durable() || relay_complete_) return next;
    for (const std::string& control_address : is_collecting_votes() ? other_seeds() : uninformed_members()) {
        auto peer = peers_.find(control_address);
        const Micros due_at = peer == peers_.end() ? 0 : peer->second.next_request_at;
        const bool is_busy = peer != peers_.end() && peer->second.request_in_flight;
        if (!is_busy) next = std::min(next.value_or(due_at), due_at);
    }
    return next;
}

void Bootstrap::append_seed_requests(std::vector<BootstrapMessage>& messages, Micros now) {
    if (!is_collecting_votes()) return;
    for (const std::string& seed : other_seeds()) {
        Peer& peer = peers_[seed];
        if (peer.request_in_flight || now < peer.next_request_at) continue;
        messages.push_back(make_request(seed, peer));
        peer.next_request_at = now + settings_.retry_interval;
    }
}

void Bootstrap::append_member_requests(std::vector<BootstrapMessage>& messages, Micros now) {
    if (relay_complete_ || state() != BootstrapState::member) return;
    const std::vector<std::string> uninformed = uninformed_members();
    relay_complete_ = uninformed.empty();
    for (const std::string& member : uninformed) {
        Peer& peer = peers_[member];
        if (peer.request_in_flight || now < peer.next_request_at) continue;
        messages.push_back(make_request(member, peer));
        peer.next_request_at = now + settings_.relay_interval;
    }
}

std::vector<std::string> Bootstrap::uninformed_members() const {
    std::vector<std::string> uninformed;
    const MembershipReport report = make_report();
    if (!report.is_initial || !lists(*report.membership, replica_.replica_id, settings_.control_address))
        return uninformed;
    for (const Member& member : report.membership->members) {
        auto peer = peers_.find(member.control_address);
        const bool is_informed = peer != peers_.end() && peer->second.informed;
        if (member.replica_id != replica_.replica_id && !is_informed) uninformed.push_back(member.control_address);
    }
    return uninformed;
}

BootstrapMessage Bootstrap::make_request(const std::string& control_address, Peer& peer) {
    BootstrapRequest request;
    request.sender = own_endpoint();
    request.seeds = record_.seeds;
    request.wants_vote = is_candidate();
    request.vote_count = peer.last_response ? peer.last_response->vote_count : 0;
    request.report = make_report();
    peer.request_in_flight = true;
    peer.own_vote_count_when_asked = record_.vote_count;
    return {control_address, peer.replica_address, std::move(request)};
}

std::pair<BootstrapResponse, WriteBatch> Bootstrap::on_request(const BootstrapRequest& request, Micros now) {
    WriteBatch batch;
    update_peer(request.sender, request.report, now);
    on_report(request.report, now, batch);
    BootstrapResponse response;
    response.is_vote_granted = try_grant_vote(request, batch);
    response.to = request.sender.replica_id;
    response.sender = own_endpoint();
    response.is_eligible = settings_.is_eligible && !is_excluded();
    response.has_abandoned = record_.has_abandoned;
    response.vote_count = record_.vote_count;
    response.report = make_report();
    return {std::move(response), count_batch(std::move(batch))};
}

WriteBatch Bootstrap::on_response(const std::string& control_address, const BootstrapResponse* response, Micros now) {
    WriteBatch batch;
    Peer& peer = peers_[control_address];
    peer.request_in_flight = false;
    if (!response || response->to != replica_.replica_id || response->sender.control_address != control_address)
        return batch;
    peer.last_response = *response;
    update_peer(response->sender, response->report, now);
    if (vote_.release(*response, peer.own_vote_count_when_asked)) persist_record(batch);
    on_report(response->report, now, batch);
    if (!response->is_vote_granted && is_candidate() && !response->report.is_known) peer.next_request_at = now;
    form_membership_if_complete(batch);
    return count_batch(std::move(batch));
}

void Bootstrap::update_peer(const BootstrapEndpoint& sender, const MembershipReport& report, Micros now) {
    auto found = peers_.find(sender.control_address);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    peer.replica_address = sender.replica_address;
    std::optional<Membership> membership = local_membership();
    bool is_replaced = membership && !membership->find(sender.replica_id);
    peer.informed = peer.informed || (membership && (report.membership || is_replaced));
    // It listens now: there is no need to wait for the next time.
    if (is_collecting_votes() && !peer.last_response) peer.next_request_at = std::min(peer.next_request_at, now);
}

// --- votes ---

bool Bootstrap::try_grant_vote(const BootstrapRequest& request, WriteBatch& batch) {
    if (!can_vote_for(request)) return false;
    const BootstrapVote::Grant grant = vote_.grant(request);
    if (grant == BootstrapVote::Grant::given) persist_record(batch);
    return grant != BootstrapVote::Grant::refused;
}

// Whether a vote may be given to this requester at all, whoever has it now.
bool Bootstrap::can_vote_for(const BootstrapRequest& request) const {
    const std::string& address = request.sender.control_address;
    const bool has_same_seeds = request.seeds == record_.seeds && contains(record_.seeds, address);
    return request.wants_vote && is_collecting_votes() && has_same_seeds && address != settings_.control_address;
}

const BootstrapResponse* Bootstrap::last_response_of(const std::string& seed) const {
    auto peer = peers_.find(seed);
    return peer == peers_.end() || !peer->second.last_response ? nullptr : &*peer->second.last_response;
}

bool Bootstrap::has_vote_from(const std::string& seed) const {
    const BootstrapResponse* response = last_response_of(seed);
    return response && response->is_eligible && response->is_vote_granted && !response->report.is_known;
}

bool Bootstrap::is_ineligible(const std::string& seed) const {
    const BootstrapResponse* response = last_response_of(seed);
    return response && !response->is_eligible && !response->report.is_known;
}

bool Bootstrap::is_candidate() const {
    if (!is_collecting_votes() || vote_.is_bound()) return false;
    for (const std::string& seed : other_seeds())
        if (seed < settings_.control_address && !is_ineligible(seed)) return false;
    return true;
}

// --- the first membership ---

void Bootstrap::form_membership_if_complete(WriteBatch& batch) {
    if (!is_candidate() || indirect_report_since_) return;
    for (const std::string& seed : other_seeds())
        if (!has_vote_from(seed) && !is_ineligible(seed)) return;
    Membership membership = compose_membership();
    log_lines_.push_back(fmt::format("membership formed members={}", membership.members.size()));
    store_membership(membership, batch);
}

Membership Bootstrap::compose_membership() const {
    Membership membership;
    for (const std::string& seed : record_.seeds) {
        if (seed != settings_.control_address && !has_vote_from(seed)) continue;
        const bool is_own = seed == settings_.control_address;
        const BootstrapEndpoint endpoint = is_own ? own_endpoint() : peers_.at(seed).last_response->sender;
        membership.members.push_back(
            {membership.next_member_number++, endpoint.replica_id, endpoint.replica_address, endpoint.control_address});
    }
    membership.target_size = membership.members.size();
    return membership;
}

void Bootstrap::store_membership(const Membership& membership, WriteBatch& batch) {
    const Register value{Term{0}, initial_version, {}, encode(membership), {}};
    append(batch, replica_.install_register(membership_key, value));
    membership_batch_ = batch_count_ + 1;
    relay_complete_ = false;
    for (auto& [control_address, peer] : peers_) {
        peer.next_request_at = 0;
        peer.informed = false;
    }
}

void Bootstrap::accept_membership(const Membership& membership, WriteBatch& batch) {
    if (!vote_.allows(candidate_of(membership)) || !lists(membership, replica_.replica_id, settings_.control_address))
        return;
    log_lines_.push_back(fmt::format("membership accepted members={} candidate={}", membership.members.size(),
                                     membership.members.front().address));
    store_membership(membership, batch);
}

void Bootstrap::on_report(const MembershipReport& report, Micros now, WriteBatch& batch) {
    if (membership_register() || !report.is_known) return;
    if (!report.membership) return on_indirect_report(now, batch);
    if (report.membership->members.empty()) return;
    if (!report.membership->find(replica_.replica_id))
        return abandon("a core exists that does not list this disk", batch);
    if (report.is_initial) accept_membership(*report.membership, batch);
}

void Bootstrap::on_indirect_report(Micros now, WriteBatch& batch) {
    if (!indirect_report_since_) indirect_report_since_ = now;
    if (now - *indirect_report_since_ >= settings_.indirect_report_timeout) abandon("a core exists", batch);
}

void Bootstrap::abandon(const std::string& reason, WriteBatch& batch) {
    if (!is_collecting_votes()) return;
    record_.has_abandoned = true;
    persist_record(batch);
    log_lines_.push_back(
        fmt::format("{}, though the settings say that this is a first start: joins as a new member", reason));
}

WriteBatch Bootstrap::on_active_membership_observed(Micros now) {
    WriteBatch batch;
    if (!membership_register()) on_indirect_report(now, batch);
    return count_batch(std::move(batch));
}

// --- what is stored, and what is reported ---

void Bootstrap::persist_record(WriteBatch& batch) {
    replica_.bootstrap_record = encode(record_);
    batch.put(bootstrap_record_entry, replica_.bootstrap_record);
}

void Bootstrap::mark_durable(std::uint64_t sequence) {
    durable_batches_ = std::max(durable_batches_, sequence);
}

WriteBatch Bootstrap::count_batch(WriteBatch batch) {
    if (!batch.empty()) ++batch_count_;
    return batch;
}

const Register* Bootstrap::membership_register() const {
    auto found = replica_.registers.find(membership_key);
    return found == replica_.registers.end() || found->second.head.empty() ? nullptr : &found->second;
}

std::optional<Membership> Bootstrap::local_membership() const {
    const Register* stored = membership_register();
    return stored ? decode<Membership>(stored->head) : std::nullopt;
}

MembershipReport Bootstrap::make_report() const {
    MembershipReport report;
    report.membership = local_membership();
    const bool has_abandoned = record_.has_abandoned && !is_excluded();
    report.is_known = report.membership || has_abandoned || (indirect_report_since_ && !is_collecting_votes());
    report.is_initial = report.membership && membership_register()->version == initial_version;
    return report;
}

BootstrapEndpoint Bootstrap::own_endpoint() const {
    return {replica_.replica_id, settings_.replica_address, settings_.control_address};
}

std::vector<std::string> Bootstrap::other_seeds() const {
    std::vector<std::string> other_seeds;
    for (const std::string& seed : record_.seeds)
        if (seed != settings_.control_address) other_seeds.push_back(seed);
    return other_seeds;
}

std::vector<std::string> Bootstrap::take_log_lines() {
    return std::exchange(log_lines_, {});
}

}  // namespace calicostall
