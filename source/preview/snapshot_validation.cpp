#include "preview/snapshot_validation.hpp"

namespace calicostall {

namespace {

constexpr std::uint64_t max_repeats = 1000000;
constexpr size_t max_steps = 1000;
constexpr std::uint32_t max_tasks_a_step = 10000;
constexpr Micros max_expected_duration = seconds(1000000);
constexpr std::uint64_t max_slowdown_thousandths = 1000000;

class SnapshotValidator {
public:
    SnapshotValidator(const Snapshot& snapshot, Findings& findings) : snapshot_(snapshot), findings_(findings) {}

    void validate() {
        validate_config();
        validate_planner_settings();
        require_not_negative("lapse", snapshot_.lease_expiry_after);
        for (size_t index = 0; index < snapshot_.jobs.size(); ++index)
            validate_job(index);
        for (size_t index = 0; index < snapshot_.workers.size(); ++index)
            validate_worker(index);
    }

private:
    void validate_config() {
        if (snapshot_.config_text.empty()) return;
        Findings inner;
        parse_config(snapshot_.config_text, inner);
        for (const Finding& finding : inner.list())
            findings_.add("config." + finding.location, finding.text);
    }

    void validate_planner_settings() {
        PlannerSettings settings;
        for (size_t index = 0; index < snapshot_.planner_settings.size(); ++index) {
            const PlannerField& field = snapshot_.planner_settings[index];
            if (!set_planner_field(settings, field.name, double(field.thousandths) / 1000))
                findings_.add(fmt::format("planner[{}]", index), fmt::format("'{}' is unknown", field.name));
        }
        settings.check(findings_);
    }

    void validate_job(size_t index) {
        const SnapshotJob& job = snapshot_.jobs[index];
        const std::string location = fmt::format("jobs[{}]", index);
        if (!is_valid_job_id(job.id)) findings_.add(location + ".id", "must be 16 hex digits");
        if (auto [other, is_new] = job_index_by_id_.emplace(job.id, index); !is_new)
            findings_.add(location + ".id", fmt::format("is that of jobs[{}]", other->second));
        require_not_negative(location + ".target", job.target);
        require_not_negative(location + ".interval", job.interval);
        if (job.repeats > max_repeats) findings_.add(location + ".repeats", "is out of range");
        if (job.steps.empty() || job.steps.size() > max_steps)
            findings_.add(location + ".steps", fmt::format("must hold 1 to {} steps", max_steps));
        for (size_t step = 0; step < job.steps.size(); ++step)
            validate_step(job.steps[step], step, fmt::format("{}.steps[{}]", location, step));
        for (size_t failed = 0; failed < job.failed_tasks.size(); ++failed)
            validate_failed_task(job, job.failed_tasks[failed], fmt::format("{}.failed[{}]", location, failed));
        for (size_t number = 0; number < job.occurrences.size(); ++number)
            validate_occurrence(job, job.occurrences[number], fmt::format("{}.times[{}]", location, number));
    }

    void validate_step(const SnapshotStep& step, size_t index, const std::string& location) {
        if (step.spec.count < 1 || step.spec.count > max_tasks_a_step)
            findings_.add(location + ".count", "is out of range");
        validate_resources(step.spec, location);
        if (step.expected_duration < 0 || step.expected_duration > max_expected_duration)
            findings_.add(location + ".expected", "is out of range");
        for (std::uint32_t dependency : step.spec.dependencies)
            if (dependency >= index) findings_.add(location + ".depends_on", "must name earlier steps only");
    }

    void validate_failed_task(const SnapshotJob& job, const SnapshotFailedTask& task, const std::string& location) {
        if (task.step >= job.steps.size() || task.task_index >= job.steps[task.step].spec.count)
            findings_.add(location, "names none of its tasks");
    }

    void validate_occurrence(const SnapshotJob& job, const SnapshotOccurrence& occurrence,
                             const std::string& location) {
        if (occurrence.steps.size() != job.steps.size()) {
            findings_.add(location + ".steps",
                          fmt::format("holds {}, the job has {}", occurrence.steps.size(), job.steps.size()));
            return;
        }
        for (size_t step = 0; step < occurrence.steps.size(); ++step) {
            std::uint64_t tasks = 0;
            for (const SnapshotTaskRange& range : occurrence.steps[step])
                tasks += range.count;
            if (tasks != job.steps[step].spec.count)
                findings_.add(fmt::format("{}.steps[{}]", location, step),
                              fmt::format("holds {} tasks, the step has {}", tasks, job.steps[step].spec.count));
        }
    }

    void validate_worker(size_t index) {
        const SnapshotWorker& worker = snapshot_.workers[index];
        const std::string location = fmt::format("workers[{}]", index);
        if (worker.worker_id.empty()) findings_.add(location + ".life", "must not be empty");
        if (auto [other, is_new] = worker_index_by_id_.emplace(worker.worker_id, index); !is_new)
            findings_.add(location + ".life", fmt::format("is that of workers[{}]", other->second));
        validate_resources(worker, location);
        if (worker.slowdown_thousandths < 1 || worker.slowdown_thousandths > max_slowdown_thousandths)
            findings_.add(location + ".pace", "is out of range");
        for (size_t run = 0; run < worker.runs.size(); ++run)
            validate_run(worker.runs[run], fmt::format("{}.runs[{}]", location, run));
    }

    void validate_run(const SnapshotRun& run, const std::string& location) {
        validate_resources(run, location);
        if (run.state < SnapshotRunState::intent_recorded || run.state > SnapshotRunState::stopping)
            findings_.add(location + ".state", "is unknown");
        if (run.progress_percent < 0 || run.progress_percent > 100)
            findings_.add(location + ".percent", "must lie between 0 and 100");
        auto found = job_index_by_id_.find(run.job_id);
        if (found == job_index_by_id_.end()) return;  // a run of a job that has ended still reserves its resources
        const SnapshotJob& job = snapshot_.jobs[found->second];
        if (run.step >= job.steps.size())
            findings_.add(location + ".step", "is none of its job's");
        else if (run.task_index >= job.steps[run.step].spec.count)
            findings_.add(location + ".index", "is none of its step's");
    }

    template <class Holder>
    void validate_resources(const Holder& holder, const std::string& location) {
        require_not_negative(location + ".cpu", holder.cpu);
        require_not_negative(location + ".memory", holder.memory);
        require_not_negative(location + ".gpu", holder.gpu);
    }

    void require_not_negative(const std::string& location, std::int64_t value) {
        if (value < 0) findings_.add(location, "must not be negative");
    }

    const Snapshot& snapshot_;
    Findings& findings_;
    std::map<std::string, size_t> job_index_by_id_;
    std::map<std::string, size_t> worker_index_by_id_;
};

}  // namespace

void validate_snapshot(const Snapshot& snapshot, Findings& findings) {
    SnapshotValidator(snapshot, findings).validate();
}

}  // namespace calicostall
