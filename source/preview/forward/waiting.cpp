#include "preview/forward/waiting.hpp"

#include "preview/forward/estimates.hpp"

namespace calicostall {

void ForwardWaiting::refresh_job(std::uint32_t job) {
    for (const auto& [number, steps] : state_.jobs[job].times)
        refresh_time(job, number);
}

void ForwardWaiting::refresh_time(std::uint32_t job, std::uint64_t number) {
    for (std::uint32_t step = 0; step < state_.jobs[job].job->steps.size(); ++step)
        refresh_step(job, number, step);
}

void ForwardWaiting::refresh_step(std::uint32_t job_place, std::uint64_t number, std::uint32_t step_place) {
    const ForwardJob& job = state_.jobs[job_place];
    const std::vector<ForwardStep>& steps = job.times.at(number);
    const Step& wanted = job.job->steps[step_place].wanted;
    const ForwardItem item{job_place, number, step_place, {}};
    ForwardStep& step = state_.step_of(item.task(0));
    step.waiting.clear();
    std::set<std::uint32_t> singles;
    const bool turn = job.turn_has_come(steps, step_place);
    for (std::uint32_t index = 0; turn && index < step.tasks.size(); ++index) {
        const ForwardTask& task = step.tasks[index];
        if (task.done || task.failures >= job.attempts_most) continue;
        const TaskKey key = item.task(index);
        const bool may_have_copy = wanted.duplicate_ok && !wanted.gang && state_.doubled.contains(key);
        if (task.live == 1 && may_have_copy) singles.insert(index);
        if (task.live > 0) continue;
        if (!wanted.gang && state_.failed_on.contains(key))
            singles.insert(index);
        else
            step.waiting.push_back(index);
    }
    // A gang waits as a whole.
    if (wanted.gang && step.waiting.size() != step.tasks.size()) step.waiting.clear();
    put_step(item);
    put_singles(item, std::move(singles));
}

void ForwardWaiting::put_step(const ForwardItem& item) {
    const size_t count = state_.step_of(item.task(0)).waiting.size();
    if (count == 0)
        items_.erase(id_of(item));
    else
        put(item, std::uint32_t(count));
}

void ForwardWaiting::put_singles(const ForwardItem& item, std::set<std::uint32_t> singles) {
    ForwardStep& step = state_.step_of(item.task(0));
    for (std::uint32_t index : step.singles)
        if (!singles.contains(index)) items_.erase(id_of({item.job, item.time, item.step, index}));
    for (std::uint32_t index : singles)
        put({item.job, item.time, item.step, index}, 1);
    step.singles = std::move(singles);
}

void ForwardWaiting::put(const ForwardItem& of, std::uint32_t count) {
    Item item = plan_item(of, count);
    Fleet::ServiceSum sum = state_.fleet.service(item.service);
    double mean = sum.count ? double(sum.capacity.cpu) / double(sum.count) : 0;
    double room_share = mean > 0 ? double(item.room.cpu) / mean : 0;
    items_.put(std::move(item), state_.now, room_share);
}

Item ForwardWaiting::plan_item(const ForwardItem& of, std::uint32_t count) {
    const ForwardJob& job = state_.jobs[of.job];
    const SnapshotStep& step = job.job->steps[of.step];
    const Step& wanted = step.wanted;
    Item item;
    item.id = id_of(of);
    item.standing = standing_of(job, of.step);
    item.service = job.service;
    item.room = {wanted.cpu, wanted.memory, wanted.gpu};
    item.count = count;
    item.duration = std::max<Micros>(1, step.expected);
    item.needs = state_.names.of(wanted.needs);
    item.affinity = state_.names.of(wanted.affinity);
    item.anti_affinity = wanted.anti_affinity;
    item.gang = wanted.gang;
    item.same_rack = wanted.same_rack;
    item.checkpoints = wanted.checkpoints;
    item.preemptable = !wanted.long_running;
    for (std::uint32_t index = 0; item.anti_affinity && index < wanted.count; ++index)
        for (std::uint32_t place : places_of(of.task(index)))
            item.on_worker.emplace_back(place, 1);
    if (of.single) {
        item.away = places_of(of.task(*of.single));
        item.disliked = places_of_failures(of.task(*of.single));
    }
    return item;
}

const ForwardItem* ForwardWaiting::find(std::uint64_t id) const {
    auto found = items_by_id_.find(id);
    return found == items_by_id_.end() ? nullptr : &found->second;
}

std::vector<TaskKey> ForwardWaiting::tasks_of(const ForwardItem& item) const {
    if (item.single) return {item.task(*item.single)};
    std::vector<TaskKey> keys;
    for (std::uint32_t index : state_.step_of(item.task(0)).waiting)
        keys.push_back(item.task(index));
    return keys;
}

TaskKey ForwardWaiting::task_of(const ForwardItem& item, std::uint32_t number) const {
    if (item.single) return item.task(*item.single);
    const std::vector<std::uint32_t>& waiting = state_.step_of(item.task(0)).waiting;
    return item.task(number < waiting.size() ? waiting[number] : 0);
}

std::uint64_t ForwardWaiting::id_of(const ForwardItem& item) {
    auto [found, fresh] = ids_.try_emplace(item, ids_.size() + 1);
    if (fresh) items_by_id_[found->second] = item;
    return found->second;
}

std::vector<std::uint32_t> ForwardWaiting::places_of(const TaskKey& key) const {
    std::vector<std::uint32_t> places;
    auto live = state_.live.find(key);
    if (live == state_.live.end()) return places;
    for (std::uint64_t run : live->second) {
        const ForwardWorker& worker = state_.workers[state_.runs.at(run).worker];
        if (worker.in_fleet) places.push_back(worker.place);
    }
    return places;
}

std::vector<std::uint32_t> ForwardWaiting::places_of_failures(const TaskKey& key) const {
    std::vector<std::uint32_t> places;
    auto failed = state_.failed_on.find(key);
    if (failed == state_.failed_on.end()) return places;
    for (const ForwardWorker& worker : state_.workers)
        if (worker.in_fleet && failed->second.contains(worker.said.node)) places.push_back(worker.place);
    return places;
}

}  // namespace calicostall
