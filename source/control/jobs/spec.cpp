#include "control/jobs/spec.hpp"

#include <boost/json.hpp>

namespace calicostall {

namespace {

using Object = boost::json::object;

constexpr std::uint64_t max_repeats = 1000000;
constexpr std::int64_t max_anti_affinity = 1 << 20;  // larger values mean the same: any number

// Reads one submitted job; what is wrong is added to the findings, and reading goes on with a default.
class JobSpecReader {
public:
    JobSpecReader(const SpecLimits& limits, Findings& findings) : limits_(limits), findings_(findings) {}

    JobSpec read(std::string_view body) {
        JobSpec spec;
        boost::system::error_code error;
        const boost::json::value document = boost::json::parse(body, error);
        if (error || !document.is_object()) {
            findings_.add("job", error ? "cannot be read as JSON: " + error.message() : "must be a table");
            return spec;
        }
        const Object& job = document.as_object();
        read_text(job, spec);
        read_occurrences(job, spec);
        read_steps(job, spec);
        return spec;
    }

private:
    // The value of a member that is present and not null.
    static const boost::json::value* find(const Object& object, std::string_view name) {
        const auto* value = object.if_contains(name);
        return value && !value->is_null() ? value : nullptr;
    }
    static std::string join(const std::string& path, std::string_view name) {
        return path.empty() ? std::string(name) : path + "." + std::string(name);
    }

    std::int64_t number(const Object& object, const std::string& path, std::string_view name) {
        const auto* value = find(object, name);
        if (!value) return 0;
        if (!value->is_number()) {
            findings_.add(join(path, name), "must be a number");
            return 0;
        }
        const double as_double = value->to_number<double>();
        if (!(as_double >= 0) || as_double > double(limits_.max_number) * 1024) {
            findings_.add(join(path, name), "is out of range");
            return 0;
        }
        return std::int64_t(as_double);
    }
    bool flag(const Object& object, const std::string& path, std::string_view name) {
        const auto* value = find(object, name);
        if (!value) return false;
        if (value->is_bool()) return value->as_bool();
        findings_.add(join(path, name), "must be true or false");
        return false;
    }
    std::string text(const Object& object, const std::string& path, std::string_view name) {
        const auto* value = find(object, name);
        if (!value) return {};
        if (value->is_string()) return std::string(value->as_string());
        findings_.add(join(path, name), "must be a text");
        return {};
    }

    // Unlike other texts it may not be null.
    void read_text(const Object& job, JobSpec& spec) {
        if (const auto* value = job.if_contains("job_spec")) {
            if (!value->is_string())
                findings_.add("job_spec", "must be a text");
            else
                spec.text = std::string(value->as_string());
        }
        if (spec.text.size() > limits_.max_text_bytes)
            findings_.add("job_spec", fmt::format("is longer than {} bytes", limits_.max_text_bytes));
    }
    void read_occurrences(const Object& job, JobSpec& spec) {
        spec.repeats = std::uint64_t(number(job, "", "repeats"));
        spec.first_at = number(job, "", "first_at_ms") * 1000;
        spec.interval = number(job, "", "interval_ms") * 1000;
        if (spec.repeats > max_repeats) findings_.add("repeats", "is out of range");
    }
    void read_steps(const Object& job, JobSpec& spec) {
        const auto* steps = job.if_contains("steps");
        if (!steps || !steps->is_array() || steps->as_array().empty())
            return findings_.add("steps", !steps ? "is missing" : "must be a list with at least one step");
        const auto& list = steps->as_array();
        if (list.size() > limits_.max_steps) return findings_.add("steps", "has too many entries");
        std::uint64_t tasks = 0;
        for (size_t index = 0; index < list.size(); ++index) {
            const std::string path = fmt::format("steps[{}]", index);
            if (!list[index].is_object()) {
                findings_.add(path, "must be a table");
                continue;
            }
            spec.steps.push_back(read_step(list[index].as_object(), path, index));
            tasks += spec.steps.back().count;
        }
        if (tasks > limits_.max_tasks)
            findings_.add("steps", fmt::format("ask for more than {} tasks", limits_.max_tasks));
    }
    Step read_step(const Object& object, const std::string& path, size_t index) {
        Step step;
        step.count = read_count(object, path);
        step.cpu = number(object, path, "cpu");
        step.memory = number(object, path, "task_mem_mb");
        step.gpu = number(object, path, "gpu");
        step.estimate = number(object, path, "estimate_ms") * 1000;
        step.checkpoints = flag(object, path, "checkpoints");
        step.gang = flag(object, path, "gang");
        step.same_rack = flag(object, path, "same_rack");
        step.duplicate_ok = flag(object, path, "duplicate_ok");
        step.long_running = flag(object, path, "long_running");
        step.required_label = text(object, path, "requires");
        step.affinity = text(object, path, "affinity");
        step.anti_affinity = std::uint32_t(std::min(number(object, path, "anti_affinity"), max_anti_affinity));
        if (const auto* dependencies = find(object, "depends_on"))
            step.dependencies = read_dependencies(*dependencies, path + ".depends_on", index);
        return step;
    }
    std::uint32_t read_count(const Object& object, const std::string& path) {
        const auto most = std::int64_t(limits_.max_tasks);
        const std::int64_t count = object.if_contains("count") ? number(object, path, "count") : 1;
        if (count < 1 || count > most) findings_.add(path + ".count", "is out of range");
        return std::uint32_t(std::clamp<std::int64_t>(count, 1, most));
    }
    std::vector<std::uint32_t> read_dependencies(const boost::json::value& value, const std::string& path,
                                                 size_t step) {
        std::vector<std::uint32_t> dependencies;
        if (!value.is_array()) {
            findings_.add(path, "must be a list");
            return dependencies;
        }
        for (const auto& earlier : value.as_array()) {
            const double index = earlier.is_number() ? earlier.to_number<double>() : -1;
            if (!(index >= 0) || index >= double(step) || index != double(std::uint32_t(index)))
                findings_.add(path, "must name earlier steps only");
            else
                dependencies.push_back(std::uint32_t(index));
        }
        return dependencies;
    }

    const SpecLimits& limits_;
    Findings& findings_;
};

std::string step_text(const Step& step) {
    std::string text = fmt::format("{}x{}x{}{}{}", step.count, step.cpu, step.memory, step.gang ? "g" : "",
                                   step.long_running ? "l" : "");
    for (size_t each = 0; each < step.dependencies.size(); ++each)
        text += fmt::format("{}{}", each ? "+" : "@", step.dependencies[each]);
    return text;
}

}  // namespace

JobSpec parse_job_spec(std::string_view body, const SpecLimits& limits, Findings& findings) {
    return JobSpecReader(limits, findings).read(body);
}

std::string requested_work_text(const JobSpec& spec, Micros target) {
    std::string text = fmt::format("{};{},{},{};", target, spec.first_at, spec.interval, spec.repeats);
    for (size_t index = 0; index < spec.steps.size(); ++index)
        text += fmt::format("{}{}", index ? "," : "", step_text(spec.steps[index]));
    return text;
}

bool is_valid_job_id(std::string_view id) {
    const auto is_hex_digit = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') ||
               (character >= 'A' && character <= 'F');
    };
    return id.size() == 16 && std::all_of(id.begin(), id.end(), is_hex_digit);
}

}  // namespace calicostall
