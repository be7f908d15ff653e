// The frames between front, control and side.
#pragma once
#include "shared/time/judged_time.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall {

// "Tell me when there is something newer than this."
struct NewsAsk {
    std::uint64_t config_revision = 0;  // the newest heard of, whether its text is here or still on its way
    Epoch epoch;
    std::uint64_t core_mark = 0;
    Micros wait = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(config_revision), visit(epoch), visit(core_mark), visit(wait);
    }
};

// Small whatever the configuration's size is: its text is asked for by itself (ConfigTextAsk), so that a slow link or a
// short time limit doesn't keep the rest back.
struct NewsAnswer {
    std::uint64_t config_revision = 0;
    std::uint64_t config_bytes = 0;  // the size of its text
    Epoch epoch;
    std::string owner;  // address of the owner's replica, empty when unknown
    std::uint64_t core_mark = 0;
    std::vector<std::string> peers;  // addresses of the core
    // Whether the daemon that answers has lately been in contact with the majority: as owner by itself, else through
    // the owner. Without contact all of the above may be old.
    bool in_contact = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(config_revision), visit(config_bytes), visit(epoch), visit(owner), visit(core_mark), visit(peers),
            visit(in_contact);
    }
};

// Asks for the text of a configuration that is at least so new.
struct ConfigTextAsk {
    std::uint64_t revision = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(revision);
    }
};

// The newest text that the daemon has; revision 0 and no text when that is older than what was asked for.
struct ConfigTextAnswer {
    std::uint64_t revision = 0;
    std::string text;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(revision), visit(text);
    }
};

// A client's or an operator's call on its way to the owner.
struct CallAsk {
    std::string method, host, path, body, if_match;
    bool relayed = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(method), visit(host), visit(path), visit(body), visit(if_match), visit(relayed);
    }
};

// settled: `code` is the answer. elsewhere: surely nothing was done here. doubtful: it may have been done.
enum class CallFate { settled, elsewhere, doubtful };

struct CallAnswer {
    CallFate fate = CallFate::elsewhere;
    std::int64_t code = 0;
    std::string body;
    std::int64_t retry_after_s = 0;
    std::string location;  // where the caller is to go, with code 307
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(fate), visit(code), visit(body), visit(retry_after_s), visit(location);
    }
};

struct WorkerAccount {
    std::string life, service, address, zone;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    std::vector<std::string> labels;
    bool draining = false;
    Micros leaves_in = -1;  // counted from the sending of the frame; -1: not known
    bool operator==(const WorkerAccount&) const = default;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(life), visit(service), visit(address), visit(zone), visit(cpu), visit(memory), visit(gpu), visit(labels),
            visit(draining), visit(leaves_in);
    }
};

struct ActiveRun {
    std::string task;
    std::uint32_t run = 0;
    std::string saved;
    std::int64_t percent = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(task), visit(run), visit(saved), visit(percent);
    }
};

struct FinishedRun {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how, saved;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(task), visit(run), visit(how), visit(saved);
    }
};

// What a worker's `/hold` said, asked under `fence`.
struct HoldReport {
    std::string life;
    Epoch fence;
    std::vector<ActiveRun> active;
    std::vector<FinishedRun> finished;
    std::vector<std::string> stops;  // "TASK RUN" of the stops that were answered before this look began
    bool after_gap = false;          // the look before it had no answer: the ends may be older than they seem
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(life), visit(fence), visit(active), visit(finished), visit(stops), visit(after_gap);
    }
};

enum class OrderKind { start, stop };

struct Order {
    std::uint64_t number = 0;
    OrderKind kind = OrderKind::start;
    std::string life, task;
    std::uint32_t run = 0;
    std::string spec, saved;
    std::uint64_t spec_place = 0;  // in a SideAnswer: from 1, the place of the spec in `specs`; 0: `spec` holds it
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(kind), visit(life), visit(task), visit(run), visit(spec), visit(saved), visit(spec_place);
    }
};

// started: the worker has it. turned_away: it will not start by this order, and no earlier try is open.
// doubtful: it may start yet.
enum class OrderFate { started, turned_away, doubtful };

struct OrderResult {
    std::uint64_t number = 0;
    OrderFate fate = OrderFate::started;
    std::string task;
    std::uint32_t run = 0;
    std::string reason;
    Micros ago = 0;  // how long before the sending of the frame
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(fate), visit(task), visit(run), visit(reason), visit(ago);
    }
};

struct SideAsk {
    std::string node;
    std::uint64_t incarnation = 0;  // this process of the side daemon
    std::uint64_t number = 0;       // rises with each ask
    Epoch epoch;                    // of the owner whose orders `taken` counts
    std::uint64_t taken = 0;        // highest order number taken
    std::uint64_t seen = 0;         // of the ends, as far as the owner acknowledged
    std::optional<WorkerAccount> worker;
    std::uint64_t account_mark =
        0;                  // rises with each change of `worker`; alone, it means the account that was sent with it
    Micros leaves_in = -1;  // as in the account, sent each time
    std::vector<std::string> over;  // lives seen to have ended on this machine
    std::optional<HoldReport> report;
    std::vector<OrderResult> results;
    bool silent = false;  // the worker does not answer
    bool relayed = false;
    JudgedTime judged;  // the time of day as the last owner told it
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(node), visit(incarnation), visit(number), visit(epoch), visit(taken), visit(seen), visit(worker),
            visit(account_mark), visit(leaves_in), visit(over), visit(report), visit(results), visit(silent),
            visit(relayed), visit(judged);
    }
};

struct SideAnswer {
    bool served = false;  // false: no owner here
    Epoch epoch;
    Micros allowance = 0;  // the hold may last this long, counted from the sending of the ask
    std::string life;
    std::uint64_t era = 0;  // orders of an earlier era are void
    std::uint64_t seen = 0;
    bool look = false;  // a look at the worker is wanted now
    std::vector<Order> orders;
    std::vector<std::string> specs;  // each once, however many orders share it
    Micros pause = 0;                // before the next ask
    bool whole = false;              // nothing of the ask was taken: the account that its mark means is not known here
    JudgedTime judged;               // the time of day that the owner goes by
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(served), visit(epoch), visit(allowance), visit(life), visit(era), visit(seen), visit(look), visit(orders),
            visit(specs), visit(pause), visit(whole), visit(judged);
    }
    // Siblings share the text of their job: on the way it is written once.
    void gather_specs() {
        std::unordered_map<std::string_view, std::uint64_t> places;
        std::vector<std::string> texts;
        texts.reserve(orders.size());  // the views in `places` stay good
        for (Order& order : orders) {
            if (order.spec.empty() || order.spec_place != 0) continue;
            auto known = places.find(order.spec);
            if (known == places.end()) {
                texts.push_back(std::move(order.spec));
                known = places.emplace(texts.back(), texts.size()).first;
            }
            order.spec.clear();
            order.spec_place = known->second;
        }
        specs = std::move(texts);
    }
    // False when an order names a text that is not there.
    bool spread_specs() {
        for (Order& order : orders) {
            if (order.spec_place > specs.size()) return false;
            if (order.spec_place > 0) order.spec = specs[order.spec_place - 1];
            order.spec_place = 0;
        }
        return true;
    }
};

struct AliveNote {
    Identity from;
    bool leaving = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(from), visit(leaving);
    }
};

// A member wants to leave: may it?
struct LeaveAsk {
    Identity identity;
    Epoch epoch;                 // of the answer that named `sequence`
    std::uint64_t sequence = 0;  // the proposals that others must hold; 0: those until now
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(identity), visit(epoch), visit(sequence);
    }
};

struct LeaveAnswer {
    bool level = false;  // all up to the sequence of the question is on a majority without the asker
    Epoch epoch;
    std::uint64_t sequence = 0;  // what the next question is to name
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(level), visit(epoch), visit(sequence);
    }
};

struct JoinAsk {
    Identity identity;
    std::string address, control;
    bool relayed = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(identity), visit(address), visit(control), visit(relayed);
    }
};

struct JoinAnswer {
    bool heard = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(heard);
    }
};

}  // namespace calicostall
