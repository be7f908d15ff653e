// A daemon outside the membership asks to become a member, POST /inner/join.
#pragma once
#include "common.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// Sent to the leader, or to whoever may know it.
struct JoinRequest {
    ReplicaId replica_id;
    std::string address, control_address;  // of its replica and of its operator port
    bool is_relayed = false;               // by a daemon that isn't the leader; not relayed again
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(replica_id), visit(address), visit(control_address), visit(is_relayed);
    }
};

// Says only that the request has arrived.
struct JoinResponse {
    bool is_received = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(is_received);
    }
};

}  // namespace calicostall
