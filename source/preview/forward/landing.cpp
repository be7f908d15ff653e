#include "preview/forward/landing.hpp"

namespace calicostall {

namespace {

using Candidates = std::vector<const SnapshotWorker*>;

bool leaves(const ProposedChange& proposed, const SnapshotWorker& worker) {
    return std::any_of(proposed.workers.begin(), proposed.workers.end(), [&](const WorkerChange& change) {
        return change.move == WorkerMove::leave && change.name == worker.life;
    });
}

// Those that stay or join and serve the service.
Candidates candidates_of(const ForwardState& state, const std::string& service) {
    Candidates workers;
    for (const ForwardWorker& worker : state.workers)
        if (!worker.said.placeholder && !leaves(state.change, worker.said)) workers.push_back(&worker.said);
    for (const WorkerChange& change : state.change.workers)
        if (change.move == WorkerMove::join) workers.push_back(&change.joins);
    std::erase_if(workers, [&](const SnapshotWorker* worker) { return worker->service != service; });
    return workers;
}

bool has_label(const SnapshotWorker& worker, const std::string& label) {
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

bool is_large_enough(const SnapshotWorker& worker, const Step& wanted) {
    return worker.cpu >= wanted.cpu && worker.memory >= wanted.memory && worker.gpu >= wanted.gpu;
}

// How many tasks of a step an empty worker holds at once.
std::uint64_t tasks_that_fit(const SnapshotWorker& worker, const Step& wanted) {
    std::uint64_t most = wanted.anti_affinity ? wanted.anti_affinity : wanted.count;
    if (wanted.cpu > 0) most = std::min<std::uint64_t>(most, std::uint64_t(worker.cpu / wanted.cpu));
    if (wanted.memory > 0) most = std::min<std::uint64_t>(most, std::uint64_t(worker.memory / wanted.memory));
    if (wanted.gpu > 0) most = std::min<std::uint64_t>(most, std::uint64_t(worker.gpu / wanted.gpu));
    return most;
}

// An owner that has just begun knows some workers from the record only, or none: they may be what is asked for.
bool knows_all_workers(const ForwardState& state) {
    return !state.workers.empty() && std::none_of(state.workers.begin(), state.workers.end(),
                                                  [](const ForwardWorker& worker) { return worker.said.placeholder; });
}

}  // namespace

std::string why_nowhere(const ForwardState& state, const ForwardJob& job, std::uint32_t step) {
    if (!knows_all_workers(state)) return {};
    const Step& wanted = job.job->steps[step].wanted;
    Candidates workers = candidates_of(state, state.names.text(job.service));
    if (workers.empty()) return "service gone";
    if (!wanted.needs.empty())
        std::erase_if(workers, [&](const SnapshotWorker* worker) { return !has_label(*worker, wanted.needs); });
    if (workers.empty()) return "label missing";
    std::erase_if(workers, [&](const SnapshotWorker* worker) { return !is_large_enough(*worker, wanted); });
    if (workers.empty()) return "no worker is large enough";
    if (!wanted.gang) return {};
    std::uint64_t fit = 0;
    for (const SnapshotWorker* worker : workers)
        fit += tasks_that_fit(*worker, wanted);
    return fit < wanted.count ? "gang too wide" : std::string();
}

}  // namespace calicostall
