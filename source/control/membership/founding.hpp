/// How the first core comes about. Pure: the caller carries the messages and keeps each Change on the disk.
///
/// A daemon draws its identity at random, once for its disk. A founder is a daemon that starts with an empty disk,
/// whose settings say that the whole system starts for the first time, whose own address is among its seeds and whose
/// disk counts. The *composer* is the founder with the lowest address of the seeds whose disks count. It asks all other
/// seeds for their vote; with every vote, each given together with the word "I hold no core", it writes the core
/// {members in the order of their addresses, with the identities that voted} to its disk and then sends it to the
/// others. A founder takes the first core that lists its own identity at its own address. Members pass the core on to
/// listed members.
///
/// Rules
///  1. A vote is on the disk before the answer that grants it leaves. It is given by a disk that holds no core, to one
///     control address only, for ever. At that address it may pass from one identity to another: the asker must name
///     the voter's present `vote_count`, which rises with each change, so an ask that is late from an earlier life of
///     the composer never takes it back.
///  2. A voter grants only to an asker with the same seeds as its own.
///  3. The composer composes at most once, only while it holds no core, has given its own vote to nobody else and has
///     not given up; the core is on its disk before it is sent.
///  4. A disk takes a core only if it holds none, is listed with its identity at its address, and its vote is either
///     with the composer of that core (its first member) or with nobody.
///  5. A founder that hears of a core which does not list its identity gives up, on its disk, for ever: it never
///     composes and never votes; it joins as a new member. A vote that it had is free again once the voter has its word
///     for that.
///
/// Invariant: at no time do the disks there are hold two different founding cores. So no two cores can ever both have a
/// majority.
///
/// Proof. Let X and Y be two composed cores. With equal seeds the composers' address A is the same, and a disk at A
/// composes once (3), so they were composed by two disks p and q at A, one after the other; let q be the later one. p's
/// disk is gone when q's life begins, and p's copy of X with it. For Y every other counted seed s granted q its vote.
/// At that moment s held no core (1). After it s's vote is with q, who composed and so never gave up (5), and passes to
/// nobody while q's disk exists: it goes to another identity only with the vote_count that is counted after q's vote,
/// which only a later life of A has been told (1). So s takes no X after its grant (4), and had none before: no disk
/// that granted q ever holds X. If s was wiped after its grant, its new identity is not listed in X, which was composed
/// before q's life began. So nobody holds X when Y is composed, or later.
///
/// What follows from it:
///  - Bootstrap cut in half: the half without the composer waits; the half with it lacks votes and waits as well. No
///  half
///    founds, as every seed's vote is needed. This is the price: the first start needs all seeds for a few round trips.
///  - Seeds that name each other late, or differ: founders with unlike seeds do not vote for each other (2). Two cores
///    from two disjoint lists share no disk; whoever hears of a core that does not list it joins that core.
///  - A voter restarted with its disk has its vote there (1) and grants the same again. Restarted without it, it votes
///    anew with a new identity; the composer lists the identity that granted last. If the core lists the lost one, the
///    new one hears of a core that does not list it and joins.
///  - The composer wiped between composing and sending: if nobody took X, it never had more than one copy, and the new
///    life may compose Y. If anyone took X, that disk refuses its vote and says that a core exists: the new life gives
///    up. A voter that had passed its vote to the new life takes X when it has heard that the new life gave up (5).
///  - Late messages of an earlier life: an ask fails by its vote_count (1), a core by the vote (4), an answer by the
///    identity it is addressed to.
///
/// Limits: with a single seed nobody else can be asked, so a single founder whose disk was emptied founds again. The
/// same holds if the disks of all seeds were emptied at once while their settings still say that this is a first start.
#pragma once
#include "control/membership/founding_messages.hpp"
#include "control/store/replica.hpp"

namespace calicostall {

/// What the settings of the machine say about founding.
struct FoundingSettings {
    std::string control;             // own address among the seeds
    std::string address;             // of the own replica
    std::vector<std::string> seeds;  // control addresses
    bool first_start = false;
    bool counted = false;
    Micros retry = milliseconds(50);         // between two asks to a seed, until this daemon is in a core
    Micros relay_retry = milliseconds(500);  // between two asks of a member to one that may lack the core
    Micros hearsay_patience = seconds(1);    // that a core exists is believed after this long without its list
};

enum class FoundingState {
    bystander,  // not a founder: it only answers, and joins
    asking,     // a founder without a core
    gave_up,    // a founder that heard of a core which does not list it: it joins
    member,     // holds a core
};

/// An ask on its way; the caller brings its answer back by `take`, or null when none came.
struct FoundMessage {
    std::string to;       // control address
    std::string replica;  // address of the replica, empty where only the control address is known
    FoundAsk ask;
};

/// The founding of one daemon. Example:
///   Founding founding(settings, replica);
///   disk.put(founding.open(), [] {});
///   for (FoundMessage& message : founding.pump(now)) send(message);
///   auto [answer, change] = founding.serve(ask, now);
///   disk.put(change, [answer] { reply(answer); });
class Founding {
public:
    /// `replica` has been loaded from the disk and has its identity.
    Founding(FoundingSettings settings, Replica& replica);

    /// Begins. Returns what must be on the disk before the first message leaves.
    Change open();
    /// The settings were read again: later seeds count as long as this daemon is a founder without a core.
    Change change_seeds(std::vector<std::string> seeds);

    /// The asks that are due.
    std::vector<FoundMessage> pump(Micros now);
    /// When `pump` has something to send; none when nothing is left to be done.
    std::optional<Micros> next_pump() const;

    /// Serves an ask. The answer may leave once the change, and all earlier ones, are on the disk.
    std::pair<FoundAnswer, Change> serve(const FoundAsk& ask, Micros now);
    /// Takes the answer of the daemon at `control`; null when none came.
    Change take(const std::string& control, const FoundAnswer* answer, Micros now);
    /// A core is at work: a message of it came in which did not mean this identity, or the news name one.
    Change note_core_at_work(Micros now);
    /// All changes that were returned before `mark` was read from `change_mark` are on the disk.
    void note_durable(std::uint64_t mark);
    /// How many changes were returned so far.
    std::uint64_t change_mark() const { return changes_; }

    FoundingState state() const;
    /// What the operator should know, one line each; cleared by the call.
    std::vector<std::string> take_log();

private:
    /// What is known of one seed, or of one listed member, and when it is asked next.
    struct Peer {
        std::string replica;
        Micros next_ask = 0;
        bool asked = false;  // an ask is under way
        std::optional<FoundAnswer> last;
        bool told = false;  // it holds the core, or is another disk than the one listed and knows of the core
    };

    const Register* core_register() const;
    std::optional<Core> held_core() const;
    bool is_asking() const { return state() == FoundingState::asking; }
    bool is_core_durable() const { return durable_ >= core_change_; }
    bool is_composer() const;
    CoreNews news() const;
    FounderAddress self() const;
    std::vector<std::string> other_seeds() const;

    void hear(const CoreNews& news, Micros now, Change& change);
    void hear_of_core_without_list(Micros now, Change& change);
    void accept(const Core& core, Change& change);
    void give_up(const std::string& reason, Change& change);
    bool grants_vote(const FoundAsk& ask, Change& change);
    void give_vote(const FoundAsk& ask, Change& change);
    void free_vote(const FoundAnswer& answer, Change& change);
    bool has_vote_of(const std::string& seed) const;
    bool is_without_vote(const std::string& seed) const;
    void compose_if_complete(Change& change);
    Core composed_core() const;
    void hold(const Core& core, Change& change);
    void keep_record(Change& change);
    void ask_seeds(std::vector<FoundMessage>& messages, Micros now);
    void ask_members(std::vector<FoundMessage>& messages, Micros now);
    std::vector<std::string> untold_members() const;
    FoundMessage ask_to(const std::string& control, Peer& peer);
    void note_peer(const FounderAddress& sender, const CoreNews& news, Micros now);
    Change returned(Change change);

    FoundingSettings settings_;
    Replica& replica_;
    FoundingRecord record_;
    std::map<std::string, Peer> peers_;  // by control address
    std::optional<Micros> hearsay_at_;   // since when a core is known to exist whose list was not seen
    bool relay_done_ = false;            // every listed member is known to have the core, or to know of it
    std::uint64_t changes_ = 0, durable_ = 0, core_change_ = 0;
    std::vector<std::string> log_;
};

/// A new random identity, never zero.
Identity draw_identity();

}  // namespace calicostall
