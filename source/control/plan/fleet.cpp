#include "control/plan/fleet.hpp"

namespace calicostall {

std::uint32_t Fleet::add(PlanWorker worker) {
    const std::uint32_t worker_index = take_free_index();
    Slot& slot = slots_[worker_index];
    slot = Slot{};
    std::vector<PlanRun> runs = std::move(worker.runs);
    worker.runs.clear();
    worker.free = worker.capacity;
    slot.worker = std::move(worker);
    slot.is_used = true;
    add_to_service(slot.worker);
    add_to_bucket(worker_index);
    for (PlanRun& run : runs)
        begin_run(worker_index, run);
    return worker_index;
}

void Fleet::remove(std::uint32_t worker_index) {
    Slot& slot = slots_[worker_index];
    while (!slot.worker.runs.empty())
        end_run(worker_index, slot.worker.runs.back().id);
    remove_from_bucket(worker_index);
    remove_from_service(slot.worker);
    slot = Slot{};
    free_indexes_.push_back(worker_index);
}

void Fleet::update_worker(std::uint32_t worker_index, NameId service, std::vector<NameId> labels, NameId rack,
                          const Resources& capacity) {
    PlanWorker& worker = slots_[worker_index].worker;
    remove_from_bucket(worker_index);
    remove_from_service(worker);
    worker.free += capacity - worker.capacity;
    worker.capacity = capacity;
    worker.service = service;
    worker.labels = std::move(labels);
    worker.rack = rack;
    add_to_service(worker);
    add_to_bucket(worker_index);
}

void Fleet::update_health(std::uint32_t worker_index, bool is_schedulable, double slowdown, double reliability,
                          std::uint32_t max_runs, bool is_paused) {
    PlanWorker& worker = slots_[worker_index].worker;
    worker.is_schedulable = is_schedulable;
    worker.slowdown = slowdown;
    worker.reliability = reliability;
    worker.max_runs = max_runs;
    worker.is_paused = is_paused;
}

void Fleet::replace_runs(std::uint32_t worker_index, std::vector<PlanRun> runs) {
    PlanWorker& worker = slots_[worker_index].worker;
    remove_from_bucket(worker_index);
    worker.free = worker.capacity;
    for (const PlanRun& run : worker.runs)
        remove_from_gang(worker_index, run);
    for (const PlanRun& run : runs) {
        worker.free -= run.resources;
        add_to_gang(worker_index, run);
    }
    worker.runs = std::move(runs);
    add_to_bucket(worker_index);
}

void Fleet::begin_run(std::uint32_t worker_index, PlanRun run) {
    PlanWorker& worker = slots_[worker_index].worker;
    remove_from_bucket(worker_index);
    worker.free -= run.resources;
    add_to_bucket(worker_index);
    add_to_gang(worker_index, run);
    worker.runs.push_back(run);
}

void Fleet::end_run(std::uint32_t worker_index, std::uint64_t id) {
    PlanRun* run = find_run(worker_index, id);
    if (!run) return;
    PlanWorker& worker = slots_[worker_index].worker;
    remove_from_bucket(worker_index);
    worker.free += run->resources;
    add_to_bucket(worker_index);
    remove_from_gang(worker_index, *run);
    *run = worker.runs.back();
    worker.runs.pop_back();
}

PlanRun* Fleet::find_run(std::uint32_t worker_index, std::uint64_t id) {
    for (PlanRun& run : slots_[worker_index].worker.runs)
        if (run.id == id) return &run;
    return nullptr;
}

const Fleet::GangMembers* Fleet::gang_members(std::uint64_t gang_id) const {
    auto found = gangs_.find(gang_id);
    return found == gangs_.end() ? nullptr : &found->second;
}

Fleet::ServiceTotals Fleet::service_totals(NameId service) const {
    auto found = services_.find(service);
    return found == services_.end() ? ServiceTotals{} : found->second;
}

std::uint32_t Fleet::take_free_index() {
    if (free_indexes_.empty()) {
        slots_.emplace_back();
        return std::uint32_t(slots_.size() - 1);
    }
    const std::uint32_t worker_index = free_indexes_.back();
    free_indexes_.pop_back();
    return worker_index;
}

void Fleet::add_to_service(const PlanWorker& worker) {
    ServiceTotals& totals = services_[worker.service];
    totals.worker_count += 1;
    totals.capacity += worker.capacity;
}

void Fleet::remove_from_service(const PlanWorker& worker) {
    ServiceTotals& totals = services_[worker.service];
    totals.worker_count -= 1;
    totals.capacity -= worker.capacity;
}

void Fleet::add_to_gang(std::uint32_t worker_index, const PlanRun& run) {
    if (run.gang_id != 0) gangs_[run.gang_id].emplace_back(worker_index, run.id);
}

void Fleet::remove_from_gang(std::uint32_t worker_index, const PlanRun& run) {
    auto gang = gangs_.find(run.gang_id);
    if (run.gang_id == 0 || gang == gangs_.end()) return;
    std::erase(gang->second, std::pair(worker_index, run.id));
    if (gang->second.empty()) gangs_.erase(gang);
}

void Fleet::add_to_bucket(std::uint32_t worker_index) {
    Slot& slot = slots_[worker_index];
    slot.bucket = bucket_of(slot.worker.free);
    auto& members = buckets_[slot.worker.service][slot.bucket];
    slot.bucket_position = members.size();
    members.push_back(worker_index);
}

/// The last member of the bucket takes the worker's place in it.
void Fleet::remove_from_bucket(std::uint32_t worker_index) {
    Slot& slot = slots_[worker_index];
    auto& of_service = buckets_[slot.worker.service];
    auto& members = of_service[slot.bucket];
    members[slot.bucket_position] = members.back();
    slots_[members[slot.bucket_position]].bucket_position = slot.bucket_position;
    members.pop_back();
    if (members.empty()) of_service.erase(slot.bucket);
}

}  // namespace calicostall
