// The heartbeat between members of the cluster, POST /inner/alive. It has no response.
#pragma once
#include "common.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// "I am alive", for the failure detector; or "I stop now", the last one of a graceful shutdown.
struct LeaderHeartbeat {
    ReplicaId sender;
    bool is_shutting_down = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(sender), visit(is_shutting_down);
    }
};

}  // namespace calicostall
