/// The voting members of the record, as they are stored under one key of the record itself.
///
/// `describe` lists the fields in the order of the wire and of the disk: it never changes.
#pragma once
#include "common.hpp"

namespace calicostall {

/// The key of the record under which the membership is stored.
inline constexpr const char* membership_key = "core";

/// A voting member: `number` is never used twice, `address` is where its replica listens, `control_address` where its
/// daemon does.
struct Member {
    std::uint64_t number = 0;
    ReplicaId replica_id;
    std::string address;
    std::string control_address;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(replica_id), visit(address), visit(control_address);
    }
};

struct Membership {
    std::vector<Member> members;  // by rank: the first is the preferred leader
    std::uint64_t next_member_number = 1;
    std::uint64_t target_size = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(members), visit(next_member_number), visit(target_size);
    }

    /// How many members are a majority.
    size_t majority() const { return members.size() / 2 + 1; }
    /// The member; null when there is none with this id.
    const Member* find(ReplicaId replica_id) const {
        for (const Member& member : members)
            if (member.replica_id == replica_id) return &member;
        return nullptr;
    }
    /// The member's place in the order of the leader election, from 0 on.
    std::optional<size_t> rank_of(ReplicaId replica_id) const {
        for (size_t rank = 0; rank < members.size(); ++rank)
            if (members[rank].replica_id == replica_id) return rank;
        return std::nullopt;
    }
};

}  // namespace calicostall
