/// The messages of founding, and what a founder keeps on its disk.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"

namespace calicostall {

/// One control daemon as it describes itself: `control` is its address among the seeds, `address` that of its replica.
struct FounderAddress {
    Identity identity;
    std::string address;
    std::string control;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(identity), visit(address), visit(control);
    }
};

/// What the sender knows of a core. `known` may stand without `core`: the sender only heard that there is one.
struct CoreNews {
    bool known = false;
    bool as_founded = false;   // `core` is the first version: a founder that is listed may take it
    std::optional<Core> core;  // as the sender holds it
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(known), visit(as_founded), visit(core);
    }
};

/// Sent by each founder to its seeds, and by each member to those listed members that may not have the core yet.
struct FoundAsk {
    FounderAddress sender;
    std::vector<std::string> seeds;  // of the sender, sorted
    bool wants_vote = false;
    std::uint64_t vote_count = 0;  // the receiver's, as the sender last heard it
    CoreNews news;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(sender), visit(seeds), visit(wants_vote), visit(vote_count), visit(news);
    }
};

struct FoundAnswer {
    Identity to;  // the sender of the ask
    FounderAddress sender;
    bool counted = false;  // whether the sender's disk counts; one whose disk doesn't is no member and has no vote
    bool gave_up = false;  // this identity never composes a core, now or later
    bool granted = false;  // the asker has this disk's vote
    std::uint64_t vote_count = 0;
    CoreNews news;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(to), visit(sender), visit(counted), visit(gave_up), visit(granted), visit(vote_count), visit(news);
    }
};

/// What a founder has on its disk until it is in a core: one entry, written before any answer that relies on it.
struct FoundingRecord {
    bool founder = false;  // this disk took part in a first start
    bool gave_up = false;
    std::vector<std::string> seeds;
    std::string voted_address;     // control address of the composer that has the vote; empty: nobody ever had it
    Identity voted_identity;       // zero: the composer that had it gave up
    std::uint64_t vote_count = 0;  // rises with each change of the vote
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(founder), visit(gave_up), visit(seeds), visit(voted_address), visit(voted_identity), visit(vote_count);
    }
};

}  // namespace calicostall
