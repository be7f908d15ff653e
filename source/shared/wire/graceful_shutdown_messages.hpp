// A member that is to stop asks the leader whether it may, POST /inner/leave.
#pragma once
#include "common.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// "Do the others hold what I hold?"
struct GracefulShutdownRequest {
    ReplicaId replica_id;
    Term term;                   // of the response that named `sequence`
    std::uint64_t sequence = 0;  // the proposals that others must hold; 0: those until now
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(replica_id), visit(term), visit(sequence);
    }
};

struct GracefulShutdownResponse {
    bool is_caught_up = false;  // a majority without the requester holds everything up to the request's sequence
    Term term;
    std::uint64_t sequence = 0;  // what the next request is to name
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(is_caught_up), visit(term), visit(sequence);
    }
};

}  // namespace calicostall
