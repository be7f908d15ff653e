/// The requests from a leader, or a candidate, to the replicas, and their responses.
///
/// `describe` lists the fields in the order of the wire (shared/wire/frame.hpp): neither it nor the values of the
/// enumerations ever change.
#pragma once
#include "common.hpp"
#include "control/store/membership.hpp"
#include "control/store/register.hpp"
#include "shared/time/agreed_time.hpp"

namespace calicostall {

enum class PrepareKind {
    grant,           // the ordinary prepare: asks for a promise of the term
    pre_vote,        // would it be granted? Nothing is promised, and nothing big is sent to one that would refuse
    revisions_only,  // the term has its majority: only which revisions the replica holds is asked for, no contents
};

struct PrepareRequest {
    ReplicaId from;
    ReplicaId to;
    Term term;
    PrepareKind kind = PrepareKind::grant;
    std::string known_revisions;   // encoded KeyRevisions, sorted by key: what the candidate holds already
    Register membership_register;  // the membership that the candidate goes by; empty when it knows of none
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(from), visit(to), visit(term), visit(kind), visit(known_revisions), visit(membership_register);
    }
};

enum class Verdict {
    granted,
    stale_term,           // a higher term is promised, or this one to another candidate
    untrusted,            // this daemon's detector trusts another candidate
    replica_id_mismatch,  // the request means another replica than the one that lives here
    error,                // the request can't be read
    would_grant,          // to a pre-vote
};

struct PrepareResponse {
    Verdict verdict = Verdict::error;
    Term promised_term;
    Term synchronized_term;
    ReplicaId promised_to;                  // the candidate that `promised_term` was given to
    Micros wall_clock = 0;                  // this daemon's own clock, microseconds since 1970
    AgreedTime agreed_time;                 // what it remembers of an earlier leader's time of day
    std::vector<KeyedRegister> registers;   // held here in another revision than the candidate's, or not known there
    std::vector<std::string> missing_keys;  // known to the candidate and not held here
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(verdict), visit(promised_term), visit(promised_to), visit(synchronized_term), visit(wall_clock),
            visit(agreed_time), visit(registers), visit(missing_keys);
    }
};

/// How much of a register a write carries: all of it, or what changed since the version `base_version` of the same
/// term.
enum class Payload { full, delta };

struct WriteEntry {
    std::string key;
    Payload payload = Payload::full;
    Term term;
    Version version;
    Version base_version;
    std::string immutable;
    std::string head;
    std::vector<Chunk> chunks;
    bool replaces_chunks = false;  // the chunks not named are dropped
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(payload), visit(term), visit(version), visit(base_version), visit(immutable), visit(head),
            visit(chunks), visit(replaces_chunks);
    }
};

/// The key is to be forgotten, unless a later version was written since.
struct Purge {
    std::string key;
    Version version;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(version);
    }
};

struct WriteRequest {
    ReplicaId from;
    ReplicaId to;
    Term term;
    bool is_complete = false;   // with these entries the replica has all that the leader has
    bool is_caught_up = false;  // after these entries nothing more is waiting for the replica
    std::vector<WriteEntry> entries;
    std::vector<Purge> purges;
    bool adopts_term = false;                 // once a term: all that the replica holds gets this term,
    std::vector<std::string> divergent_keys;  // but these keys
    AgreedTime agreed_time;                   // the time of day that the leader goes by
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(from), visit(to), visit(term), visit(is_complete), visit(is_caught_up), visit(entries), visit(purges),
            visit(adopts_term), visit(divergent_keys), visit(agreed_time);
    }
};

struct WriteResponse {
    Verdict verdict = Verdict::error;
    Term promised_term;
    ReplicaId promised_to;
    Micros wall_clock = 0;                  // this daemon's own clock, microseconds since 1970
    std::vector<std::string> missing_keys;  // of which the replica doesn't hold the version that the entry builds on
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(verdict), visit(promised_term), visit(promised_to), visit(wall_clock), visit(missing_keys);
    }
};

}  // namespace calicostall
