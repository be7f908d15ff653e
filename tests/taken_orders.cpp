// The list of taken configuration orders and the reading of If-Match, by tables and against a plain model.
#include "control/jobs/calls/taken_orders.hpp"

#include "check.hpp"
#include "control/jobs/calls/if_match.hpp"
#include "shared/settings/config.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

TakenOrder order_of(std::uint64_t revision, const std::string& text = "text") {
    return {revision, revision - 1, digest_of(text)};
}

// Takes an order as the owner does: its parts go into the record.
void take(TakenOrders& orders, Register& record, const TakenOrder& order) {
    record.change(orders.add(order), false);
}

void remembers_and_survives_a_takeover() {
    TakenOrders orders;
    Register record;
    for (std::uint64_t revision = 1; revision <= 20; ++revision)
        take(orders, record, order_of(revision));
    TakenOrders next_owner;
    next_owner.load(record, 20);
    for (const TakenOrders* list : {&orders, &next_owner}) {
        EXPECT(list->size() == 20);
        EXPECT(list->highest_dropped() == 0);
        EXPECT(list->recall(7, 6, digest_of("text")) == Recall::taken);
        EXPECT(list->recall(7, 5, digest_of("text")) == Recall::other_base);
        EXPECT(list->recall(7, std::nullopt, digest_of("text")) == Recall::other_base);
        EXPECT(list->recall(7, 6, digest_of("texts")) == Recall::never);
        EXPECT(list->recall(21, 20, digest_of("text")) == Recall::never);
    }
}

void drops_the_oldest_first() {
    TakenOrders orders;
    Register record;
    const std::uint64_t count = TakenOrders::capacity + 300;
    for (std::uint64_t number = 1; number <= count; ++number)
        take(orders, record, order_of(number * 3));
    EXPECT(record.parts.size() == TakenOrders::capacity + 1);
    TakenOrders next_owner;
    next_owner.load(record, count * 3);
    for (const TakenOrders* list : {&orders, &next_owner}) {
        EXPECT(list->size() == TakenOrders::capacity);
        EXPECT(list->highest_dropped() == 900);
        EXPECT(list->recall(903, 902, digest_of("text")) == Recall::taken);
        EXPECT(list->recall(900, 899, digest_of("text")) == Recall::maybe_forgotten);
        EXPECT(list->recall(2, 1, digest_of("other")) == Recall::maybe_forgotten);
        // Its base is not below its revision, so it was never taken.
        EXPECT(list->recall(2, 2, digest_of("other")) == Recall::never);
        EXPECT(list->recall(904, 903, digest_of("text")) == Recall::never);
    }
}

void one_change_writes_two_small_parts_at_most() {
    TakenOrders orders;
    for (std::uint64_t revision = 1; revision <= TakenOrders::capacity * 2; ++revision) {
        std::vector<Part> parts = orders.add(order_of(revision));
        EXPECT(parts.size() <= 2);
        for (const Part& part : parts)
            EXPECT(!part.bytes.empty() && part.bytes.size() < 48);
    }
}

void a_record_without_the_list_leaves_old_orders_open() {
    Register record;
    record.moving = R"({"revision":9})";
    TakenOrders orders;
    orders.load(record, 9);
    EXPECT(orders.recall(9, 8, digest_of("x")) == Recall::maybe_forgotten);
    EXPECT(orders.recall(10, 8, digest_of("x")) == Recall::never);
    take(orders, record, order_of(10));
    TakenOrders next_owner;
    next_owner.load(record, 10);
    EXPECT(next_owner.highest_dropped() == 9);
    EXPECT(next_owner.recall(10, 9, digest_of("text")) == Recall::taken);
    // A part that can't be read may have been any order up to the present one.
    record.parts[1] = "?";
    next_owner.load(record, 10);
    EXPECT(next_owner.recall(10, 9, digest_of("text")) == Recall::maybe_forgotten);
}

void equals_a_plain_list() {
    bool good = rc::check("every order is recalled as by a plain list, through takeovers", [] {
        TakenOrders orders;
        Register record;
        std::vector<TakenOrder> all;
        std::uint64_t revision = 0;
        const std::size_t steps = *rc::gen::inRange<std::size_t>(1, 3000);
        const std::uint64_t leap = *rc::gen::inRange<std::uint64_t>(1, 5);
        const std::size_t life = *rc::gen::inRange<std::size_t>(1, 700);
        for (std::size_t step = 0; step < steps; ++step) {
            const std::uint64_t base = revision;
            revision += 1 + (revision * 7 + step) % leap;
            all.push_back({revision, base, digest_of(fmt::format("text {}", step))});
            take(orders, record, all.back());
            if (step % life == 0) orders.load(record, revision);
        }
        const std::size_t dropped = all.size() > TakenOrders::capacity ? all.size() - TakenOrders::capacity : 0;
        for (std::size_t place = 0; place < all.size(); ++place) {
            const TakenOrder& order = all[place];
            Recall wanted = place < dropped ? Recall::maybe_forgotten : Recall::taken;
            RC_ASSERT(orders.recall(order.revision, order.base, order.text) == wanted);
        }
        RC_ASSERT(orders.highest_dropped() == (dropped ? all[dropped - 1].revision : 0));
    });
    property("equals a plain list", good);
}

void reads_if_match() {
    struct Case {
        std::string header;
        std::optional<std::uint64_t> version;
        bool malformed;
    };
    for (const Case& each : std::vector<Case>{{"", std::nullopt, false},
                                              {"0", 0, false},
                                              {"\"17\"", 17, false},
                                              {"18446744073709551615", 18446744073709551615u, false},
                                              {"18446744073709551616", std::nullopt, true},
                                              {"\"\"", std::nullopt, true},
                                              {"-1", std::nullopt, true},
                                              {"+1", std::nullopt, true},
                                              {"1.0", std::nullopt, true},
                                              {"*", std::nullopt, true},
                                              {"W/\"3\"", std::nullopt, true}}) {
        IfMatch read = parse_if_match(each.header);
        EXPECT_SAID(read.version == each.version && read.malformed == each.malformed, "If-Match: " + each.header);
    }
}

void reads_revisions_exactly() {
    struct Case {
        std::string number;
        std::optional<std::uint64_t> revision;
    };
    for (const Case& each : std::vector<Case>{{"3", 3},
                                              {"3.0", 3},
                                              {"9007199254740993", 9007199254740993u},
                                              {"18446744073709551615", 18446744073709551615u},
                                              {"3.5", std::nullopt},
                                              {"-3", std::nullopt},
                                              {"1e300", std::nullopt},
                                              {"\"3\"", std::nullopt},
                                              {"null", std::nullopt}}) {
        Findings findings;
        Config config = parse_config(R"({"services":[],"routes":[],"revision":)" + each.number + "}", findings);
        EXPECT_SAID(findings.empty() == each.revision.has_value(), "findings of revision " + each.number);
        if (each.revision) EXPECT_SAID(config.revision == *each.revision, "revision " + each.number);
    }
}

}  // namespace

int main() {
    remembers_and_survives_a_takeover();
    drops_the_oldest_first();
    one_change_writes_two_small_parts_at_most();
    a_record_without_the_list_leaves_old_orders_open();
    equals_a_plain_list();
    reads_if_match();
    reads_revisions_exactly();
    return result();
}
