// Which worker a task goes to. Pure.
#pragma once
#include "common.hpp"
#include "control/jobs/spec.hpp"

namespace calicostall {

struct PlacerSettings {
    double remote_factor = 1.5;
};

// What is free on one worker.
struct Room {
    std::string life, service;
    std::vector<std::string> labels;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    std::int64_t cpu_whole = 0, memory_whole = 0;
    double pace = 1;

    bool fits(const Step& step) const { return step.cpu <= cpu && step.memory <= memory && step.gpu <= gpu; }
    bool has(const std::string& label) const { return std::find(labels.begin(), labels.end(), label) != labels.end(); }
    void take(const Step& step) { cpu -= step.cpu, memory -= step.memory, gpu -= step.gpu; }
    std::string rack() const { return labels.size() > 1 ? labels[1] : std::string(); }
    // The share left after the step: the larger, the emptier the worker.
    double share_left(const Step& step) const {
        double by_cpu = cpu_whole > 0 ? double(cpu - step.cpu) / double(cpu_whole) : 1;
        double by_memory = memory_whole > 0 ? double(memory - step.memory) / double(memory_whole) : 1;
        return std::min(by_cpu, by_memory);
    }
};

// Example: for (auto [index, life] : place_tasks(settings, step, "huvo11a", {0, 1, 2}, {}, rooms)) ...
// A gang is placed whole or not at all; other tasks as far as there is room. `rooms` is reduced by what was placed.
inline std::vector<std::pair<size_t, std::string>> place_tasks(const PlacerSettings& settings, const Step& step, const std::string& service,
                                                               const std::vector<size_t>& tasks, std::map<std::string, std::uint32_t> on_worker,
                                                               std::vector<Room>& rooms, bool spread = true,
                                                               const std::map<size_t, std::string>& apart = {}) {
    (void)settings;
    auto attempt = [&](std::vector<Room> trial, const std::string& only_rack) {
        std::vector<std::pair<size_t, std::string>> chosen;
        auto counts = on_worker;
        for (size_t task : tasks) {
            Room* best = nullptr;
            double best_score = -1;
            for (Room& room : trial) {
                if (room.service != service || !room.fits(step)) continue;
                if (!step.needs.empty() && !room.has(step.needs)) continue;
                if (!only_rack.empty() && room.rack() != only_rack) continue;
                if (auto other = apart.find(task); other != apart.end() && other->second == room.life) continue;
                if (step.anti_affinity && counts[room.life] >= step.anti_affinity) continue;
                // Urgent work is spread, so that it starts at once; the rest is packed and leaves whole workers free.
                double score = spread ? room.share_left(step) : 1 - room.share_left(step);
                if (!step.affinity.empty() && room.has(step.affinity)) score += 2;
                // A worker seen to be slow is taken when there is nothing else.
                if (room.pace > 1.8) score -= 4 + room.pace;
                if (!best || score > best_score) best = &room, best_score = score;
            }
            if (!best) break;
            best->take(step);
            counts[best->life]++;
            chosen.emplace_back(task, best->life);
        }
        return std::pair(std::move(chosen), std::move(trial));
    };
    if (step.gang && step.same_rack) {
        std::set<std::string> racks;
        for (const Room& room : rooms) racks.insert(room.rack());
        for (const std::string& rack : racks) {
            auto [chosen, left] = attempt(rooms, rack);
            if (chosen.size() != tasks.size()) continue;
            rooms = std::move(left);
            return chosen;
        }
    }
    auto [chosen, left] = attempt(rooms, {});
    if (step.gang && chosen.size() != tasks.size()) return {};
    rooms = std::move(left);
    return chosen;
}

}  // namespace calicostall
