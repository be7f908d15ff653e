// The cluster-state watch: fronts, agents and daemons outside the membership learn the leader, the members and the
// configuration's revision from a control daemon by a long poll, POST /inner/news.
// The text of a configuration is fetched by itself (config_text_messages.hpp), so that the watch stays small whatever
// the text's size is, and a slow link or a short time limit doesn't keep the rest back.
#pragma once
#include "common.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// "Answer when there is something newer than this."
struct WatchRequest {
    std::uint64_t config_revision = 0;  // the newest heard of, whether its text is here or still on its way
    Term term;
    std::uint64_t membership_version = 0;
    Micros max_wait = 0;  // answered after so long in any case
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(config_revision), visit(term), visit(membership_version), visit(max_wait);
    }
};

// What the daemon that answers knows.
struct WatchResponse {
    std::uint64_t config_revision = 0;
    std::uint64_t config_bytes = 0;  // the size of the configuration's text
    Term term;
    std::string leader_address;  // of the leader's replica, empty when unknown
    std::uint64_t membership_version = 0;
    std::vector<std::string> member_addresses;  // of the members' replicas
    // Whether the daemon that answers has recently been in contact with a majority: as leader by itself, else through
    // the leader. Without contact all of the above may be old.
    bool is_in_contact = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(config_revision), visit(config_bytes), visit(term), visit(leader_address), visit(membership_version),
            visit(member_addresses), visit(is_in_contact);
    }
};

}  // namespace calicostall
