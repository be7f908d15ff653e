#include "preview/forward.hpp"

#include "preview/forward/account.hpp"
#include "preview/forward/plans.hpp"
#include "preview/forward/runs.hpp"
#include "preview/forward/state.hpp"
#include "preview/forward/view.hpp"
#include "preview/forward/waiting.hpp"
#include "preview/forward/workers.hpp"

namespace calicostall {

namespace {

// One run of the simulation: its parts, and the loop that takes events and plans in turn.
class Simulation {
public:
    Simulation(const Snapshot& snapshot, const ProposedChange& change, const ForwardSettings& settings,
               const PlannerFunction& planner)
        : settings_(settings),
          state_(snapshot, change),
          account_(state_),
          waiting_(state_),
          runs_(state_, account_, waiting_),
          workers_(state_, runs_),
          plans_(state_, account_, waiting_, runs_, planner) {}

    Outlook run() {
        begin();
        simulate();
        account_.finish();
        return std::move(state_.outlook);
    }

private:
    void begin() {
        state_.outlook.horizon = settings_.horizon;
        ForwardView(state_, account_, runs_, workers_).take();
        account_.list_all();
        for (std::uint32_t job = 0; job < state_.jobs.size(); ++job)
            waiting_.refresh_job(job);
    }

    void simulate() {
        const Micros end = state_.start + settings_.horizon;
        Micros last_change = state_.now;
        for (bool first = true; state_.now <= end; first = false) {
            bool changed = take_events() || first;
            if (state_.outlook.plans >= settings_.plans_most) {
                state_.outlook.cut = true;
                return;
            }
            const ForwardPlanned planned = first ? plans_.first_plan() : plans_.plan();
            changed = changed || planned.changed;
            if (changed) last_change = state_.now;
            const std::optional<Micros> next = next_moment(changed || planned.unfinished, last_change);
            if (!next) return;
            state_.now = *next;
        }
    }

    // When events or a plan are due next; none if nothing more will happen.
    std::optional<Micros> next_moment(bool soon, Micros last_change) const {
        std::optional<Micros> next;
        if (!state_.events.empty()) next = std::max(state_.events.next(), state_.now + settings_.plan_apart);
        if (waiting_.empty() || state_.now - last_change >= settings_.idle_most) return next;
        const Micros plan = state_.now + (soon ? settings_.plan_apart : settings_.plan_again);
        return next ? std::min(*next, plan) : plan;
    }

    // Whether there were any.
    bool take_events() {
        bool any = false;
        while (std::optional<ForwardEvent> event = state_.events.pop_until(state_.now)) {
            any = true;
            take(*event);
        }
        return any;
    }

    void take(const ForwardEvent& event) {
        switch (event.kind) {
            case ForwardEventKind::run_ends:
                return runs_.done(event.subject);
            case ForwardEventKind::run_over:
                return runs_.over(event.subject);
            case ForwardEventKind::worker_opens:
                return workers_.judge(event.subject);
            case ForwardEventKind::worker_drains:
                return workers_.drain(event.subject);
            case ForwardEventKind::worker_leaves:
                return workers_.leave(event.subject);
            case ForwardEventKind::worker_joins:
                return workers_.add(state_.change.workers[event.subject].joins);
            case ForwardEventKind::worker_lapses:
                return workers_.lapse(event.subject);
            case ForwardEventKind::time_due:
                return begin_time(std::uint32_t(event.subject));
        }
    }

    // The next time of a job that repeats is due.
    void begin_time(std::uint32_t place) {
        ForwardJob& job = state_.jobs[place];
        const std::uint64_t number = job.next_time++;
        auto [time, fresh] = job.times.try_emplace(number);
        if (fresh) {
            for (const SnapshotStep& step : job.job->steps)
                add_step(time->second, step.wanted.count);
            account_.list_time(place, number, "due time");
            waiting_.refresh_time(place, number);
        }
        schedule_next_time(state_, place);
    }

    static void add_step(std::vector<ForwardStep>& steps, std::uint32_t tasks) {
        ForwardStep step;
        step.tasks.resize(tasks);
        step.open = tasks;
        steps.push_back(std::move(step));
    }

    ForwardSettings settings_;
    ForwardState state_;
    ForwardAccount account_;
    ForwardWaiting waiting_;
    ForwardRuns runs_;
    ForwardWorkers workers_;
    ForwardPlans plans_;
};

}  // namespace

Forward::Forward(const Snapshot& snapshot, const ProposedChange& change, const ForwardSettings& settings,
                 PlannerFunction planner)
    : snapshot_(snapshot), change_(change), settings_(settings), planner_(std::move(planner)) {}

Outlook Forward::look() {
    return Simulation(snapshot_, change_, settings_, planner_).run();
}

}  // namespace calicostall
