#include "preview/verification/run_log_index.hpp"

namespace calicostall {

namespace {

template <class Map>
const typename Map::mapped_type* find_in(const Map& map, const std::string& key) {
    auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

}  // namespace

std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

std::string occurrence_of(const std::string& task) {
    return task.substr(0, task.rfind('.', task.rfind('.') - 1));
}

bool has_event_until(const EventTimes& times, const std::string& key, Micros until) {
    auto found = times.find(key);
    if (found == times.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](Micros at) { return at <= until; });
}

RunLogIndex::RunLogIndex(const SavedPreview& preview, const std::vector<RunEvent>& events, Micros logs_complete_until) {
    Micros logs_end = 0;
    std::vector<const RunEvent*> later;
    for (const RunEvent& event : events) {
        logs_end = std::max(logs_end, event.wall_clock - preview.wall_clock);
        if (event.wall_clock >= preview.wall_clock) later.push_back(&event);
    }
    std::stable_sort(later.begin(), later.end(),
                     [](const RunEvent* left, const RunEvent* right) { return left->wall_clock < right->wall_clock; });
    if (logs_complete_until) logs_end = logs_complete_until - preview.wall_clock;
    covered_until_ = std::min(logs_end, preview.horizon);
    for (const RunEvent* event : later)
        add(preview, *event);
}

void RunLogIndex::add(const SavedPreview& preview, const RunEvent& event) {
    const Micros at = event.wall_clock - preview.wall_clock;
    if (is_unpredictable(preview, event)) first_disturbance_ = std::min(first_disturbance_, at);
    switch (event.kind) {
        case RunEvent::Kind::run_started:
            starts_.try_emplace(event.task, RunStart{event.worker_id, at});
            if (!preview.jobs.contains(job_of(event.task))) unpredicted_starts_[event.worker_id].push_back(at);
            break;
        case RunEvent::Kind::run_ended:
            add_run_end(event, at);
            break;
        case RunEvent::Kind::worker_ended:
            lost_workers_.try_emplace(event.worker_id, at);
            break;
        case RunEvent::Kind::job_ended:
            job_ends_.try_emplace(event.task, RunEnd{event.outcome, at});
            break;
        case RunEvent::Kind::leadership_began:
            if (event.outcome != preview.term && !leader_changed_at_) leader_changed_at_ = at;
            break;
        case RunEvent::Kind::job_accepted:
            break;
    }
}

void RunLogIndex::add_run_end(const RunEvent& event, Micros at) {
    ends_.try_emplace(event.task, RunEnd{event.outcome, at});
    if (event.outcome == "stopped") stops_.emplace(event.task, at);
    if (event.outcome != "failed") return;
    failures_by_worker_[event.worker_id].push_back(at);
    failures_by_job_[job_of(event.task)].push_back(at);
}

bool RunLogIndex::is_unpredictable(const SavedPreview& preview, const RunEvent& event) {
    switch (event.kind) {
        case RunEvent::Kind::run_started:
            return !preview.jobs.contains(job_of(event.task));
        case RunEvent::Kind::run_ended:
            return event.outcome == "failed";
        case RunEvent::Kind::job_ended:
            return event.outcome != "done";
        case RunEvent::Kind::leadership_began:
            return event.outcome != preview.term;
        case RunEvent::Kind::job_accepted:
        case RunEvent::Kind::worker_ended:
            return true;
    }
    return false;
}

const RunLogIndex::RunStart* RunLogIndex::find_start(const std::string& task) const {
    return find_in(starts_, task);
}

const RunLogIndex::RunEnd* RunLogIndex::find_end(const std::string& task) const {
    return find_in(ends_, task);
}

const RunLogIndex::RunEnd* RunLogIndex::find_job_end(const std::string& job) const {
    return find_in(job_ends_, job);
}

std::optional<Micros> RunLogIndex::first_stop(const std::string& task) const {
    auto found = stops_.lower_bound(task);
    if (found == stops_.end() || found->first != task) return std::nullopt;
    return found->second;
}

bool RunLogIndex::was_stopped_near(const std::string& task, Micros at, Micros tolerance) const {
    auto [first, last] = stops_.equal_range(task);
    return std::any_of(first, last, [&](const auto& stop) { return std::abs(stop.second - at) <= tolerance; });
}

}  // namespace calicostall
