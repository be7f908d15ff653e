// Which worker each task of one step goes to. Pure.
#pragma once
#include "control/jobs/state/worker.hpp"

namespace calicostall {

// A worker that may be chosen now.
struct Candidate {
    WorkerEntry* worker = nullptr;
    double trust = 1;
    bool probing = false;  // it gets a single run, to show whether it works again
};

struct Choice {
    std::uint32_t index = 0;
    WorkerEntry* worker = nullptr;
};

// What one step wants of its workers, besides room.
struct StepWish {
    const Step* step = nullptr;
    std::string service;
    bool spread = true;
    std::map<std::string, std::uint32_t> on_worker;                // life -> tasks of the step there
    std::map<std::uint32_t, std::string> apart;                    // task -> life that its copy must avoid
    std::map<std::uint32_t, const std::set<std::string>*> failed;  // task -> machines where it failed before
};

// Example: for (const Choice& choice : select_workers(wish, {0, 1, 2}, candidates, operations)) ...
// A gang is placed whole or not at all; other tasks as far as there is room.
inline std::vector<Choice> select_workers(const StepWish& wish, const std::vector<std::uint32_t>& tasks, std::vector<Candidate>& candidates, std::uint64_t& operations) {
    const Step& step = *wish.step;
    auto attempt = [&](const std::string* only_rack) {
        std::vector<Choice> chosen;
        std::map<const WorkerEntry*, std::uint32_t> more;
        std::map<const WorkerEntry*, Room> free;  // only the rooms that this attempt has taken from
        for (std::uint32_t task : tasks) {
            Candidate* best = nullptr;
            double best_score = -1e9;
            auto failed = wish.failed.find(task);
            for (Candidate& each : candidates) {
                ++operations;
                WorkerEntry& worker = *each.worker;
                auto taken = free.find(&worker);
                const Room& room = taken == free.end() ? worker.room : taken->second;
                if (room.service != wish.service || !room.fits(step)) continue;
                if (!step.needs.empty() && !room.has(step.needs)) continue;
                if (only_rack && room.rack() != *only_rack) continue;
                if (auto other = wish.apart.find(task); other != wish.apart.end() && other->second == room.life) continue;
                if (each.probing && (!worker.runs.empty() || more.contains(&worker))) continue;
                if (step.anti_affinity) {
                    auto there = wish.on_worker.find(room.life);
                    auto now = more.find(&worker);
                    if ((there == wish.on_worker.end() ? 0 : there->second) + (now == more.end() ? 0 : now->second) >= step.anti_affinity) continue;
                }
                // Urgent work is spread, so that it starts at once; the rest is packed and leaves whole workers free.
                double score = wish.spread ? room.share_left(step) : 1 - room.share_left(step);
                if (!step.affinity.empty() && room.has(step.affinity)) score += 2;
                // A worker seen to be slow, or to fail what it runs, is taken when there is nothing else.
                if (worker.pace.value() > 1.8) score -= 4 + worker.pace.value();
                score -= 6 * (1 - each.trust);
                // A task that failed tries another machine.
                if (failed != wish.failed.end() && failed->second->contains(worker.node)) score -= 12;
                if (!best || score > best_score) best = &each, best_score = score;
            }
            if (!best) break;
            free.try_emplace(best->worker, best->worker->room).first->second.take(step);
            ++more[best->worker];
            chosen.push_back({task, best->worker});
        }
        return chosen;
    };
    if (step.gang && step.same_rack) {
        std::set<std::string> racks;
        for (const Candidate& each : candidates) racks.insert(each.worker->room.rack());
        for (const std::string& rack : racks)
            if (auto chosen = attempt(&rack); chosen.size() == tasks.size()) return chosen;
    }
    auto chosen = attempt(nullptr);
    if (step.gang && chosen.size() != tasks.size()) chosen.clear();
    return chosen;
}

}  // namespace calicostall
