// The rig of `calicostall hollow`: real sides over hollow workers, hollow clients and an operator, in one process.
#pragma once
#include "common.hpp"
#include "hollow/inside.hpp"
#include "hollow/load.hpp"
#include "hollow/measure.hpp"
#include "hollow/worker.hpp"
#include "shared/http/loop.hpp"
#include "side/side.hpp"

namespace calicostall {

// A loop that answers for hollow workers within the process and counts what it sends to the daemons.
class HollowLoop : public Loop {
public:
    struct Tally {
        std::uint64_t asks = 0, unanswered = 0, out = 0, in = 0;  // bytes of bodies and heads
        Tally& operator+=(const Tally& more);
    };
    using Worker = std::function<void(std::string path, Ask ask, Then then)>;
    static constexpr size_t answer_head = 110;  // as the daemons' listener writes it, without further headers

    HollowLoop() : Loop(16384) {}
    void place_worker(const std::string& address, Worker worker) { workers_[address] = std::move(worker); }

    void ask(Ask ask, Then then) override;
    void add_tallies(std::map<std::string, Tally>& all) const;

private:
    std::unordered_map<std::string, Worker> workers_;
    mutable std::mutex tally_lock_;
    std::map<std::string, Tally> tallies_;
};

// The workers of one thread, each with the project's own Side.
class HollowFleet {
public:
    HollowFleet(const Experiment& experiment, GangBoard& board);

    void open();
    void add(std::int64_t number, HollowWorker::Started started);
    HollowLoop& loop() { return loop_; }
    // Sums as of the last tick.
    std::atomic<std::uint64_t> starts{0}, done{0}, other_ends{0}, running{0};

private:
    struct Wait {
        Loop::Then then;
        Micros until = 0;
        std::uint64_t seen_at = 0;
    };
    struct Machine {
        WorkerAccount account;
        std::unique_ptr<HollowWorker> worker;
        std::unique_ptr<Side> side;
        std::vector<Wait> waits;
        Micros beat_at = 0;
        std::uint64_t beats = 0;
    };

    void place(std::int64_t number, const HollowWorker::Started& started);
    void serve(Machine& machine, const std::string& path, Ask ask, Loop::Then then);
    void answer(Loop::Then then, HollowWorker::Said said);
    void tick();
    void beat(Machine& machine, Micros now);

    const Experiment& experiment_;
    HollowLoad load_;
    GangBoard& board_;
    HollowLoop loop_;
    std::vector<std::unique_ptr<Machine>> machines_;
};

// Clients, hollow fronts and the operator, on one thread.
class HollowCrowd {
public:
    HollowCrowd(const Experiment& experiment);
    void open();
    HollowLoop& loop() { return loop_; }
    std::string owner() const { return locator_->owner(); }
    void load(const HollowStep& step, bool on);
    void set_config(std::int64_t teams);
    void submit_long(const HollowStep& step, std::int64_t tasks);
    void note_start(const std::string& task, Micros now);
    std::atomic<std::uint64_t> jobs{0}, accepted{0}, refused{0}, unanswered{0}, changes{0}, changes_refused{0},
        revision{0}, lacking{0};
    Samples accept_ms, look_ms, start_ms, urgent_start_ms, config_ack_ms, config_everywhere_ms;
    void clear();

private:
    void tick();
    void submit(const HollowStep& step, std::int64_t tasks, Micros length);
    void look();
    // A code of 0: no clear answer.
    void call(const char* method, const std::string& path, std::string body, std::function<void(int)> on_code);
    void change_config();
    void send_config(std::uint64_t next, std::string text, Micros begun, size_t tries);
    void note_revisions();

    const Experiment& experiment_;
    HollowLoad load_;
    HollowLoop loop_;
    std::vector<std::string> replicas_;
    std::unique_ptr<Locator> locator_;
    std::vector<std::unique_ptr<Locator>> fronts_;
    std::mutex lock_;
    std::map<std::string, std::pair<Micros, std::int64_t>> sent_;
    std::map<std::uint64_t, Micros> sent_revisions_;
    std::deque<std::string> recent_;
    HollowStep step_;
    std::int64_t teams_ = 1;
    bool on_ = false, changing_ = false;
    Micros next_arrival_ = 0, next_look_ = 0, next_change_ = 0;
};

// One daemon under test: NAME.pid and NAME.log lie in the experiment's folder.
struct DaemonProbe {
    std::string name, address;
    std::int64_t pid = 0;
    ProcessUse use;
    LoggedCounters counters;

    static DaemonProbe read(const std::string& folder, const std::string& name, const std::string& address);
};

boost::json::object step_json(const HollowStep& step);

// Plays an experiment and writes one line of JSON for each step.
class HollowRig {
public:
    HollowRig(const Experiment& experiment, std::string folder, std::string commit, std::FILE* out);

    // Returns what kept it from measuring. Example: HollowRig(experiment, "target/hollow", "2357ef0",
    // stdout).run().empty()
    Findings run();

private:
    struct Moment {
        Micros at = 0;
        std::vector<DaemonProbe> daemons;
        std::map<std::string, HollowLoop::Tally> tallies;
        std::uint64_t starts = 0, done = 0, other_ends = 0, running = 0;
        double own_cpu_s = 0;
    };

    Findings run_inside();
    Findings run_daemons();
    std::uint64_t running() const;
    template <class Enough>
    static bool wait(Micros most, Enough enough) {
        for (Micros until = steady_now() + most; steady_now() < until;) {
            if (enough()) return true;
            std::this_thread::sleep_for(std::chrono::microseconds(
                std::min<Micros>(milliseconds(20), std::max<Micros>(1, until - steady_now()))));
        }
        return enough();
    }
    Moment look() const;
    static boost::json::object daemon_json(const DaemonProbe& before, const DaemonProbe& after, double passed);
    void report(const HollowStep& step, bool filled, const Moment& before, const Moment& after);
    void write(boost::json::object line);

    const Experiment& experiment_;
    std::string folder_, commit_;
    std::FILE* out_;
    GangBoard board_;
    std::unique_ptr<HollowCrowd> crowd_;
    std::vector<std::unique_ptr<HollowFleet>> fleets_;
};

// Settings files for the daemons that an experiment names, in its folder.
// Example: prepare_daemons(experiment, "target/hollow") writes target/hollow/control-1.json and so on
Findings prepare_daemons(const Experiment& experiment, const std::string& folder);

// Fits a line through the results: Y over X, both named by their places in the lines.
// Example: fit_results(text, "step.workers", "owner.cpu_share", findings).slope
Slope fit_results(const std::string& text, const std::string& over, const std::string& of, Findings& findings);

}  // namespace calicostall
