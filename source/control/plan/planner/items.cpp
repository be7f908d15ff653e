// One waiting item: whether it may start yet, how many of its tasks may, and why the others wait.
#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

namespace {

constexpr size_t max_failed_items = 32;  // that one plan remembers

UnplacedReason reason_of(Item::BlockReason block_reason) {
    switch (block_reason) {
        case Item::BlockReason::dependency:
            return UnplacedReason::dependency;
        case Item::BlockReason::budget:
            return UnplacedReason::budget;
        default:
            return UnplacedReason::due_time;
    }
}

}  // namespace

void PlanBuilder::plan_item() {
    const Item& item = *item_;
    if (item.block_reason != Item::BlockReason::none)
        return add_unplaced(item.task_count, reason_of(item.block_reason));
    if (view_.fleet.service_totals(item.service).worker_count == 0)
        return add_unplaced(item.task_count, UnplacedReason::no_matching_worker);
    observations_ = {};
    is_starved_ = is_starved();
    if (item.is_gang) return plan_gang();
    plan_tasks();
}

/// Starts what fits now, and reserves slots for what doesn't.
void PlanBuilder::plan_tasks() {
    const Item& item = *item_;
    const bool is_due = item.earliest_start <= now_;
    const std::uint32_t startable = startable_tasks();
    std::uint32_t started = 0;
    std::uint32_t deferred = 0;
    if (startable > 0 && is_due && !find_similar_failure()) started = start_tasks(startable, deferred);
    if (startable < item.task_count) add_unplaced(item.task_count - startable, UnplacedReason::kept_for_urgent);
    if (deferred) add_unplaced(deferred, UnplacedReason::data_locality);
    const std::uint32_t remaining = startable - started - deferred;
    if (remaining == 0) return;
    const FailedItem* similar = find_similar_failure();
    const UnplacedReason reason = reserve_tasks(remaining, started + deferred, similar);
    const bool is_unconstrained = !observations_.any_anti_affinity && !observations_.any_unreliable &&
                                  item.excluded_workers.empty() && item.tasks_per_worker.empty();
    if (!similar && is_due && is_unconstrained) remember_failure(reason);
    add_unplaced(remaining, reason);
}

/// Whether nothing of the item's job has run for long though its service has resources to spare, or a long-running task
/// has waited for long, however full the service is. Then one start, or one gang, goes ahead of everything that is kept
/// free.
bool PlanBuilder::is_starved() const {
    const Item& item = *item_;
    if (item.idle_since == 0 || now_ - item.idle_since < settings_.max_idle) return false;
    if (item.scheduling_priority.is_long_running) return true;
    Resources used = view_.demand.in_use(item.service);
    if (auto planned = planned_by_service_.find(item.service); planned != planned_by_service_.end())
        used += planned->second;
    const Resources capacity = view_.fleet.service_totals(item.service).capacity;
    auto has_spare = [this](std::int64_t in_use, std::int64_t total) {
        return double(in_use) <= settings_.max_idle_usage * double(total);
    };
    return has_spare(used.cpu, capacity.cpu) && has_spare(used.memory, capacity.memory) &&
           has_spare(used.gpu, capacity.gpu);
}

/// How many tasks the item's level may start: for a less urgent level, headroom is kept for what urgent queues used
/// recently.
std::uint32_t PlanBuilder::startable_tasks() {
    const Item& item = *item_;
    const std::int64_t level = item.scheduling_priority.level;
    if (level <= view_.urgent_level) return item.task_count;
    const Resources capacity = view_.fleet.service_totals(item.service).capacity;
    const auto headroom = view_.demand.headroom_for_urgent(item.service, level, item.expected_duration, capacity);
    if (headroom.cpu <= 0 && headroom.memory <= 0) return item.task_count;
    const Resources used = view_.demand.in_use(item.service) + planned_by_service_[item.service];
    double max_tasks = double(item.task_count);
    if (item.resources.cpu > 0) {
        const double free = double(capacity.cpu - used.cpu) - headroom.cpu;
        max_tasks = std::min(max_tasks, free / double(item.resources.cpu));
    }
    if (item.resources.memory > 0) {
        const double free = double(capacity.memory - used.memory) - headroom.memory;
        max_tasks = std::min(max_tasks, free / double(item.resources.memory));
    }
    // A level is never shut out completely.
    const bool is_first =
        view_.demand.in_use(item.service, level) == Resources{} && starts_by_level_[{item.service, level}] == 0;
    const bool is_let_in = is_first || is_starved_;
    if (item.is_gang) return max_tasks >= double(item.task_count) || is_let_in ? item.task_count : 0;
    return std::uint32_t(std::clamp(max_tasks, is_let_in ? 1.0 : 0.0, double(item.task_count)));
}

/// The failed item that the present one is like: it is as large, as long, and as particular. Null if there is none.
const PlanBuilder::FailedItem* PlanBuilder::find_similar_failure() const {
    const Item& item = *item_;
    if (is_starved_) return nullptr;
    for (const FailedItem& each : failed_items_) {
        const bool is_as_particular =
            each.service == item.service && (each.required_label == 0 || each.required_label == item.required_label);
        const bool is_as_long =
            item.expected_duration >= each.min_duration && (each.min_duration == 0 || !item.has_checkpoints);
        if (is_as_particular && is_as_long && item.resources.can_fit(each.resources)) return &each;
    }
    return nullptr;
}

void PlanBuilder::remember_failure(UnplacedReason reason) {
    const Item& item = *item_;
    if (failed_items_.size() >= max_failed_items) return;
    if (observations_.any_reserved && item.has_checkpoints) return;
    const Micros min_duration = observations_.any_reserved ? item.expected_duration : 0;
    const UnplacedReason remembered =
        reason == UnplacedReason::preempting ? UnplacedReason::insufficient_capacity : reason;
    failed_items_.push_back({item.service, item.required_label, item.resources, min_duration, remembered});
}

void PlanBuilder::add_unplaced(std::uint32_t tasks, UnplacedReason reason) {
    plan_.unplaced.push_back({item_->id, tasks, reason});
}

}  // namespace calicostall
