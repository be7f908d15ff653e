/// What the planner answers: plain values.
#pragma once
#include "common.hpp"
#include "control/plan/resources.hpp"

namespace calicostall {

/// A task that is to start now.
struct Start {
    std::uint64_t item = 0;
    std::uint32_t task = 0;    // below the item's `task_count`
    std::uint32_t worker = 0;  // the worker's index
    bool backfill = false;     // it runs into a reservation, and may be preempted when that falls due
};

/// A run that is preempted now.
struct Stop {
    std::uint64_t run = 0;
    std::uint32_t worker = 0;
    std::uint64_t preempting_item = 0;
};

/// Resources of a worker that are kept for a task. No promise: the next plan makes its own.
struct Reservation {
    std::uint64_t item = 0;
    std::uint32_t task = 0, worker = 0;
    Resources resources;
    Micros from = 0, until = 0;
};

/// Why tasks wait.
enum class UnplacedReason : std::uint8_t {
    insufficient_capacity,  // no suitable worker has the resources free now
    reserved,               // they are free, but reserved for what goes first
    kept_for_urgent,        // they are free, but urgent queues used them recently
    data_locality,          // a slot near its data ends it sooner than one elsewhere now
    preempting,             // runs are being preempted for it
    gang,                   // not all members fit at once
    no_matching_worker,     // no worker has the label or the service
    anti_affinity,          // too many of the step are there, or it is a duplicate that must keep away
    unreliable_workers,     // only workers that are not reliable have the resources free
    dependency,
    due_time,
    budget,           // it may not start yet
    plan_incomplete,  // this plan's bound on work was reached before it
};

/// The reason as logs and clients read it.
constexpr const char* reason_text(UnplacedReason reason) {
    constexpr std::array<const char*, 13> texts{"room",     "reservation", "urgent room", "nearby", "pushing",
                                                "gang",     "label",       "apart",       "trust",  "dependency",
                                                "due time", "budget",      "unfinished"};
    return texts[size_t(reason)];
}

/// Tasks of an item that this plan doesn't start.
struct UnplacedItem {
    std::uint64_t item = 0;
    std::uint32_t tasks = 0;
    UnplacedReason reason = UnplacedReason::insufficient_capacity;
};

/// Where a scan of the waiting items stopped: for each value class the key and the number of the first item that was
/// not looked at.
using ScanPosition = std::array<std::pair<double, std::uint64_t>, 3>;

struct Plan {
    std::vector<Start> starts;  // in the order in which they were decided
    std::vector<Stop> stops;
    std::vector<Reservation> reservations;    // those made first come first
    std::vector<UnplacedItem> unplaced;       // one entry for an item and a reason, of the items that were looked at
    bool is_incomplete = false;               // items were left out: plan again soon, and give `resume_from` back
    std::optional<ScanPosition> resume_from;  // where the next plan goes on
    // The cost: items looked at, and workers ranked or timelines scanned for them.
    size_t items_examined = 0, evaluations = 0;
};

}  // namespace calicostall
