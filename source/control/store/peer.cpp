#include "control/store/peer.hpp"

namespace calicostall {

namespace {

// What an entry and a chunk take in a message beside their bytes, in bytes: an estimate for the size of a batch.
constexpr size_t entry_overhead = 32;
constexpr size_t chunk_overhead = 12;

size_t size_of(const WriteEntry& entry) {
    size_t bytes = entry.key.size() + entry.immutable.size() + entry.head.size() + entry_overhead;
    for (const Chunk& chunk : entry.chunks)
        bytes += chunk.bytes.size() + chunk_overhead;
    return bytes;
}

}  // namespace

void Peer::on_sent(std::uint64_t request_id, Micros now) {
    in_flight_request_id_ = request_id;
    sent_at_ = now;
}

// --- what the replica holds ---

void Peer::compare(const std::map<std::string, Revision>& revisions, const RegisterTable& table) {
    compared_ = true;
    adopting_ = true;
    for (const auto& [key, revision] : revisions)
        classify(key, revision, table);
    enqueue_differing(table);
}

void Peer::classify(const std::string& key, const Revision& revision, const RegisterTable& table) {
    if (table.matches(key, revision)) {
        matching_[key] = revision.version;
        return;
    }
    divergent_keys_.push_back(key);
    // A key of this term that the leader doesn't hold was collected while the replica was no member.
    if (!table.contains(key) && revision.term == table.term()) pending_purges_[key] = revision.version;
}

void Peer::enqueue_differing(const RegisterTable& table) {
    for (const auto& [key, value] : table.registers()) {
        auto match = matching_.find(key);
        if (match == matching_.end() || match->second != value.version)
            backlog_.add(key, table.election_sequence()).full = true;
        else
            backlog_.erase(key);
    }
}

// --- writes ---

void Peer::enqueue(const std::string& key, Sequence sequence, const Mutation& mutation, bool is_full) {
    Delta& delta = backlog_.add(key, sequence);
    delta.replaces_chunks = delta.replaces_chunks || mutation.replaces_chunks;
    delta.full = delta.full || is_full;
    for (const Chunk& chunk : mutation.chunks)
        delta.chunk_numbers.insert(chunk.number);
}

void Peer::enqueue_purge(const std::string& key, Version version) {
    backlog_.erase(key);
    acknowledged_.erase(key);
    matching_.erase(key);
    pending_purges_[key] = version;
}

std::optional<WriteRequest> Peer::next_write(const WriteContext& context) {
    if (!has_work(context.confirmation_round) && pending_purges_.empty() && is_synchronized_) return std::nullopt;
    const RegisterTable& table = context.table;
    WriteRequest request;
    request.from = context.sender;
    request.to = member_.replica_id;
    request.term = table.term();
    request.adopts_term = adopting_;
    if (adopting_) request.divergent_keys = divergent_keys_;
    fill(request, context);
    for (const auto& [key, version] : pending_purges_)
        request.purges.push_back({key, version});
    in_flight_purges_ = pending_purges_;
    // Complete: all that the election chose is there, or goes with this message.
    const Sequence oldest = backlog_.oldest_sequence().value_or(table.sequence() + 1);
    request.is_complete = !is_synchronized_ && oldest > table.election_sequence();
    request.is_caught_up = backlog_.empty();
    completing_ = request.is_complete;
    in_flight_round_ = context.confirmation_round;
    return request;
}

void Peer::fill(WriteRequest& request, const WriteContext& context) {
    size_t bytes = 0;
    in_flight_.clear();
    while (!backlog_.empty() && bytes < context.max_batch_bytes) {
        auto [key, delta] = backlog_.pop_oldest();
        WriteEntry entry = make_entry(key, delta, context.table);
        bytes += size_of(entry);
        in_flight_[std::move(key)] = {entry.version, std::move(delta)};
        request.entries.push_back(std::move(entry));
    }
}

WriteEntry Peer::make_entry(const std::string& key, const Delta& delta, const RegisterTable& table) const {
    const Register& value = table.registers().at(key);
    WriteEntry entry;
    entry.key = key;
    entry.term = table.term();
    entry.version = value.version;
    entry.head = value.head;
    entry.replaces_chunks = delta.replaces_chunks;
    auto base = acknowledged_.find(key);
    if (base != acknowledged_.end() && !delta.full) {
        entry.payload = Payload::delta;
        entry.base_version = base->second;
    } else {
        entry.immutable = value.immutable;
    }
    if (entry.payload == Payload::full || delta.replaces_chunks) {
        for (const auto& [number, bytes] : value.chunks)
            entry.chunks.push_back({number, bytes});
        return entry;
    }
    for (std::uint64_t number : delta.chunk_numbers) {
        auto chunk = value.chunks.find(number);
        entry.chunks.push_back({number, chunk == value.chunks.end() ? std::string() : chunk->second});
    }
    return entry;
}

WriteResult Peer::on_write_granted(const WriteResponse& response, const RegisterTable& table, Micros max_batch_delay,
                                   Micros now) {
    schedule_next_batch(max_batch_delay, now);
    const std::set<std::string> missing_keys(response.missing_keys.begin(), response.missing_keys.end());
    WriteResult result;
    result.has_adopted = finish_adoption();
    result.acknowledged_tombstones = acknowledge_entries(missing_keys, table);
    finish_purges();
    if (completing_ && missing_keys.empty()) is_synchronized_ = true;
    confirmed_round_ = std::max(confirmed_round_, in_flight_round_);
    acknowledged_send_at_ = sent_at_;
    return result;
}

// Under load changes are gathered for half as long as the write took; after a pause nothing waits.
void Peer::schedule_next_batch(Micros max_batch_delay, Micros now) {
    const bool is_busy = last_write_response_at_ >= 0 && sent_at_ - last_write_response_at_ <= max_batch_delay;
    last_write_response_at_ = now;
    if (is_busy) next_send_at_ = now + std::min((now - sent_at_) / 2, max_batch_delay);
}

bool Peer::finish_adoption() {
    if (!std::exchange(adopting_, false)) return false;
    acknowledged_.merge(matching_);
    matching_.clear();
    divergent_keys_.clear();
    return true;
}

std::vector<std::string> Peer::acknowledge_entries(const std::set<std::string>& missing_keys,
                                                   const RegisterTable& table) {
    std::vector<std::string> tombstones;
    for (const auto& [key, sent_entry] : in_flight_) {
        if (missing_keys.contains(key)) {
            acknowledged_.erase(key);
            if (table.contains(key)) backlog_.add(key, sent_entry.delta.since).full = true;
            continue;
        }
        acknowledged_[key] = sent_entry.version;
        if (table.is_tombstone(key)) tombstones.push_back(key);
    }
    in_flight_.clear();
    return tombstones;
}

void Peer::finish_purges() {
    for (const auto& [key, version] : in_flight_purges_) {
        auto purge = pending_purges_.find(key);
        if (purge != pending_purges_.end() && purge->second == version) pending_purges_.erase(purge);
    }
    in_flight_purges_.clear();
}

void Peer::requeue(const RegisterTable& table) {
    for (auto& [key, sent_entry] : in_flight_) {
        if (!table.contains(key)) continue;
        backlog_.add(key, sent_entry.delta.since).merge(sent_entry.delta);
    }
    in_flight_.clear();
    in_flight_purges_.clear();
}

// --- what counts for a majority ---

bool Peer::has_acknowledged(const std::string& key, Version version) const {
    auto found = acknowledged_.find(key);
    return found != acknowledged_.end() && found->second >= version;
}

Sequence Peer::acknowledged_sequence(Sequence last_sequence) const {
    if (!is_synchronized_) return 0;
    Sequence first_unacknowledged = backlog_.oldest_sequence().value_or(last_sequence + 1);
    for (const auto& [key, sent_entry] : in_flight_)
        first_unacknowledged = std::min(first_unacknowledged, sent_entry.delta.since);
    return first_unacknowledged - 1;
}

}  // namespace calicostall
