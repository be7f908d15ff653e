#include "control/jobs/job.hpp"

namespace calicostall {

Job Job::accept(JobDefinition definition) {
    Job job;
    job.definition = std::move(definition);
    if (job.definition.spec.repeats == 0) job.add_occurrence();
    return job;
}

// --- the record ---

std::string Job::encoded_definition() const {
    return encode(definition);
}

JobHead Job::make_head() const {
    JobHead head{status.outcome, status.ended_wall_clock, status.has_started, status.next_occurrence, {}};
    if (has_ended() && !has_placements()) return head;
    for (const Occurrence& occurrence : status.occurrences) {
        OccurrenceHead& each = head.occurrences.emplace_back(OccurrenceHead{occurrence.number, {}});
        for (const StepState& step : occurrence.steps)
            each.last_failed_runs.push_back(step.last_failed_run);
    }
    return head;
}

Mutation Job::encode_changes() {
    const std::string head = encode(make_head());
    const std::set<std::uint64_t> dirty_chunks = std::exchange(dirty_chunks_, {});
    if (has_ended() && !has_placements()) return Mutation(head, {}, true);
    std::vector<Chunk> chunks;
    for (std::uint64_t number : dirty_chunks) {
        const Task* task = task_of_chunk(number);
        chunks.push_back({number, task ? encode(*task) : std::string()});
    }
    for (; encoded_incarnations_ < status.incarnations.size(); ++encoded_incarnations_)
        chunks.push_back(
            {worker_chunk_bit | encoded_incarnations_, encode(status.incarnations[encoded_incarnations_])});
    return Mutation(head, std::move(chunks));
}

std::optional<Job> Job::from_register(const Register& value) {
    auto definition = decode<JobDefinition>(value.immutable);
    const auto head = decode<JobHead>(value.head);
    if (!definition || !head) return std::nullopt;
    Job job;
    job.definition = std::move(*definition);
    job.definition.extension = double(job.definition.extension_thousandths) / 1000;
    job.status.outcome = head->outcome;
    job.status.ended_wall_clock = head->ended_wall_clock;
    job.status.has_started = head->has_started;
    job.status.next_occurrence = head->next_occurrence;
    if (!job.decode_occurrences(head->occurrences)) return std::nullopt;
    for (const auto& [number, bytes] : value.chunks)
        if (!job.decode_chunk(number, bytes)) return std::nullopt;
    job.encoded_incarnations_ = job.status.incarnations.size();
    if (!job.has_valid_placements()) return std::nullopt;
    return job;
}

bool Job::decode_occurrences(const std::vector<OccurrenceHead>& heads) {
    for (const OccurrenceHead& head : heads) {
        Occurrence& occurrence = status.occurrences.emplace_back(make_occurrence(head.number));
        if (head.last_failed_runs.size() != occurrence.steps.size()) return false;
        for (size_t step = 0; step < occurrence.steps.size(); ++step)
            occurrence.steps[step].last_failed_run = head.last_failed_runs[step];
    }
    return true;
}

bool Job::decode_chunk(std::uint64_t number, const std::string& bytes) {
    if (number & worker_chunk_bit) {
        auto incarnation = decode<WorkerIncarnation>(bytes);
        if (!incarnation || (number & ~worker_chunk_bit) != status.incarnations.size()) return false;
        status.incarnations.push_back(std::move(*incarnation));
        return true;
    }
    Task* task = task_of_chunk(number);
    auto decoded = decode<Task>(bytes);
    if (!task || !decoded) return false;
    *task = std::move(*decoded);
    placement_count_ += task->placements.size();
    return true;
}

bool Job::has_valid_placements() const {
    for (const Occurrence& occurrence : status.occurrences)
        for (const StepState& step : occurrence.steps)
            for (const Task& task : step.tasks)
                for (const Placement& placement : task.placements)
                    if (placement.worker_index >= status.incarnations.size()) return false;
    return true;
}

std::uint64_t Job::chunk_number(std::uint64_t occurrence, size_t step, size_t index) {
    return occurrence << 39 | std::uint64_t(step) << 24 | std::uint64_t(index);
}

Task* Job::task_of_chunk(std::uint64_t number) {
    return find_task({{}, number >> 39, std::uint32_t(number >> 24 & 0x7fff), std::uint32_t(number & 0xffffff), 0});
}

void Job::mark_chunk_dirty(std::uint64_t occurrence, size_t step, size_t index) {
    dirty_chunks_.insert(chunk_number(occurrence, step, index));
}

// --- state ---

const char* Job::phase() const {
    switch (status.outcome) {
        case JobOutcome::done:
            return "done";
        case JobOutcome::failed:
            return "failed";
        case JobOutcome::cancelled:
            return "cancelled";
        case JobOutcome::none:
            break;
    }
    return status.has_started ? "running" : "queued";
}

std::optional<Micros> Job::next_due_at() const {
    if (!is_recurring() || has_ended() || status.next_occurrence >= definition.spec.repeats) return std::nullopt;
    return definition.spec.first_at + Micros(status.next_occurrence) * definition.spec.interval;
}

Occurrence* Job::find_occurrence(std::uint64_t number) {
    for (Occurrence& occurrence : status.occurrences)
        if (occurrence.number == number) return &occurrence;
    return nullptr;
}

Task* Job::find_task(const RunId& run_id) {
    Occurrence* occurrence = find_occurrence(run_id.occurrence);
    if (!occurrence || run_id.step >= occurrence->steps.size()) return nullptr;
    std::vector<Task>& tasks = occurrence->steps[run_id.step].tasks;
    return run_id.index < tasks.size() ? &tasks[run_id.index] : nullptr;
}

Placement* Job::find_placement(const RunId& run_id, const std::string& worker_id) {
    Task* task = find_task(run_id);
    if (!task) return nullptr;
    for (Placement& placement : task->placements)
        if (placement.run == run_id.run && status.incarnations[placement.worker_index].worker_id == worker_id)
            return &placement;
    return nullptr;
}

bool Job::has_dependencies_done(const Occurrence& occurrence, size_t step) const {
    for (std::uint32_t earlier : definition.spec.steps[step].dependencies)
        if (!occurrence.steps[earlier].is_done()) return false;
    return true;
}

std::uint32_t Job::next_run_number(const Occurrence& occurrence, size_t step, size_t index) const {
    if (!definition.spec.steps[step].gang) return occurrence.steps[step].tasks[index].last_run + 1;
    std::uint32_t last = 0;
    for (const Task& member : occurrence.steps[step].tasks)
        last = std::max(last, member.last_run);
    return last + 1;
}

bool Job::is_run_needed(const Occurrence& occurrence, size_t step, size_t index, std::uint32_t run) const {
    const StepState& state = occurrence.steps[step];
    if (has_ended() || state.tasks[index].is_done) return false;
    if (!definition.spec.steps[step].gang) return true;
    if (state.last_failed_run >= run) return false;
    const auto has_run = [run](const Task& member) {
        return std::any_of(member.placements.begin(), member.placements.end(),
                           [run](const Placement& placement) { return placement.run == run; });
    };
    return std::all_of(state.tasks.begin(), state.tasks.end(), has_run);
}

// --- changes ---

Occurrence& Job::add_occurrence() {
    status.occurrences.push_back(make_occurrence(status.next_occurrence++));
    return status.occurrences.back();
}

Occurrence Job::make_occurrence(std::uint64_t number) const {
    Occurrence occurrence;
    occurrence.number = number;
    for (const Step& step : definition.spec.steps)
        occurrence.steps.emplace_back().tasks.resize(step.count);
    return occurrence;
}

std::uint32_t Job::worker_index(const WorkerIncarnation& incarnation) {
    for (size_t index = 0; index < status.incarnations.size(); ++index)
        if (status.incarnations[index].worker_id == incarnation.worker_id) return std::uint32_t(index);
    status.incarnations.push_back(incarnation);
    return std::uint32_t(status.incarnations.size() - 1);
}

void Job::add_placement(Occurrence& occurrence, size_t step, size_t index, std::uint32_t run,
                        const WorkerIncarnation& incarnation) {
    Task& task = occurrence.steps[step].tasks[index];
    task.last_run = std::max(task.last_run, run);
    task.placements.push_back({run, worker_index(incarnation)});
    ++placement_count_;
    mark_chunk_dirty(occurrence.number, step, index);
    status.has_started = true;
}

bool Job::end_run(const RunId& run_id, const std::string& worker_id, RunOutcome outcome, const std::string& checkpoint,
                  std::uint32_t max_attempts, Micros wall_clock) {
    if (!find_placement(run_id, worker_id)) return false;
    Occurrence& occurrence = *find_occurrence(run_id.occurrence);
    StepState& state = occurrence.steps[run_id.step];
    Task& task = state.tasks[run_id.index];
    remove_placement(task, run_id, worker_id);
    mark_run_dirty(run_id, state);
    if (!checkpoint.empty()) store_checkpoint(state, run_id, checkpoint);
    if (has_ended()) return true;
    const bool counts = !definition.spec.steps[run_id.step].long_running;
    if (counts && outcome == RunOutcome::done) finish_task(state, run_id);
    if (counts && outcome == RunOutcome::failed && !task.is_done) {
        count_failure(state, run_id);
        if (task.failure_count >= max_attempts) finish(JobOutcome::failed, wall_clock);
    }
    if (!has_ended() && is_all_done()) finish(JobOutcome::done, wall_clock);
    if (!has_ended()) drop_occurrence_if_over(occurrence);
    return true;
}

void Job::remove_placement(Task& task, const RunId& run_id, const std::string& worker_id) {
    placement_count_ -= std::erase_if(task.placements, [&](const Placement& placement) {
        return placement.run == run_id.run && status.incarnations[placement.worker_index].worker_id == worker_id;
    });
}

void Job::mark_run_dirty(const RunId& run_id, const StepState& state) {
    if (!definition.spec.steps[run_id.step].gang) return mark_chunk_dirty(run_id.occurrence, run_id.step, run_id.index);
    for (size_t index = 0; index < state.tasks.size(); ++index)
        mark_chunk_dirty(run_id.occurrence, run_id.step, index);
}

void Job::store_checkpoint(StepState& state, const RunId& run_id, const std::string& checkpoint) {
    state.tasks[run_id.index].checkpoint = checkpoint;
    if (!definition.spec.steps[run_id.step].gang) return;
    for (Task& member : state.tasks)
        member.checkpoint = checkpoint;
}

void Job::finish_task(StepState& state, const RunId& run_id) {
    state.tasks[run_id.index].is_done = true;
    if (!definition.spec.steps[run_id.step].gang) return;
    for (Task& member : state.tasks)
        member.is_done = true;
}

void Job::count_failure(StepState& state, const RunId& run_id) {
    if (!definition.spec.steps[run_id.step].gang) {
        ++state.tasks[run_id.index].failure_count;
        return;
    }
    // Several members of one run may fail: the run counts once.
    if (state.last_failed_run >= run_id.run) return;
    state.last_failed_run = run_id.run;
    for (Task& member : state.tasks)
        ++member.failure_count;
}

bool Job::is_all_done() const {
    return status.next_occurrence >= occurrence_count() &&
           std::all_of(status.occurrences.begin(), status.occurrences.end(),
                       [](const Occurrence& occurrence) { return occurrence.is_done(); });
}

// A finished occurrence is dropped once nothing of it may still run.
void Job::drop_occurrence_if_over(const Occurrence& occurrence) {
    if (!occurrence.is_done() || status.occurrences.size() <= 1) return;
    for (const StepState& step : occurrence.steps)
        for (const Task& task : step.tasks)
            if (!task.placements.empty()) return;
    drop_occurrence(occurrence.number);
}

void Job::drop_occurrence(std::uint64_t number) {
    for (size_t step = 0; step < definition.spec.steps.size(); ++step)
        for (size_t index = 0; index < definition.spec.steps[step].count; ++index)
            mark_chunk_dirty(number, step, index);
    std::erase_if(status.occurrences, [&](const Occurrence& each) { return each.number == number; });
}

void Job::cancel(Micros wall_clock) {
    if (!has_ended()) finish(JobOutcome::cancelled, wall_clock);
}

void Job::finish(JobOutcome outcome, Micros wall_clock) {
    status.outcome = outcome;
    status.ended_wall_clock = wall_clock;
}

}  // namespace calicostall
