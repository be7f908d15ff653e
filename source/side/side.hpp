// The role `side`: the agent of the worker on its machine; what it knows is gone with its process.
//
// It takes the worker's beats (beats.cpp), carries the owner's orders to the worker (orders.cpp), renews the hold and
// polls what runs and what ended there (holds.cpp), and reports all of it to the owner (reports.cpp).
#pragma once
#include "common.hpp"
#include "shared/http/listener.hpp"
#include "shared/http/loop.hpp"
#include "shared/news/locator.hpp"
#include "shared/news/pace.hpp"
#include "shared/settings/settings.hpp"
#include "shared/wire/frames.hpp"
#include "side/retry.hpp"
#include "side/worker_messages.hpp"

namespace calicostall {

struct SideSettings {
    Settings machine;
    Micros ask_patience = milliseconds(1700);  // of an ask at the owner
    AnswerTimeout::Settings answer_timeout;    // of a start, stop or short poll at the worker
    Micros poll_wait = milliseconds(700);      // so long a poll waits at the worker for an end
    Micros poll_slack = milliseconds(250);     // beyond the wait, until a poll counts as unanswered
    // After a call without an answer polls are short for a while: a lost one hides the ends that came meanwhile.
    Micros lossy_for = seconds(6);
    Micros lossy_poll_wait = milliseconds(60);
    // The worker counts as silent after so many polls in a row without an answer, over at least such a time.
    size_t silent_after = 3;
    Micros silent_after_time = milliseconds(1200);
    Micros gather = milliseconds(15);  // between the end that a poll showed and the next poll
    Micros unseen_wait = milliseconds(300);
    // A start without an answer is tried again until it has had both so many attempts and such a time.
    size_t attempts_most = 4;
    Micros attempts_for = seconds(1);
};

// Thread-safe: the worker's calls come from the listener's thread, answers and timers from the loop's.
class Side {
public:
    Side(SideSettings settings, Loop& loop);

    // Opens the address for the worker's calls and begins to work. Without an address none is opened: the calls come
    // by `take` alone. An address that can't be opened is a finding.
    Findings open();
    void leave(std::function<void()> then);
    void take_settings(const Settings& machine);

    // Calls of the worker, by the table: PUT /workers/ID, DELETE /workers/ID.
    // Example: side.take({.method = "PUT", .path = "/workers/i-7f3a", .body = beat});
    void take(Request request);

private:
    using RunKey = std::pair<std::string, std::uint32_t>;  // task, run

    // An order on its way to the worker.
    struct PendingOrder {
        Order order;
        size_t attempts = 0;
        bool open = false;  // an attempt got no answer: it may be carried out yet
        bool in_flight = false;
        Micros first_sent_at = 0, next_at = 0;
    };
    // What was true when a call to the worker was made; its answer counts only as far as that still holds.
    struct CallContext {
        std::string life;
        Epoch epoch;
        std::uint64_t era = 0;
        Micros sent_at = 0;
    };
    struct PollContext {
        CallContext call;
        bool is_short = false;
        bool waits = false;                // the worker may keep the answer back until an end comes
        std::vector<std::string> stopped;  // stops that were answered before the poll began
    };
    // What an ask at the owner carried, so that its answer clears just that.
    struct ReportContext {
        std::uint64_t number = 0, generation = 0;
        Micros asked_at = 0;
        std::uint64_t report_mark = 0, results_mark = 0, account_mark = 0;
    };

    // --- side.cpp ---
    void tick();
    void work(Micros now);
    void log_counters(Micros now);

    // --- beats.cpp: the worker's calls and lives ---
    void take_beat(const std::string& life, Request request);
    void note_beat(WorkerBeat beat, Micros now);
    void take_leave(const std::string& life, Request request);
    void begin_life(const std::string& life);
    void end_life();

    // --- orders.cpp: starts and stops ---
    void take_order(const Order& order);
    void clear_orders();
    void send_orders(Micros now);
    void refuse_starts_while_draining();
    void send_start(const RunKey& key, PendingOrder& pending, Micros now);
    void take_start_answer(const RunKey& key, const CallContext& context, const Answer& answer);
    void send_stop(const RunKey& key, PendingOrder& pending);
    void take_stop_answer(const RunKey& key, const CallContext& context, const Answer& answer);
    // When a start that was not accepted is tried again; nothing when it has had its attempts or must not be.
    std::optional<Micros> retry_start_at(const PendingOrder& pending, const Answer& answer, const std::string& reason,
                                         Micros now) const;
    void end_start(std::map<RunKey, PendingOrder>::iterator pending, OrderFate fate, std::string reason);
    bool any_start_sent() const;
    void call_worker(const char* path, const boost::json::object& body, Micros patience, Loop::Then then);
    CallContext call_context() const;
    // What an answer, or none, says of how long the next one is to be waited for.
    void note_round_trip(const CallContext& context, const Answer& answer, Micros now);
    std::string note_reply(const Answer& answer, Micros now);

    // --- holds.cpp: the worker's clock, the hold, and polls of what runs ---
    void note_clock(Micros worker_clock, Micros now) { clock_base_ = std::pair(worker_clock, now); }
    // The latest time on the worker's clock, in ms, up to which the owner allows holds; 0 when there is none.
    std::int64_t hold_until_ms(Micros now) const;
    bool lossy(Micros now) const { return now < lossy_until_; }
    void note_loss(Micros now) { lossy_until_ = now + settings_.lossy_for; }
    void poll_if_due(Micros now);
    // Asks the worker what runs and what ended; it may wait so long for an end.
    void poll(Micros wait);
    void take_poll_answer(const PollContext& context, const Answer& answer);
    bool take_hold_reply(const PollContext& context, const Answer& answer, Micros now);
    void note_poll_answered();
    void note_poll_unanswered(const PollContext& context, const Answer& answer, Micros now);
    bool silent_by_now(Micros now) const;
    void add_report(const PollContext& context, HoldReply reply, bool ends, Micros now);

    // --- reports.cpp: asks at the owner ---
    void take_news();
    // One ask always waits at the owner; a second one carries what cannot wait for its answer.
    void ask_owner(Haste haste);
    void ask_owner_later(Haste haste, Micros now, Micros due);
    SideAsk make_ask(Micros now);
    void take_owner_answer(const ReportContext& context, const Answer& answer);
    void take_unserved(bool heard, Micros now);
    void clear_reported(const ReportContext& context);
    void follow(const ReportContext& context, const SideAnswer& answer);
    void add_result(const Order& order, OrderFate fate, std::string reason);

    SideSettings settings_;
    Loop& loop_;
    std::recursive_mutex lock_;
    Locator locator_;
    std::unique_ptr<Listener> control_;
    std::uint64_t incarnation_ = 0;
    Micros counted_at_ = 0;

    // The worker.
    std::optional<WorkerAccount> worker_;
    std::deque<std::string> ended_lives_;
    std::uint64_t beat_sequence_ = 0;
    Micros leaves_at_ = -1;
    std::uint64_t account_mark_ = 0;  // rises with each change of the account

    // The owner.
    Epoch epoch_, news_epoch_;
    std::uint64_t era_ = 0, taken_ = 0, seen_ = 0;
    std::uint64_t ask_number_ = 0, answered_ = 0, ask_generation_ = 0;
    size_t asks_in_flight_ = 0, ask_tries_ = 0, ask_choice_ = 0;
    Haste ask_wanted_ = Haste::resting;
    bool ask_timed_ = false;
    AskPacer pacer_;
    std::uint64_t account_reported_ = 0;  // to the owner that answered last
    std::vector<OrderResult> results_;
    std::uint64_t results_dropped_ = 0, report_mark_ = 0;
    std::optional<HoldReport> report_;
    Micros reported_at_ = 0;

    // Orders.
    std::map<RunKey, PendingOrder> starts_, stops_;
    std::vector<std::string> stopped_;  // "TASK RUN" of the stops that were answered and not yet reported

    // Holds and polls.
    std::optional<std::pair<Micros, Micros>> clock_base_;  // the worker's clock, and ours at that moment
    TimeMemory time_memory_;
    Micros allowed_until_ = 0;
    Epoch fence_shown_;
    std::uint64_t highest_end_ = 0;
    size_t active_ = 0;
    bool polling_ = false, polling_short_ = false, poll_again_ = false;
    bool silent_ = false;           // the worker does not answer
    size_t poll_errors_ = 0;        // polls in a row without an answer
    Micros poll_errors_since_ = 0;  // when the first of them was sent
    AnswerTimeout answer_timeout_;
    bool after_gap_ = false;  // the poll before had no answer
    Micros lossy_until_ = 0;
    Micros next_poll_ = 0, ended_at_ = 0;
};

}  // namespace calicostall
