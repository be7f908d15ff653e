// How control daemons outside the membership and the leader keep in touch: such a daemon registers with the leader,
// POST /inner/register, and the leader announces itself to all that are registered, POST /inner/leader. Neither has a
// response other than that it has arrived.
#pragma once
#include "common.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// "I serve control, and I am not a member."
struct RegistrationRequest {
    std::string replica_address;  // of the sender
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(replica_address);
    }
};

// "I lead; ask me for the rest." What it says is a hint: the receiver polls the leader before it believes anything.
struct LeaderAnnouncement {
    Term term;
    std::string leader_address;  // of the leader's replica
    std::uint64_t membership_version = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(term), visit(leader_address), visit(membership_version);
    }
};

}  // namespace calicostall
