// The role `control`: election, record, configuration, list of workers and placement, on one machine.
//
// Each job has its own file: election.cpp (detector, heartbeats, becoming and ceasing to be owner), membership.cpp (who
// belongs to the core), store_messages.cpp (what owner and replicas send each other, the disk), calls.cpp (operators,
// clients, previews), sides.cpp, news.cpp, routes.cpp (requests by path) and turn.cpp (the order in which all of this
// happens, and when). The protocols themselves are pure and live in control/detector, control/store and control/jobs.
#pragma once
#include "common.hpp"
#include "control/clock/core_clock.hpp"
#include "control/daemon/record_ledger.hpp"
#include "control/daemon/settings.hpp"
#include "control/daemon/side_polls.hpp"
#include "control/detector/departure.hpp"
#include "control/detector/detector.hpp"
#include "control/detector/election.hpp"
#include "control/detector/suspicion.hpp"
#include "control/jobs/calls/held_calls.hpp"
#include "control/membership/core_keeper.hpp"
#include "control/membership/founding.hpp"
#include "control/membership/known_core.hpp"
#include "control/store/disk.hpp"
#include "control/store/owner.hpp"
#include "control/store/replica.hpp"
#include "preview/serve.hpp"
#include "shared/http/listener.hpp"
#include "shared/http/loop.hpp"
#include "shared/news/locator.hpp"

namespace calicostall {

// Example: Control control(settings, loop); if (Findings findings = control.open(); findings.empty()) loop.run();
// All public members may be called from any thread.
class Control {
public:
    Control(ControlSettings settings, Loop& loop);

    // Opens disk and listeners; returns what went wrong.
    Findings open();
    // A planned stop. An owner hands over in order, a follower waits until a majority without it has everything; then
    // the others are told, and after a moment `done` is called.
    void leave(std::function<void()> done);
    // Takes over what may change while the process runs: the seeds.
    void take_settings(const Settings& machine);

private:
    using PrepareCallback = std::function<void(PrepareAnswer)>;
    using WriteCallback = std::function<void(WriteAnswer)>;
    using CallCallback = std::function<void(CallAnswer)>;

    // What a side last said of its worker, under the mark by which it refers to that from then on.
    struct SideAccount {
        std::uint64_t incarnation = 0, mark = 0;
        WorkerAccount account;
    };
    // A front, side or daemon that waits for news of owner, configuration or core.
    struct NewsPoll {
        Reply reply;
        NewsAsk ask;
        Micros since = 0, until = 0;
    };
    // What answers for news depend on.
    struct NewsState {
        Epoch epoch;
        std::uint64_t config_revision = 0, core_mark = 0;
        bool in_contact = false;
        bool operator==(const NewsState&) const = default;
    };
    // The configuration as it is to be passed on; `text` is none when there is none.
    struct PublishedConfig {
        std::uint64_t revision = 0;
        const std::string* text = nullptr;
    };

    // --- control.cpp ---
    std::string describe_start() const;
    void open_listeners(Findings& findings);
    std::unique_ptr<Listener> open_listener(const std::string& address, size_t body_bytes, const char* setting,
                                            void (Control::*route)(Request), Findings& findings);

    // --- routes.cpp: requests by path ---
    void route_inner_request(Request request);
    void route_operator_request(Request request);
    void receive_write(Request request);
    void receive_prepare(Request request);
    void receive_heartbeat(Request request);
    void receive_join(Request request);
    void receive_found(Request request);
    void receive_news_poll(Request request);
    void receive_config_text_ask(Request request);
    void receive_call(Request request);
    void receive_side_poll(Request request);
    void log_config_read(const Response& response, Micros asked_at) const;
    void refuse_frame(Reply& reply);

    // --- election.cpp ---
    // Whether this daemon owns the record and has taken it up.
    bool acting() const;
    // The same, and it may begin something new: it is not handing over, its term is not in doubt, and a majority's
    // clocks were heard in it.
    bool serving() const;
    void run_election(Micros now);
    void log_election(const ElectionStep& step, size_t trusted_before) const;
    void handle_heartbeat(const AliveNote& note, Micros now);
    void send_heartbeat(size_t place, bool leaving);
    void begin_ownership(Micros now);
    void end_ownership();
    void note_owner(Epoch epoch, const std::string& address);
    // Judges the time of day anew from the clocks heard.
    void judge_time(Micros now);
    // The replica address of the owner as last heard of; empty when unknown.
    const std::string& owner_address() const { return known_owner_; }
    // The same, when it is another daemon than this one.
    std::optional<std::string> other_owner_address() const;

    // --- leaving.cpp ---
    void receive_leave(Request request);
    void prepare_departure();
    void ask_to_leave(const std::string& owner);
    void announce_departure();

    // --- membership.cpp ---
    // Reads the core from the replica when it has changed.
    void refresh_core(Micros now);
    void learn_core(const Register& value, Micros now);
    // Whether the own replica may grant a term to the candidate.
    bool may_grant(Identity candidate, Micros now) const;
    std::vector<std::string> known_replicas() const;
    void locate_core(Micros now);
    void request_join(Micros now);
    void handle_join(const JoinAsk& ask);
    void maintain_core(Micros now);
    void maintain_learners(Micros now);

    // --- founding.cpp ---
    void begin_founding();
    // Whether this daemon is a founder that has no core yet.
    bool is_founding() const;
    void keep_founding(Change change, std::function<void()> done);
    void send_founding_messages(Micros now);
    void handle_found(const FoundAsk& ask, std::function<void(FoundAnswer)> respond);
    // A core was heard of that this daemon may not be in.
    void note_core_at_work();

    // --- store_messages.cpp ---
    void send_store_messages(Micros now);
    void send_store_message(OutgoingMessage message);
    void send_to_own_replica(OutgoingMessage message);
    // What a member's answer tells of the time of day.
    void note_clock(const PrepareAnswer& answer, Epoch term, Identity member, Micros asked_at, Micros now);
    void note_clock(const WriteAnswer& answer, Epoch term, Identity member, Micros asked_at, Micros now);
    void handle_prepare(const PrepareAsk& ask, PrepareCallback respond);
    void handle_write(const WriteAsk& ask, WriteCallback respond);

    // --- calls.cpp ---
    void handle_call(const CallAsk& ask, CallCallback respond);
    void relay_call(CallAsk ask, const std::string& owner, Micros patience, CallCallback respond);
    void send_held_calls(Micros now);
    SnapshotMoment snapshot_moment();
    Response answer_preview(const std::string& method);
    void log_snapshot(Micros now);

    // --- sides.cpp ---
    void handle_side_poll(SideAsk ask, Reply reply);
    void relay_side_poll(SideAsk ask, const std::string& owner, Reply reply);
    bool resolve_account(SideAsk& ask);
    void answer_sides(Micros now);
    void answer_side(SidePoll& poll, Micros pause, Micros now);

    // --- news.cpp ---
    void answer_news(Micros now);
    NewsAnswer news_answer(const PublishedConfig& config, bool in_contact) const;
    ConfigTextAnswer config_text(const ConfigTextAsk& ask);
    PublishedConfig published_config();
    // Whether this daemon is in contact with the majority: as owner by its answers, as a follower by the owner's
    // writes, outside the core by the news.
    bool in_contact(Micros now) const;
    bool is_due(const NewsPoll& poll, const NewsState& state, Micros now) const;
    void follow_located_core();
    void answer_all_waiting();

    // --- turn.cpp ---
    // Everything that follows from a change or from time, in rounds.
    void turn();
    void turn_on_timer();
    void turn_round(Micros now);
    // For what comes in: a turn now, unless the last one was so long ago that the next may gather more.
    void request_turn();
    void schedule_turn(Micros now);
    Micros next_turn_at(Micros now);
    void confirm_ownership(Micros now);
    void log_counters(Micros now);

    ControlSettings settings_;
    Loop& loop_;
    std::recursive_mutex lock_;
    Replica replica_;
    Disk disk_;
    Detector detector_;
    Owner owner_;
    Election election_;
    RecordLedger ledger_;
    Scheduler<RecordLedger> scheduler_;
    SelfSuspicion suspicion_;
    PreviewReads preview_reads_;
    Micros next_snapshot_line_ = 0;
    CoreClock core_clock_;
    std::unique_ptr<Listener> inner_listener_, operator_listener_;
    std::string own_address_;  // of the replica

    // Membership.
    KnownCore known_core_;
    Core core_;  // the same, as the detector goes by it
    std::uint64_t core_mark_ = 0;
    std::optional<size_t> place_;
    std::optional<Founding> founding_;  // both from the opening of the disk on
    std::optional<CoreKeeper> core_keeper_;
    Micros next_join_ = 0;
    std::unique_ptr<Locator> locator_;  // while outside the core
    std::vector<std::string> located_core_;
    std::string located_config_;

    // Election.
    Micros acting_since_ = 0, probed_at_ = 0;
    Epoch scheduler_epoch_, known_epoch_;
    std::optional<Micros> owner_heard_at_;  // its last write that the own replica took
    std::string known_owner_;

    // A planned stop.
    Departure departure_;
    bool left_ = false;  // it is announced
    std::function<void()> on_left_;

    // Turns.
    bool in_turn_ = false, turn_requested_ = false;
    TurnPace turn_pace_;
    Micros timer_at_ = 0, timer_lateness_ = 0;  // the lateness is smoothed
    Micros counted_at_ = 0;

    HeldCalls held_calls_;  // the operators'

    // Sides.
    SidePolls side_polls_;
    std::unordered_map<std::string, SideAccount> accounts_;  // by node
    Micros sides_due_ = 0;
    bool sides_pending_ = false;  // sides are to be answered when that time comes

    // News.
    Version config_version_;
    Epoch config_epoch_;
    std::uint64_t config_revision_ = 0;
    std::list<NewsPoll> news_polls_;
    Micros news_due_ = 0;
    NewsState news_answered_;
};

}  // namespace calicostall
