// Runs against their siblings: tells slow and stalling workers, and moves or doubles what they hold up.
#pragma once
#include "control/jobs/state/state.hpp"

namespace calicostall {

enum class Advice { none, leave, copy, move };

class RunJudge {
public:
    explicit RunJudge(State& state) : state_(state) {}

    // A done run told how long its step takes, and how its worker compares with its siblings elsewhere.
    void note_done(WorkerEntry& worker, const RunEntry& run, JobEntry& entry, Micros now) {
        const Step& step = entry.job.fixed.spec.steps[run.name.step];
        Micros took = run.ordered_at > 0 ? now - run.ordered_at : 0;
        if (took <= 0 || step.long_running || !worker.measurable) return;
        if (run.remote) took = Micros(double(took) / state_.settings.planner.remote_factor);
        // Only siblings of the same step are a measure; an estimate is too rough to speak against a worker.
        if (Durations::measured(entry, run.name.step))
            worker.pace.note(relative(double(took) / double(state_.durations.expect(entry, run.name.step))), 0.2);
        if (worker.pace.slow()) return;  // a slow worker tells nothing of the job
        state_.durations.note(entry, run.name.step, took);
    }
    // What a report showed of a run that goes on.
    void note_shown(WorkerEntry& worker, RunEntry& run, const ActiveRun& active, Micros now) {
        if (!active.saved.empty()) run.saved = active.saved;
        ++run.shown;
        if (active.percent > run.percent || run.moved_at == 0) run.moved_at = now, run.shown = 0;
        run.percent = active.percent;
        run.shown_at = now;
        run.missing = 0;
        judge_progress(worker, run, now);
    }
    // When the run is worth a look again.
    Micros next_look(const RunEntry& run, Micros now) {
        auto job = state_.jobs.find(run.name.job);
        if (job == state_.jobs.end() || run.ordered_at == 0) return now + milliseconds(250);
        return std::max(now + milliseconds(250), run.ordered_at + expected(run, job->second));
    }
    // Runs that stand still, crawl, or cannot end before their worker leaves are moved or doubled.
    Advice judge(WorkerEntry& worker, RunEntry& run, Micros now) {
        ++state_.operations;
        if (run.state != RunState::running || run.stop_wanted || !worker.reconciled || worker.silent)
            return Advice::none;
        auto found = state_.jobs.find(run.name.job);
        if (found == state_.jobs.end() || found->second.job.ended()) return Advice::none;
        JobEntry& entry = found->second;
        const Step& step = entry.job.fixed.spec.steps[run.name.step];
        Micros usual = expected(run, entry);
        Micros elapsed = now - run.ordered_at;
        // The percent is as old as the report that showed it.
        Micros shown = run.shown_at - run.ordered_at;
        Micros whole = run.percent > 0 && shown > 0 ? shown * 100 / run.percent : std::max(usual, elapsed);
        Micros left = std::max<Micros>(whole - elapsed, 0);
        if (worker.account.draining && worker.leaves_at >= 0 && !step.gang)
            if (step.long_running || left > worker.leaves_at - now) return Advice::leave;
        if (step.long_running || step.gang || run.ordered_at == 0 || run.moved_at == 0) return Advice::none;
        // Only reports show whether it moved: without newer ones nothing is known against it.
        Micros unmoved = run.shown_at - run.moved_at;
        bool still = run.shown >= 2 && now - run.shown_at < seconds(1) &&
                     unmoved > std::max(state_.settings.still_least, usual) && elapsed > 2 * usual;
        bool crawls = worker.pace.slow() && run.percent > 0 && Durations::measured(entry, run.name.step) &&
                      elapsed > 2 * usual && left > 2 * (usual + state_.settings.stop_grace);
        if (!still && !crawls) return Advice::none;
        if (step.duplicate_ok) return run.doubled ? Advice::none : Advice::copy;
        if (now - entry.moved_at < seconds(2)) return Advice::none;
        entry.moved_at = now;
        counters().add(still ? "runs_moved_standing" : "runs_moved_crawling");
        // A move is no further proof: it rests on the pace already.
        if (still) worker.pace.note(6, 0.3), state_.conducts.note(worker.node, true, 0.2, now);
        return Advice::move;
    }

private:
    Micros expected(const RunEntry& run, const JobEntry& entry) {
        Micros usual = state_.durations.expect(entry, run.name.step);
        return run.remote ? Micros(double(usual) * state_.settings.planner.remote_factor) : usual;
    }
    // A run that takes far longer than its siblings speaks against its worker before it ends.
    void judge_progress(WorkerEntry& worker, RunEntry& run, Micros now) {
        auto job = state_.jobs.find(run.name.job);
        if (job == state_.jobs.end() || run.state != RunState::running || run.judged ||
            job->second.job.fixed.spec.steps[run.name.step].long_running)
            return;
        if (run.ordered_at == 0 || !worker.measurable) return;
        Micros usual = expected(run, job->second), elapsed = now - run.ordered_at;
        if (elapsed < usual + milliseconds(200)) return;
        double whole = run.percent > 0 ? double(elapsed) * 100 / double(run.percent) : double(elapsed) * 2;
        double ratio = whole / double(usual) / std::exp(fleet_);
        if (ratio < 2) return;
        run.judged = true;
        if (Durations::measured(job->second, run.name.step)) worker.pace.note(ratio, 0.2);
    }

    // The ratio against what the whole fleet shows of late: expectations that are off speak against nobody.
    double relative(double ratio) {
        double said = std::log(std::clamp(ratio, 0.1, 10.0));
        double shown = ratio / std::exp(fleet_);
        fleet_ += 0.02 * (said - fleet_);
        return shown;
    }

    State& state_;
    double fleet_ = 0;  // running mean of the logarithms of all ratios
};

}  // namespace calicostall
