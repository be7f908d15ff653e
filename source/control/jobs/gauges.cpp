#include "control/jobs/gauges.hpp"

namespace calicostall {

namespace {

constexpr double reliable_score = 0.7;  // workers below it are named

// A list of words with commas between them.
class WordList {
public:
    void add(const std::string& word) {
        if (!text_.empty()) text_ += ",";
        text_ += word;
    }
    // " NAME=WORD,WORD"; nothing for an empty list.
    std::string named(const char* name) const { return text_.empty() ? "" : fmt::format(" {}={}", name, text_); }

private:
    std::string text_;
};

std::string jobs_text(const SchedulerState& state) {
    std::string text = fmt::format("jobs_open={} tasks_waiting=", state.open_job_count);
    for (const auto& [queue, each] : state.backlog)
        text += fmt::format("p{}:{},", each.priority, each.ready_tasks);
    return text;
}

std::string placed_text(const SchedulerState& state) {
    std::string text = " tasks_placed=";
    for (const auto& [service, usage] : state.usage_by_service)
        for (const auto& [priority, each] : usage.by_priority)
            text += fmt::format("p{}:{},", priority, each.runs);
    return text;
}

// The use of all services together.
CapacityFraction total_use(const SchedulerState& state) {
    ServiceUsage total;
    std::int64_t cpu = 0, memory = 0;
    for (const auto& [service, usage] : state.usage_by_service) {
        total.capacity_cpu += usage.capacity_cpu;
        total.capacity_memory += usage.capacity_memory;
        for (const auto& [priority, each] : usage.by_priority) {
            cpu += each.cpu;
            memory += each.memory;
        }
    }
    return total.fraction_of(cpu, memory);
}

std::string unreconciled_text(const std::string& worker_id, const WorkerRecord& worker) {
    if (worker.node.empty()) return worker_id;
    if (worker.is_placeholder) return worker.node + "(unheard)";
    return worker.node + (worker.is_unresponsive ? "(silent)" : "");
}

std::string workers_text(const SchedulerState& state) {
    size_t usable = 0;
    WordList unreconciled, slow, unreliable;
    for (const auto& [worker_id, worker] : state.workers) {
        usable += worker.is_reconciled && !worker.is_unresponsive && !worker.info.is_draining;
        if (!worker.is_reconciled) unreconciled.add(unreconciled_text(worker_id, worker));
        if (worker.slowdown.is_slow()) slow.add(fmt::format("{}:{:.1f}", worker.node, worker.slowdown.value()));
        const double score = state.fleet_reliability.score(worker.node, worker.last_contact_at);
        if (score < reliable_score) unreliable.add(fmt::format("{}:{:.1f}", worker.node, score));
    }
    return fmt::format(" workers={}/{}", usable, state.workers.size()) + unreconciled.named("unreconciled") +
           slow.named("slow") + unreliable.named("doubted");
}

}  // namespace

std::string scheduler_gauges(const SchedulerState& state) {
    const CapacityFraction use = total_use(state);
    return jobs_text(state) + placed_text(state) +
           fmt::format(" room_used=cpu:{:.2f},memory:{:.2f}", use.cpu, use.memory) + workers_text(state);
}

}  // namespace calicostall
