#include "preview/simulation/feasibility.hpp"

namespace calicostall {

namespace {

using Candidates = std::vector<const SnapshotWorker*>;

bool shuts_down(const ProposedChange& proposed, const SnapshotWorker& worker) {
    return std::any_of(proposed.workers.begin(), proposed.workers.end(), [&](const WorkerChange& change) {
        return change.kind == WorkerChangeKind::shut_down && change.worker_name == worker.worker_id;
    });
}

// The workers of a service that stay or join.
Candidates candidates_of(const SimulationState& state, const std::string& service) {
    Candidates workers;
    for (const ProjectedWorker& worker : state.workers)
        if (!worker.snapshot.is_placeholder && !shuts_down(state.change, worker.snapshot))
            workers.push_back(&worker.snapshot);
    for (const WorkerChange& change : state.change.workers)
        if (change.kind == WorkerChangeKind::join) workers.push_back(&change.joining_worker);
    std::erase_if(workers, [&](const SnapshotWorker* worker) { return worker->service != service; });
    return workers;
}

bool has_label(const SnapshotWorker& worker, const std::string& label) {
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

bool is_large_enough(const SnapshotWorker& worker, const Step& spec) {
    return worker.cpu >= spec.cpu && worker.memory >= spec.memory && worker.gpu >= spec.gpu;
}

// How many tasks of a step an idle worker can run at once.
std::uint64_t tasks_that_fit(const SnapshotWorker& worker, const Step& spec) {
    std::uint64_t max_tasks = spec.anti_affinity ? spec.anti_affinity : spec.count;
    if (spec.cpu > 0) max_tasks = std::min<std::uint64_t>(max_tasks, std::uint64_t(worker.cpu / spec.cpu));
    if (spec.memory > 0) max_tasks = std::min<std::uint64_t>(max_tasks, std::uint64_t(worker.memory / spec.memory));
    if (spec.gpu > 0) max_tasks = std::min<std::uint64_t>(max_tasks, std::uint64_t(worker.gpu / spec.gpu));
    return max_tasks;
}

// A leader that has just begun knows some workers from the record only, or none: their resources are unknown.
bool knows_all_workers(const SimulationState& state) {
    return !state.workers.empty() &&
           std::none_of(state.workers.begin(), state.workers.end(),
                        [](const ProjectedWorker& worker) { return worker.snapshot.is_placeholder; });
}

}  // namespace

std::string infeasibility_reason(const SimulationState& state, const ProjectedJob& job, std::uint32_t step) {
    if (!knows_all_workers(state)) return {};
    const Step& spec = job.snapshot_job->steps[step].spec;
    Candidates workers = candidates_of(state, state.names.text(job.service));
    if (workers.empty()) return "service gone";
    if (!spec.required_label.empty())
        std::erase_if(workers, [&](const SnapshotWorker* worker) { return !has_label(*worker, spec.required_label); });
    if (workers.empty()) return "label missing";
    std::erase_if(workers, [&](const SnapshotWorker* worker) { return !is_large_enough(*worker, spec); });
    if (workers.empty()) return "no worker is large enough";
    if (!spec.gang) return {};
    std::uint64_t capacity = 0;
    for (const SnapshotWorker* worker : workers)
        capacity += tasks_that_fit(*worker, spec);
    return capacity < spec.count ? "gang too wide" : std::string();
}

}  // namespace calicostall
