// Which change of membership comes next: tables for cores of 2 to 9, the order of replacements weighed by the losses
// that can be borne at each step, and properties over any health of members and joiners.
#include "control/membership/core_keeper.hpp"

#include "check.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

constexpr Micros start = seconds(100);

constexpr Micros ms(std::int64_t count) {
    return milliseconds(count);
}

Identity identity_of(std::uint64_t number) {
    return Identity{100 + number};
}
Member member_of(std::uint64_t number) {
    return {number, identity_of(number), fmt::format("r{}", number), fmt::format("c{}", number)};
}
Core core_of(size_t count) {
    Core core;
    for (std::uint64_t number = 1; number <= count; ++number)
        core.members.push_back(member_of(number));
    core.next_number = count + 1;
    core.size_wanted = count;
    return core;
}
Member joiner_of(std::uint64_t number, std::string address = {}) {
    Member joiner = member_of(number);
    joiner.identity = Identity{900 + number};
    joiner.number = 0;
    if (!address.empty()) joiner.address = std::move(address);
    return joiner;
}

/// What the owner sees, as a table: those not named were heard just now and follow.
struct Health : CoreHealth {
    bool settled = true;
    std::map<Identity, Micros> last_heard;  // 0: never in this term
    std::set<Identity> gone, behind;
    Micros now = 0;
    bool is_settled() const override { return settled; }
    bool heard_since(Identity identity, Micros since) const override {
        auto known = last_heard.find(identity);
        return (known == last_heard.end() ? now : known->second) >= since;
    }
    bool is_gone(Identity identity) const override { return gone.contains(identity); }
    bool is_following(Identity identity) const override { return !behind.contains(identity); }
    void silence(std::uint64_t number, Micros since) { last_heard[identity_of(number)] = since; }
};

/// A keeper of member 1, who has been owner since `start`.
struct Scene {
    CoreKeeperSettings settings;
    CoreKeeper keeper{settings, identity_of(1)};
    Health health;
    Micros now = start;
    Scene() { keeper.begin_term(start); }
    CoreChange next(const Core& core, Micros at) {
        now = health.now = start + at;
        return keeper.next_change(core, health, now);
    }
    // "none", "add NUMBER" or "remove NUMBER".
    std::string said(const Core& core, Micros at) {
        CoreChange change = next(core, at);
        if (change.kind == CoreChange::Kind::none) return "none";
        return fmt::format("{} {}", change.kind == CoreChange::Kind::add ? "add" : "remove", change.member.number);
    }
    void join(const Member& joiner, Micros at, bool ready = true) {
        keeper.note_joiner(joiner, start + at);
        if (!ready) health.behind.insert(joiner.identity);
    }
};

#define EXPECT_CHANGE(scene, core, at, wanted)                                                       \
    do {                                                                                             \
        std::string change_said = (scene).said(core, at);                                            \
        EXPECT_SAID(change_said == (wanted), fmt::format("{} in place of {}", change_said, wanted)); \
    } while (false)

// --- the weighing of the order, by the figures themselves ---

// How many more members of the core may be lost while a majority of it lives.
long margin(const Core& core, const std::set<Identity>& dead) {
    long living = 0;
    for (const Member& member : core.members)
        living += !dead.contains(member.identity);
    return living - long(core.majority());
}
Core without(Core core, std::uint64_t number) {
    std::erase_if(core.members, [&](const Member& member) { return member.number == number; });
    return core;
}
Core with(Core core, const Member& joiner) {
    core.members.push_back(joiner);
    return core;
}

// Why a member whose disk is lost goes first: no single loss of a living member or of the joiner between the two steps
// leaves less than the other order does.
void order_of_a_replacement() {
    struct Row {
        size_t size;
        long before, removed_first, added_first, after;
    };
    const Row rows[] = {{3, 0, 0, 0, 1}, {4, 0, 1, 1, 1}, {5, 1, 1, 1, 2}, {6, 1, 2, 2, 2}};
    for (const Row& row : rows) {
        Core core = core_of(row.size);
        const std::uint64_t dead_number = row.size;
        const Member joiner = joiner_of(50);
        const std::set<Identity> dead{identity_of(dead_number)};
        const Core removed = without(core, dead_number), added = with(core, joiner);
        EXPECT(margin(core, dead) == row.before);
        EXPECT(margin(removed, dead) == row.removed_first);
        EXPECT(margin(added, dead) == row.added_first);
        EXPECT(margin(without(added, dead_number), dead) == row.after);
        for (const Member& lost : added.members) {
            std::set<Identity> more = dead;
            more.insert(lost.identity);
            EXPECT(margin(removed, more) >= margin(added, more));
        }
        // The joiner's loss costs nothing where the dead one went first.
        std::set<Identity> joiner_lost = dead;
        joiner_lost.insert(joiner.identity);
        EXPECT(margin(removed, joiner_lost) == row.removed_first && margin(added, joiner_lost) < row.added_first);
    }
    // One that leaves in order is alive: there the joiner goes in first.
    for (size_t size : {3, 5}) {
        Core core = core_of(size);
        EXPECT(margin(with(core, joiner_of(50)), {}) == margin(core, {}));
        EXPECT(margin(without(core, size), {}) == margin(core, {}) - 1);
    }
}

// --- decisions ---

void one_change_at_a_time() {
    Scene scene;
    scene.join(joiner_of(50), 0);
    scene.health.settled = false;
    EXPECT_CHANGE(scene, core_of(3), seconds(1), "none");
    scene.health.settled = true;
    EXPECT_CHANGE(scene, core_of(3), seconds(1), "add 4");
}

void joiners_come_in_when_ready() {
    Scene scene;
    scene.join(joiner_of(50), 0, false);
    EXPECT_CHANGE(scene, core_of(3), seconds(1), "none");
    scene.health.behind.clear();
    CoreChange change = scene.next(core_of(3), seconds(1));
    EXPECT(change.kind == CoreChange::Kind::add && change.member.number == 4 && change.core.next_number == 5);
    EXPECT(change.core.members.size() == 4 && change.core.size_wanted == 4);
    EXPECT_CHANGE(scene, core_of(9), seconds(1), "none");
    // One that became a member or stopped asking is forgotten.
    EXPECT(scene.keeper.expire_joiners(core_of(3), start + seconds(2)).empty());
    EXPECT(scene.keeper.expire_joiners(change.core, start + seconds(2)).size() == 1);
    scene.join(joiner_of(51), seconds(2));
    EXPECT(scene.keeper.expire_joiners(core_of(3), start + seconds(6)).size() == 1);
    EXPECT(scene.keeper.joiners().empty());
}

void silent_members() {
    struct Row {
        size_t size;
        bool joiner, ready;
        Micros silent_for;
        const char* change;
    };
    const Row rows[] = {
        {3, false, false, seconds(30), "none"},       // never without a joiner
        {3, true, false, seconds(30), "none"},        // it may still come back and count
        {3, true, true, milliseconds(500), "add 4"},  // heard a moment ago
        {3, true, true, ms(1500), "none"},            // out of hearing: neither
        {3, true, true, ms(2100), "add 4"},           // made up for; then the core is even, and it goes
        {4, false, false, ms(2100), "none"},
        {4, false, false, ms(12100), "remove 4"},
        {4, true, false, ms(12100), "none"},  // the joiner first: the core may be on its way back to five
        {4, true, true, ms(1500), "add 5"},   // makes an odd core: the joiner raises the margin
        {4, true, true, ms(12100), "add 5"},
        {5, false, false, ms(2100), "none"},
        {5, false, false, seconds(30), "none"},  // it may come back with what counts
        {5, true, false, ms(2100), "none"},
        {5, true, false, seconds(30), "none"},
        {5, true, true, ms(1500), "none"},
        {5, true, true, ms(2100), "add 6"},
        {2, true, true, ms(500), "add 3"},
        {2, true, true, ms(12100), "add 3"},  // never the silent one first: of two each is needed
        {2, true, false, seconds(30), "none"},
    };
    for (const Row& row : rows) {
        Scene scene;
        const Micros now = seconds(40);
        scene.health.silence(row.size, start + now - row.silent_for);
        if (row.joiner) scene.join(joiner_of(50), now, row.ready);
        EXPECT_SAID(scene.said(core_of(row.size), now) == row.change,
                    fmt::format("core of {}, joiner {}, ready {}, silent for {}: not {}", row.size, row.joiner,
                                row.ready, row.silent_for, row.change));
    }
}

// How many disks may be lost for good while a majority of the core can still come back. Members that are only silent
// do.
long bearable(const Core& core, const std::set<Identity>& lost) {
    return margin(core, lost);
}

// The table in core_keeper.hpp: what a removal or an addition does to the losses that can be borne.
void bearable_losses() {
    const long rows[] = {0, 1, 1, 2, 2, 3};  // of cores of two to seven
    for (size_t size = 2; size <= 7; ++size)
        EXPECT(bearable(core_of(size), {}) == rows[size - 2]);
}

// The day that lost its core: one member is silent, another's disk is lost and its machine asks to join. Neither goes
// while the other can't count; when the silent one is back, the lost one does.
void a_silent_member_and_a_lost_disk() {
    for (size_t size : {3, 4}) {
        Scene scene;
        const Core core = core_of(size);
        scene.health.silence(2, start);
        scene.health.gone = {identity_of(3)};
        scene.join(joiner_of(3, "r3"), seconds(7));
        // In a core of four the other three are a majority of the three that are left.
        const std::string while_silent = size == 3 ? "none" : "remove 3";
        EXPECT_CHANGE(scene, core, seconds(7), while_silent);
        // The same before the owner has heard from the address itself.
        scene.health.gone.clear();
        EXPECT_CHANGE(scene, core, seconds(7), while_silent);
        scene.health.silence(2, start + seconds(8));
        EXPECT_CHANGE(scene, core, seconds(8), "remove 3");
    }
}

// A whole replacement in a core of three, four and five: no step leaves fewer losses bearable than the one before, and
// the last one bears as many as the core did at first.
void whole_replacements() {
    for (size_t size : {3, 4, 5, 6, 7})
        for (bool gone : {false, true}) {
            Scene scene;
            Core core = core_of(size);
            const std::set<Identity> dead{identity_of(size)};
            scene.health.silence(size, start);
            if (gone) scene.health.gone = dead;
            long least = margin(core, dead);
            const long healthy = margin(core, {});
            for (Micros at = seconds(3); at < seconds(10); at += ms(100)) {
                scene.join(joiner_of(50), at, at < seconds(5));
                if (at >= seconds(5)) scene.health.behind.clear();
                scene.keeper.expire_joiners(core, start + at);
                CoreChange change = scene.next(core, at);
                if (change.kind == CoreChange::Kind::none) continue;
                core = change.core;
                EXPECT(margin(core, dead) >= least);
                least = margin(core, dead);
            }
            // A silent member of an even core stays in the odd one that the joiner has made of it.
            const bool stays = !gone && size % 2 == 0;
            EXPECT(core.members.size() == size + stays && bool(core.find(identity_of(size))) == stays);
            EXPECT(core.find(Identity{950}));
            EXPECT(margin(core, dead) == healthy);
        }
}

void another_identity_at_the_address() {
    // The joiner stands at the address of member 3: that disk is lost, and it goes at once, ready or not.
    Scene scene;
    scene.join(joiner_of(3, "r3"), ms(10), false);
    EXPECT_CHANGE(scene, core_of(3), ms(20), "remove 3");
    EXPECT_CHANGE(scene, core_of(5), ms(20), "remove 3");
    // The owner was told so by the address itself: believed after a moment, and not from a core of three alone.
    Scene told;
    told.health.gone = {identity_of(2)};
    EXPECT_CHANGE(told, core_of(4), ms(400), "none");
    EXPECT_CHANGE(told, core_of(4), ms(600), "remove 2");
    EXPECT_CHANGE(told, core_of(3), ms(600), "none");
    told.join(joiner_of(50), ms(600), false);
    EXPECT_CHANGE(told, core_of(3), ms(600), "remove 2");
    // Before one that is only silent.
    Scene both;
    both.health.silence(2, start);
    both.health.gone = {identity_of(4)};
    EXPECT_CHANGE(both, core_of(6), seconds(20), "remove 4");
}

// Nobody goes while the rest has no majority that is heard and follows, whatever the reason of going is.
void the_rest_must_get_level() {
    for (bool gone : {false, true}) {
        Scene scene;
        scene.join(joiner_of(3, gone ? "r3" : ""), seconds(19));
        scene.health.silence(3, start);
        scene.health.behind = {identity_of(2)};
        EXPECT_CHANGE(scene, core_of(3), seconds(20), "none");
        scene.health.behind.clear();
        scene.health.silence(2, start + seconds(20) - ms(1100));
        EXPECT_CHANGE(scene, core_of(3), seconds(20), "none");
        scene.health.silence(2, start + seconds(20) - ms(900));
        EXPECT_CHANGE(scene, core_of(3), seconds(20), "remove 3");
    }
}

// The owner's own disk is no exception: if it lags, it is no copy.
void the_owner_may_lag() {
    Scene scene;
    scene.health.silence(4, start);
    scene.health.behind = {identity_of(1), identity_of(2)};
    EXPECT_CHANGE(scene, core_of(4), seconds(20), "none");
    scene.health.behind = {identity_of(1)};
    EXPECT_CHANGE(scene, core_of(4), seconds(20), "remove 4");
}

void a_new_term_starts_anew() {
    Scene scene;
    scene.health.silence(4, 0);
    EXPECT_CHANGE(scene, core_of(4), seconds(13), "remove 4");
    scene.join(joiner_of(50), seconds(13));
    scene.keeper.begin_term(start + seconds(13));
    EXPECT(scene.keeper.joiners().empty());
    EXPECT_CHANGE(scene, core_of(4), seconds(14), "none");
}

void just_added_in_its_stead() {
    Scene scene;
    scene.join(joiner_of(50), seconds(1));
    Core core = scene.next(core_of(4), seconds(1)).core;
    scene.keeper.expire_joiners(core, start + seconds(1));
    scene.health.silence(4, start + seconds(1));
    // The core is odd now, with a silent member that may come back: that one stays until another joiner is in as well.
    EXPECT_CHANGE(scene, core, seconds(2), "none");
    EXPECT_CHANGE(scene, core, ms(3100), "none");
    scene.join(joiner_of(51), ms(3100));
    core = scene.next(core, ms(3200)).core;
    EXPECT(core.members.size() == 6);
    scene.keeper.expire_joiners(core, start + ms(3200));
    EXPECT_CHANGE(scene, core, ms(3300), "remove 4");
    // Long after, it is only one that is silent.
    Scene later;
    later.join(joiner_of(50), seconds(1));
    core = later.next(core_of(4), seconds(1)).core;
    later.keeper.expire_joiners(core, start + seconds(1));
    later.health.silence(4, start + seconds(10));
    EXPECT_CHANGE(later, core, seconds(13), "none");
}

// --- any health ---

void any_health() {
    bool good = rc::check("no decision costs a loss that could be borne", [] {
        Scene scene;
        const size_t size = *rc::gen::inRange<size_t>(1, 10);
        const Core core = core_of(size);
        const Micros at = ms(*rc::gen::inRange(0, 30000));
        std::set<Identity> unheard, lost;  // lost: their disks
        for (std::uint64_t number = 2; number <= size; ++number) {
            const Micros silent_for = ms(*rc::gen::element(0, 0, 0, 900, 1100, 2100, 13000));
            scene.health.silence(number, start + at - silent_for);
            if (silent_for > seconds(1)) unheard.insert(identity_of(number));
            if (*rc::gen::inRange(0, 6) == 0) scene.health.behind.insert(identity_of(number));
            if (*rc::gen::inRange(0, 8) == 0)
                scene.health.gone.insert(identity_of(number)), unheard.insert(identity_of(number)),
                    lost.insert(identity_of(number));
        }
        for (std::uint64_t number = 50; number < 50 + *rc::gen::inRange<std::uint64_t>(0, 3); ++number) {
            std::string address =
                *rc::gen::inRange(0, 4) == 0 ? fmt::format("r{}", *rc::gen::inRange<size_t>(2, 10)) : "";
            scene.join(joiner_of(number, address), at, *rc::gen::arbitrary<bool>());
            for (const Member& member : core.members)
                if (member.address == address) unheard.insert(member.identity), lost.insert(member.identity);
        }
        scene.health.settled = *rc::gen::inRange(0, 8) > 0;
        CoreChange change = scene.next(core, at);
        if (change.kind == CoreChange::Kind::none) return;
        RC_ASSERT(scene.health.settled);
        RC_ASSERT(change.core.find(identity_of(1)));
        RC_ASSERT(change.core.size_wanted == change.core.members.size());
        // One member more or less, and majorities of the two always meet.
        size_t kept = 0;
        for (const Member& member : core.members)
            kept += change.core.find(member.identity) != nullptr;
        if (change.kind == CoreChange::Kind::add) {
            RC_ASSERT(kept == size && change.core.members.size() == size + 1 && size < scene.settings.size_max);
            RC_ASSERT(scene.health.is_following(change.member.identity));
            RC_ASSERT(change.member.number == core.next_number && change.core.next_number == core.next_number + 1);
        } else {
            RC_ASSERT(kept == size - 1 && change.core.members.size() == size - 1);
            RC_ASSERT(unheard.contains(change.member.identity));
            RC_ASSERT(size > scene.settings.size_min || !scene.keeper.joiners().empty());
        }
        // Whatever changes, the core after it has a majority that is heard and follows, without lost disks.
        size_t able = 0;
        for (const Member& member : change.core.members) {
            const bool heard = member.number == 1 || scene.health.heard_since(member.identity, scene.now - seconds(1));
            able += heard && scene.health.is_following(member.identity) && !lost.contains(member.identity);
        }
        RC_ASSERT(able >= change.core.majority());
        RC_ASSERT(margin(change.core, unheard) >= margin(core, unheard));
        RC_ASSERT(bearable(change.core, lost) >= bearable(core, lost));
    });
    property("any health", good);
}

}  // namespace

int main() {
    order_of_a_replacement();
    one_change_at_a_time();
    joiners_come_in_when_ready();
    silent_members();
    bearable_losses();
    a_silent_member_and_a_lost_disk();
    whole_replacements();
    another_identity_at_the_address();
    the_rest_must_get_level();
    the_owner_may_lag();
    a_new_term_starts_anew();
    just_added_in_its_stead();
    any_health();
    return result();
}
