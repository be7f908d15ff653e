// What a client hands in, checked whole.
#pragma once
#include <boost/json.hpp>

#include "common.hpp"
#include "shared/record/finding.hpp"

namespace calicostall {

struct Step {
    std::uint32_t count = 1;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    Micros estimate = 0;
    std::vector<std::uint32_t> depends;
    bool checkpoints = false, gang = false, same_rack = false, duplicate_ok = false, long_running = false;
    std::string needs, affinity;
    std::uint32_t anti_affinity = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(count), visit(cpu), visit(memory), visit(gpu), visit(estimate), visit(depends), visit(checkpoints),
            visit(gang), visit(same_rack), visit(duplicate_ok), visit(long_running), visit(needs), visit(affinity),
            visit(anti_affinity);
    }
};

struct JobSpec {
    std::string text;
    std::vector<Step> steps;
    std::uint64_t repeats = 0;
    Micros first_at = 0, interval = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(text), visit(steps), visit(repeats), visit(first_at), visit(interval);
    }
};

struct SpecLimits {
    size_t text_bytes = 4000;
    std::uint64_t tasks = 10000, steps = 1000;
    std::int64_t number = std::int64_t(1) << 40;
};

// Example: Findings findings; JobSpec spec = parse_job(body, {}, findings); if (!findings.empty()) answer 400
inline JobSpec parse_job(std::string_view body, const SpecLimits& limits, Findings& findings) {
    JobSpec spec;
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(body, error);
    if (error || !whole.is_object()) {
        findings.add("job", error ? "cannot be read as JSON: " + error.message() : "must be a table");
        return spec;
    }
    auto number = [&](const boost::json::object& object, const std::string& place,
                      std::string_view name) -> std::int64_t {
        const auto* value = object.if_contains(name);
        std::string where = place.empty() ? std::string(name) : place + "." + std::string(name);
        if (!value || value->is_null()) return 0;
        if (!value->is_number()) return findings.add(where, "must be a number"), 0;
        double wide = value->to_number<double>();
        if (!(wide >= 0) || wide > double(limits.number) * 1024) return findings.add(where, "is out of range"), 0;
        return std::int64_t(wide);
    };
    auto flag = [&](const boost::json::object& object, const std::string& place, std::string_view name) {
        const auto* value = object.if_contains(name);
        if (!value || value->is_null()) return false;
        if (!value->is_bool()) return findings.add(place + "." + std::string(name), "must be true or false"), false;
        return value->as_bool();
    };
    auto text = [&](const boost::json::object& object, const std::string& place, std::string_view name) {
        const auto* value = object.if_contains(name);
        if (!value || value->is_null()) return std::string();
        if (!value->is_string()) return findings.add(place + "." + std::string(name), "must be a text"), std::string();
        return std::string(value->as_string());
    };
    const boost::json::object& object = whole.as_object();
    if (const auto* value = object.if_contains("job_spec")) {
        if (!value->is_string())
            findings.add("job_spec", "must be a text");
        else
            spec.text = std::string(value->as_string());
    }
    if (spec.text.size() > limits.text_bytes)
        findings.add("job_spec", fmt::format("is longer than {} bytes", limits.text_bytes));
    spec.repeats = std::uint64_t(number(object, "", "repeats"));
    spec.first_at = number(object, "", "first_at_ms") * 1000;
    spec.interval = number(object, "", "interval_ms") * 1000;
    if (spec.repeats > 1000000) findings.add("repeats", "is out of range");
    const auto* steps = object.if_contains("steps");
    if (!steps || !steps->is_array() || steps->as_array().empty()) {
        findings.add("steps", !steps ? "is missing" : "must be a list with at least one step");
        return spec;
    }
    const auto& list = steps->as_array();
    if (list.size() > limits.steps) return findings.add("steps", "has too many entries"), spec;
    std::uint64_t tasks = 0;
    for (size_t place = 0; place < list.size(); ++place) {
        std::string where = fmt::format("steps[{}]", place);
        if (!list[place].is_object()) {
            findings.add(where, "must be a table");
            continue;
        }
        const auto& each = list[place].as_object();
        Step step;
        std::int64_t count = each.if_contains("count") ? number(each, where, "count") : 1;
        if (count < 1 || count > std::int64_t(limits.tasks)) findings.add(where + ".count", "is out of range");
        step.count = std::uint32_t(std::clamp<std::int64_t>(count, 1, std::int64_t(limits.tasks)));
        tasks += step.count;
        step.cpu = number(each, where, "cpu");
        step.memory = number(each, where, "task_mem_mb");
        step.gpu = number(each, where, "gpu");
        step.estimate = number(each, where, "estimate_ms") * 1000;
        step.checkpoints = flag(each, where, "checkpoints");
        step.gang = flag(each, where, "gang");
        step.same_rack = flag(each, where, "same_rack");
        step.duplicate_ok = flag(each, where, "duplicate_ok");
        step.long_running = flag(each, where, "long_running");
        step.needs = text(each, where, "requires");
        step.affinity = text(each, where, "affinity");
        step.anti_affinity = std::uint32_t(std::min<std::int64_t>(number(each, where, "anti_affinity"), 1 << 20));
        if (const auto* depends = each.if_contains("depends_on"); depends && !depends->is_null()) {
            if (!depends->is_array())
                findings.add(where + ".depends_on", "must be a list");
            else
                for (const auto& earlier : depends->as_array()) {
                    bool sound = earlier.is_number();
                    double index = sound ? earlier.to_number<double>() : -1;
                    if (!(index >= 0) || index >= double(place) || index != double(std::uint32_t(index)))
                        findings.add(where + ".depends_on", "must name earlier steps only");
                    else
                        step.depends.push_back(std::uint32_t(index));
                }
        }
        spec.steps.push_back(std::move(step));
    }
    if (tasks > limits.tasks) findings.add("steps", fmt::format("ask for more than {} tasks", limits.tasks));
    return spec;
}

// What a job asks for, for the log: its aim in microseconds, its times (first, interval, how many; zeros: now), and for
// each step COUNTxCPUxMEMORY, `g` for a gang, `l` for one that lasts, and the places of the steps before it.
// Example: "350000;0,0,0;31x12000x22000,4x1000x500g@0"
inline std::string asked_text(const JobSpec& spec, Micros aim) {
    std::string text = fmt::format("{};{},{},{};", aim, spec.first_at, spec.interval, spec.repeats);
    for (size_t place = 0; place < spec.steps.size(); ++place) {
        const Step& step = spec.steps[place];
        text += fmt::format("{}{}x{}x{}{}{}", place ? "," : "", step.count, step.cpu, step.memory, step.gang ? "g" : "",
                            step.long_running ? "l" : "");
        for (size_t each = 0; each < step.depends.size(); ++each)
            text += fmt::format("{}{}", each ? "+" : "@", step.depends[each]);
    }
    return text;
}

// Example: valid_job_id("5c0e7a21d94b36f8")
inline bool valid_job_id(std::string_view id) {
    return id.size() == 16 && std::all_of(id.begin(), id.end(), [](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f') ||
                      (letter >= 'A' && letter <= 'F');
           });
}

}  // namespace calicostall
