#include "preview/placement_simulator.hpp"

#include "preview/simulation/forecast_recorder.hpp"
#include "preview/simulation/pending_items.hpp"
#include "preview/simulation/plan_executor.hpp"
#include "preview/simulation/projected_runs.hpp"
#include "preview/simulation/projected_workers.hpp"
#include "preview/simulation/snapshot_loader.hpp"
#include "preview/simulation/state.hpp"

namespace calicostall {

namespace {

// One simulation: its parts, and the loop that processes events and plans alternately.
class Simulation {
public:
    Simulation(const Snapshot& snapshot, const ProposedChange& change, const SimulationSettings& settings,
               const PlannerFunction& planner)
        : settings_(settings),
          state_(snapshot, change),
          recorder_(state_),
          pending_(state_),
          runs_(state_, recorder_, pending_),
          workers_(state_, runs_),
          executor_(state_, recorder_, pending_, runs_, planner) {}

    PlacementForecast run() {
        initialize();
        simulate();
        recorder_.finish();
        return std::move(state_.forecast);
    }

private:
    void initialize() {
        state_.forecast.horizon = settings_.horizon;
        SnapshotLoader(state_, recorder_, runs_, workers_).load();
        recorder_.record_all_pending();
        for (std::uint32_t job = 0; job < state_.jobs.size(); ++job)
            pending_.refresh_job(job);
    }

    void simulate() {
        const Micros end = state_.snapshot_at + settings_.horizon;
        Micros last_change = state_.now;
        for (bool first = true; state_.now <= end; first = false) {
            bool changed = process_events() || first;
            if (state_.forecast.plan_count >= settings_.max_plans) {
                state_.forecast.is_truncated = true;
                return;
            }
            const PlanEffect planned = first ? executor_.first_plan() : executor_.plan();
            changed = changed || planned.has_changes;
            if (changed) last_change = state_.now;
            const std::optional<Micros> next = next_event_time(changed || planned.is_unfinished, last_change);
            if (!next) return;
            state_.now = *next;
        }
    }

    // When the next events or the next plan are due; nothing if nothing more will happen. `soon`: there was a change or
    // the last plan was incomplete.
    std::optional<Micros> next_event_time(bool soon, Micros last_change) const {
        std::optional<Micros> next;
        if (!state_.events.empty()) next = std::max(state_.events.next_at(), state_.now + settings_.min_plan_interval);
        if (pending_.empty() || state_.now - last_change >= settings_.max_idle) return next;
        const Micros plan = state_.now + (soon ? settings_.min_plan_interval : settings_.max_plan_interval);
        return next ? std::min(*next, plan) : plan;
    }

    // Returns whether any were due.
    bool process_events() {
        bool any = false;
        while (std::optional<SimulationEvent> event = state_.events.pop_until(state_.now)) {
            any = true;
            process_event(*event);
        }
        return any;
    }

    void process_event(const SimulationEvent& event) {
        switch (event.kind) {
            case SimulationEventKind::run_completes:
                return runs_.complete(event.subject);
            case SimulationEventKind::run_terminates:
                return runs_.terminate(event.subject);
            case SimulationEventKind::worker_accepts_starts:
                return workers_.update_fleet(event.subject);
            case SimulationEventKind::worker_drains:
                return workers_.drain(event.subject);
            case SimulationEventKind::worker_shuts_down:
                return workers_.shut_down(event.subject);
            case SimulationEventKind::worker_joins:
                return workers_.add(state_.change.workers[event.subject].joining_worker);
            case SimulationEventKind::worker_lease_expires:
                return workers_.expire_lease(event.subject);
            case SimulationEventKind::occurrence_due:
                return begin_occurrence(std::uint32_t(event.subject));
        }
    }

    // The next occurrence of a repeating job is due.
    void begin_occurrence(std::uint32_t job_index) {
        ProjectedJob& job = state_.jobs[job_index];
        const std::uint64_t number = job.next_occurrence++;
        auto [occurrence, is_new] = job.occurrences.try_emplace(number);
        if (is_new) {
            for (const SnapshotStep& step : job.snapshot_job->steps)
                add_step(occurrence->second, step.spec.count);
            recorder_.record_pending_occurrence(job_index, number, "due time");
            pending_.refresh_occurrence(job_index, number);
        }
        schedule_next_occurrence(state_, job_index);
    }

    static void add_step(std::vector<ProjectedStep>& steps, std::uint32_t tasks) {
        ProjectedStep step;
        step.tasks.resize(tasks);
        step.unfinished = tasks;
        steps.push_back(std::move(step));
    }

    SimulationSettings settings_;
    SimulationState state_;
    ForecastRecorder recorder_;
    PendingItems pending_;
    ProjectedRuns runs_;
    ProjectedWorkers workers_;
    PlanExecutor executor_;
};

}  // namespace

PlacementSimulator::PlacementSimulator(const Snapshot& snapshot, const ProposedChange& change,
                                       const SimulationSettings& settings, PlannerFunction planner)
    : snapshot_(snapshot), change_(change), settings_(settings), planner_(std::move(planner)) {}

PlacementForecast PlacementSimulator::run() {
    return Simulation(snapshot_, change_, settings_, planner_).run();
}

}  // namespace calicostall
