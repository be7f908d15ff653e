#include "control/store/replica.hpp"

#include "shared/wire/codec.hpp"

namespace calicostall {

// --- prepare ---

std::pair<PrepareResponse, WriteBatch> Replica::prepare(const PrepareRequest& request, bool trusted) {
    PrepareResponse response;
    WriteBatch batch;
    response.verdict = evaluate(request, trusted);
    if (response.verdict == Verdict::granted) {
        const std::string& known = request.known_revisions;
        const std::optional<KeyRevisions> revisions = known.empty() ? KeyRevisions{} : decode<KeyRevisions>(known);
        if (revisions) {
            promise(request.term, request.from, batch);
            list_differences(*revisions, request.kind == PrepareKind::revisions_only, response);
        } else {
            response.verdict = Verdict::error;
        }
    }
    show_promise(response);
    response.synchronized_term = synchronized_term;
    return {std::move(response), std::move(batch)};
}

Verdict Replica::evaluate(const PrepareRequest& request, bool trusted) const {
    if (request.to != replica_id) return Verdict::replica_id_mismatch;
    if (!can_promise(request.term, request.from)) return Verdict::stale_term;
    if (!trusted && request.kind != PrepareKind::revisions_only) return Verdict::untrusted;
    return request.kind == PrepareKind::pre_vote ? Verdict::would_grant : Verdict::granted;
}

bool Replica::can_promise(Term term, ReplicaId candidate) const {
    return term > promised_term || (term == promised_term && candidate == promised_to);
}

void Replica::promise(Term term, ReplicaId candidate, WriteBatch& batch) {
    if (term <= promised_term) return;
    promised_term = term;
    promised_to = candidate;
    batch.put(promised_term_entry, encode(promised_term));
    batch.put(promised_to_entry, encode(Term{candidate.value}));
}

template <class Response>
void Replica::show_promise(Response& response) const {
    response.promised_term = promised_term;
    response.promised_to = promised_to;
}

// Both lists are sorted by key.
void Replica::list_differences(const KeyRevisions& known_revisions, bool without_contents,
                               PrepareResponse& response) const {
    auto known = known_revisions.entries.begin();
    const auto end = known_revisions.entries.end();
    for (const auto& [key, value] : registers) {
        for (; known != end && known->key < key; ++known)
            response.missing_keys.push_back(known->key);
        if (known != end && known->key == key) {
            const bool is_same_revision = known->term == value.term && known->version == value.version;
            ++known;
            if (is_same_revision) continue;
        }
        response.registers.push_back(without_contents
                                         ? KeyedRegister{key, Register{value.term, value.version, {}, {}, {}}}
                                         : KeyedRegister{key, value});
    }
    for (; known != end; ++known)
        response.missing_keys.push_back(known->key);
}

// --- write ---

std::pair<WriteResponse, WriteBatch> Replica::write(const WriteRequest& request) {
    WriteResponse response;
    WriteBatch batch;
    if (request.to != replica_id) {
        response.verdict = Verdict::replica_id_mismatch;
    } else if (!can_promise(request.term, request.from)) {
        response.verdict = Verdict::stale_term;
    } else {
        response.verdict = Verdict::granted;
        promise(request.term, request.from, batch);
        apply_entries(request, response, batch);
    }
    show_promise(response);
    return {std::move(response), std::move(batch)};
}

void Replica::apply_entries(const WriteRequest& request, WriteResponse& response, WriteBatch& batch) {
    if (request.adopts_term && adopted_term < request.term) adopt_term(request, batch);
    for (const WriteEntry& entry : request.entries)
        if (!apply_entry(entry, batch)) response.missing_keys.push_back(entry.key);
    for (const Purge& purge : request.purges)
        apply_purge(purge, request.term, batch);
    const bool completes = request.is_complete && response.missing_keys.empty();
    if (completes && synchronized_term < request.term) complete_synchronization(request.term, batch);
}

// All registers count as of the new term from here on, but for the divergent ones, whose heads are written anew.
void Replica::adopt_term(const WriteRequest& request, WriteBatch& batch) {
    const std::set<std::string> divergent_keys(request.divergent_keys.begin(), request.divergent_keys.end());
    adopted_term = request.term;
    batch.put(adopted_term_entry, encode(adopted_term));
    for (auto& [key, value] : registers) {
        if (divergent_keys.contains(key))
            put_head(batch, key, value, adopted_term);
        else
            value.term = adopted_term;
    }
}

// Returns false when what the entry builds on is not here.
bool Replica::apply_entry(const WriteEntry& entry, WriteBatch& batch) {
    auto found = registers.find(entry.key);
    const bool is_present = found != registers.end() &&
                            std::tie(entry.term, entry.version) <= std::tie(found->second.term, found->second.version);
    if (is_present) return true;
    Register* value = find_base(entry);
    if (!value) return false;
    const bool is_full = entry.payload == Payload::full;
    value->term = entry.term;
    value->version = entry.version;
    value->head = entry.head;
    if (is_full && value->immutable != entry.immutable) {
        value->immutable = entry.immutable;
        put_immutable(batch, entry.key, entry.immutable);
    }
    put_head(batch, entry.key, *value, adopted_term);
    const bool replaces_chunks = entry.replaces_chunks || is_full;
    if (replaces_chunks) drop_chunks(batch, entry.key, *value);
    for (const Chunk& chunk : entry.chunks)
        put_chunk(batch, entry.key, chunk.number, chunk.bytes);
    value->apply_chunks(entry.chunks, replaces_chunks);
    return true;
}

// The register that the entry is applied to; null when a delta's base is not here.
Register* Replica::find_base(const WriteEntry& entry) {
    if (entry.payload == Payload::full) return &registers[entry.key];
    auto found = registers.find(entry.key);
    if (found == registers.end()) return nullptr;
    const bool is_base = found->second.term == entry.term && found->second.version == entry.base_version;
    return is_base ? &found->second : nullptr;
}

void Replica::apply_purge(const Purge& purge, Term term, WriteBatch& batch) {
    auto found = registers.find(purge.key);
    if (found == registers.end()) return;
    const bool is_purged = found->second.term < term || found->second.version <= purge.version;
    if (is_purged) erase_register(found, batch);
}

// What is older than this leader's election and was not sent by it was never committed.
void Replica::complete_synchronization(Term term, WriteBatch& batch) {
    synchronized_term = term;
    batch.put(synchronized_term_entry, encode(synchronized_term));
    for (auto entry = registers.begin(); entry != registers.end();) {
        if (entry->second.term < synchronized_term)
            entry = erase_register(entry, batch);
        else
            ++entry;
    }
}

Replica::RegisterIterator Replica::erase_register(RegisterIterator entry, WriteBatch& batch) {
    drop_register(batch, entry->first, entry->second);
    return registers.erase(entry);
}

WriteBatch Replica::install_register(const std::string& key, Register value) {
    WriteBatch batch;
    Register& installed = registers[key] = std::move(value);
    put_head(batch, key, installed, adopted_term);
    if (!installed.immutable.empty()) put_immutable(batch, key, installed.immutable);
    for (const auto& [number, bytes] : installed.chunks)
        put_chunk(batch, key, number, bytes);
    return batch;
}

// --- load ---

bool Replica::load_entry(std::string_view name, std::string_view bytes) {
    const EntryName parsed = parse_entry_name(name);
    switch (parsed.kind) {
        case EntryName::Kind::head:
            return load_head(parsed.key, bytes);
        case EntryName::Kind::immutable:
            registers[parsed.key].immutable = bytes;
            return true;
        case EntryName::Kind::chunk:
            registers[parsed.key].chunks[parsed.chunk_number] = bytes;
            return true;
        case EntryName::Kind::other:
            break;
    }
    return load_own_entry(name, bytes);
}

bool Replica::load_head(const std::string& key, std::string_view bytes) {
    std::optional<RegisterHead> head = decode<RegisterHead>(bytes);
    if (!head) return false;
    Register& value = registers[key];
    value.term = head->term;
    value.version = head->version;
    value.head = std::move(head->head);
    adoption_stamps_[key] = head->adoption_stamp;
    return true;
}

bool Replica::load_own_entry(std::string_view name, std::string_view bytes) {
    if (name == bootstrap_record_entry) {
        bootstrap_record = bytes;
        return true;
    }
    const std::optional<Term> number = decode<Term>(bytes);
    if (!number) return false;
    if (name == replica_id_entry)
        replica_id = ReplicaId{number->value};
    else if (name == promised_term_entry)
        promised_term = *number;
    else if (name == promised_to_entry)
        promised_to = ReplicaId{number->value};
    else if (name == synchronized_term_entry)
        synchronized_term = *number;
    else if (name == adopted_term_entry)
        adopted_term = *number;
    else
        return false;
    return true;
}

bool Replica::finish_load() {
    bool is_complete = true;
    for (auto entry = registers.begin(); entry != registers.end();) {
        auto adoption_stamp = adoption_stamps_.find(entry->first);
        if (adoption_stamp == adoption_stamps_.end()) {
            is_complete = false;
            entry = registers.erase(entry);
            continue;
        }
        if (adoption_stamp->second < adopted_term) entry->second.term = adopted_term;
        ++entry;
    }
    adoption_stamps_.clear();
    return is_complete;
}

}  // namespace calicostall
