// One waiting item: whether its turn has come, how many of its tasks may start, and why the others wait.
#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

namespace {

constexpr size_t failed_most = 32;  // items without room that are remembered in one plan

Reason reason_of(Item::Blocked blocked) {
    switch (blocked) {
        case Item::Blocked::dependency:
            return Reason::dependency;
        case Item::Blocked::budget:
            return Reason::budget;
        default:
            return Reason::due_time;
    }
}

}  // namespace

void PlanMaker::take_item() {
    const Item& item = *item_;
    if (item.blocked != Item::Blocked::no) return wait(item.count, reason_of(item.blocked));
    if (view_.fleet.service(item.service).count == 0) return wait(item.count, Reason::label);
    seen_ = {};
    overdue_ = is_overdue();
    if (item.gang) return take_gang();
    std::uint32_t open = open_tasks();
    std::uint32_t placed = 0;
    std::uint32_t held = 0;
    if (open > 0 && item.earliest <= now_ && !known_to_fail()) placed = start_now(open, held);
    std::uint32_t left = open - placed - held;
    if (open < item.count) wait(item.count - open, Reason::urgent_room);
    if (held) wait(held, Reason::nearby);
    if (left == 0) return;
    const Failed* like = known_to_fail();
    Reason reason = reserve(left, placed + held, like);
    bool anywhere = !seen_.apart && !seen_.trust && item.away.empty() && item.on_worker.empty();
    if (!like && item.earliest <= now_ && anywhere) note_failed(reason);
    wait(left, reason);
}

// Whether nothing of the item's job has run for long though its service has room to spare, or a lasting task has waited
// for long, however full the service is. Then one start, or one gang, goes ahead of everything that is kept free.
bool PlanMaker::is_overdue() const {
    const Item& item = *item_;
    if (item.idle_since == 0 || now_ - item.idle_since < settings_.idle_most) return false;
    if (item.standing.lasting) return true;
    Resources used = view_.demand.in_use(item.service);
    if (auto planned = planned_.find(item.service); planned != planned_.end()) used += planned->second;
    const Resources whole = view_.fleet.service(item.service).capacity;
    auto spare = [this](std::int64_t in_use, std::int64_t capacity) {
        return double(in_use) <= settings_.idle_share * double(capacity);
    };
    return spare(used.cpu, whole.cpu) && spare(used.memory, whole.memory) && spare(used.gpu, whole.gpu);
}

// How many tasks the item's level may start: for a less urgent level, room is kept for what urgent queues used lately.
std::uint32_t PlanMaker::open_tasks() {
    const Item& item = *item_;
    if (item.standing.level <= view_.urgent_level) return item.count;
    auto service = view_.fleet.service(item.service);
    auto kept = view_.demand.kept_from(item.service, item.standing.level, item.duration, service.capacity);
    if (kept.cpu <= 0 && kept.memory <= 0) return item.count;
    Resources used = view_.demand.in_use(item.service) + planned_[item.service];
    double most = double(item.count);
    if (item.room.cpu > 0) {
        double free = double(service.capacity.cpu - used.cpu) - kept.cpu;
        most = std::min(most, free / double(item.room.cpu));
    }
    if (item.room.memory > 0) {
        double free = double(service.capacity.memory - used.memory) - kept.memory;
        most = std::min(most, free / double(item.room.memory));
    }
    // A level is never shut out wholly.
    bool first = view_.demand.in_use(item.service, item.standing.level) == Resources{} &&
                 planned_levels_[{item.service, item.standing.level}] == 0;
    bool let_in = first || overdue_;
    if (item.gang) return most >= double(item.count) || let_in ? item.count : 0;
    return std::uint32_t(std::clamp(most, let_in ? 1.0 : 0.0, double(item.count)));
}

// The failed item that the present one is like: as large, as long, and as particular. Null if there is none.
const PlanMaker::Failed* PlanMaker::known_to_fail() const {
    const Item& item = *item_;
    if (overdue_) return nullptr;
    for (const Failed& each : failed_) {
        bool as_particular = each.service == item.service && (each.needs == 0 || each.needs == item.needs);
        bool as_long = item.duration >= each.length && (each.length == 0 || !item.checkpoints);
        if (as_particular && as_long && item.room.holds(each.room)) return &each;
    }
    return nullptr;
}

void PlanMaker::note_failed(Reason reason) {
    const Item& item = *item_;
    if (failed_.size() >= failed_most || (seen_.reserved && item.checkpoints)) return;
    Micros length = seen_.reserved ? item.duration : 0;
    Reason kept = reason == Reason::pushing ? Reason::room : reason;
    failed_.push_back({item.service, item.needs, item.room, length, kept});
}

void PlanMaker::wait(std::uint32_t tasks, Reason reason) {
    plan_.waits.push_back({item_->id, tasks, reason});
}

}  // namespace calicostall
