#include "hollow/experiment.hpp"

#include "shared/settings/field_reader.hpp"

namespace calicostall {

namespace {

using boost::json::object;

constexpr size_t max_controls = 9;
constexpr size_t max_fronts = 64;
constexpr size_t max_steps = 40;
constexpr Micros max_total_time = seconds(900);

// Reads the fields of an experiment.
class ExperimentReader {
public:
    explicit ExperimentReader(Findings& findings) : findings_(findings) {}

    Experiment read(const object& document) {
        Experiment experiment;
        reject_unknown_fields(
            document, "",
            {"name", "seed", "through", "controls", "fronts", "first_port", "zones", "threads", "hollow_fronts",
             "cpu_share", "worker_cpu", "worker_memory_mb", "task_cpu", "task_mem_mb", "spec_bytes", "steps"});
        FieldReader reader(document, "", findings_);
        experiment.name = reader.text("name", true);
        experiment.seed = std::uint64_t(number(reader, "seed", 1, 0, 1e15));
        read_target(reader, experiment);
        read_sizes(reader, experiment);
        read_steps(reader, experiment);
        return experiment;
    }

private:
    void reject_unknown_fields(const object& fields, const std::string& prefix,
                               std::initializer_list<std::string_view> known) {
        for (const auto& field : fields)
            if (std::find(known.begin(), known.end(), std::string_view(field.key())) == known.end())
                findings_.add(prefix + std::string(field.key()), "is unknown");
    }

    double number(FieldReader& reader, const char* name, double default_value, double min_value, double max_value) {
        const double value = reader.number(name, default_value);
        if (value < min_value || value > max_value)
            findings_.add(reader.path(name), fmt::format("must lie between {} and {}", min_value, max_value));
        return std::clamp(value, min_value, max_value);
    }

    std::int64_t integer(FieldReader& reader, const char* name, double default_value, double min_value,
                         double max_value) {
        return std::int64_t(number(reader, name, default_value, min_value, max_value));
    }

    void read_target(FieldReader& reader, Experiment& experiment) {
        const std::string target = reader.text("through", true);
        if (target == "front")
            experiment.target = LoadTarget::front;
        else if (target == "control")
            experiment.target = LoadTarget::control;
        else if (target == "inside")
            experiment.target = LoadTarget::in_process;
        else if (!target.empty())
            findings_.add("through", "must be front, control or inside");
        const bool needs_controls = experiment.target != LoadTarget::in_process && !target.empty();
        experiment.controls = addresses(reader, "controls", needs_controls, max_controls);
        experiment.fronts = addresses(reader, "fronts", experiment.target == LoadTarget::front, max_fronts);
    }

    std::vector<std::string> addresses(FieldReader& reader, const char* name, bool is_required, size_t max_count) {
        std::vector<std::string> all;
        const auto* list = reader.list(name, is_required);
        if (!list) return all;
        for (size_t index = 0; index < list->size(); ++index) {
            const auto& address = (*list)[index];
            if (address.is_string() && is_loopback_address(std::string(address.as_string())))
                all.emplace_back(address.as_string());
            else
                findings_.add(fmt::format("{}.{}", name, index), "must be an address of 127.0.0.0/8 with a port");
        }
        if (is_required && list->empty()) findings_.add(name, "must hold at least one address");
        if (list->size() > max_count) findings_.add(name, fmt::format("must hold at most {} addresses", max_count));
        return all;
    }

    void read_sizes(FieldReader& reader, Experiment& experiment) {
        experiment.first_port = integer(reader, "first_port", 7720, 1, 65535);
        experiment.zones = integer(reader, "zones", 8, 1, 64);
        experiment.threads = integer(reader, "threads", 2, 1, 8);
        experiment.simulated_fronts = integer(reader, "hollow_fronts", 0, 0, 64);
        experiment.cpu_share = number(reader, "cpu_share", 0, 0, 64);
        experiment.worker_cpu = integer(reader, "worker_cpu", 64000, 1, 1e9);
        experiment.worker_memory = integer(reader, "worker_memory_mb", 262144, 1, 1e9);
        experiment.task_cpu = integer(reader, "task_cpu", 100, 0, 1e9);
        experiment.task_memory = integer(reader, "task_mem_mb", 64, 0, 1e9);
        experiment.spec_bytes = integer(reader, "spec_bytes", 200, 0, 4000);
    }

    void read_steps(FieldReader& reader, Experiment& experiment) {
        const auto* steps = reader.list("steps", true);
        if (!steps) return;
        if (steps->empty() || steps->size() > max_steps)
            findings_.add("steps", fmt::format("must hold 1 to {} steps", max_steps));
        Micros total_time = 0;
        for (size_t index = 0; index < steps->size(); ++index) {
            const std::string location = fmt::format("steps[{}]", index);
            if (!(*steps)[index].is_object()) {
                findings_.add(location, "must be a table");
                continue;
            }
            const LoadStep step = read_step((*steps)[index].as_object(), location);
            if (step.gang > 1 && step.tasks_per_job % step.gang != 0)
                findings_.add(location + ".tasks_per_job", "must be a multiple of gang");
            if (!experiment.steps.empty() && step.workers < experiment.steps.back().workers)
                findings_.add(location + ".workers", "must not be below the step before");
            total_time += step.warm_up + step.duration;
            experiment.steps.push_back(step);
        }
        if (total_time > max_total_time) findings_.add("steps", "must take at most 900 s together");
    }

    LoadStep read_step(const object& fields, const std::string& location) {
        reject_unknown_fields(fields, location + ".",
                              {"workers", "starts_per_s", "running", "gang", "tasks_per_job", "teams", "changes_per_s",
                               "looks_per_s", "task_ms", "warm_s", "length_s"});
        FieldReader reader(fields, location, findings_);
        LoadStep step;
        step.workers = integer(reader, "workers", 10, 1, 2000);
        step.starts_per_s = number(reader, "starts_per_s", 10, 0, 2000);
        step.running = integer(reader, "running", 0, 0, 20000);
        step.gang = integer(reader, "gang", 1, 1, 256);
        step.tasks_per_job = integer(reader, "tasks_per_job", 10, 1, 1000);
        step.teams = integer(reader, "teams", 1, 1, 64);
        step.changes_per_s = number(reader, "changes_per_s", 0, 0, 20);
        step.queries_per_s = number(reader, "looks_per_s", 0, 0, 2000);
        step.task_duration = milliseconds(integer(reader, "task_ms", 500, 0, 600000));
        step.warm_up = Micros(number(reader, "warm_s", 3, 0, 60) * 1e6);
        step.duration = Micros(number(reader, "length_s", 10, 1, 60) * 1e6);
        return step;
    }

    Findings& findings_;
};

// Whether it is "A.B.C.D", each part 0 to 255, with A = 127.
bool is_loopback_host(const std::string& host) {
    constexpr std::int64_t missing = -1;
    std::vector<std::int64_t> parts(1, missing);
    for (char character : host) {
        if (character == '.') {
            parts.push_back(missing);
            continue;
        }
        if (character < '0' || character > '9') return false;
        std::int64_t& part = parts.back();
        part = std::max<std::int64_t>(part, 0) * 10 + (character - '0');
        if (part > 255) return false;
    }
    return parts.size() == 4 && parts[0] == 127 && std::find(parts.begin(), parts.end(), missing) == parts.end();
}

bool is_port(const std::string& text) {
    constexpr size_t max_digits = 5;
    if (text.empty() || text.size() > max_digits) return false;
    if (text.find_first_not_of("0123456789") != std::string::npos) return false;
    const int port = std::stoi(text);
    return port > 0 && port < 65536;
}

}  // namespace

bool is_loopback_address(const std::string& address) {
    const size_t colon = address.rfind(':');
    if (colon == std::string::npos) return false;
    return is_loopback_host(address.substr(0, colon)) && is_port(address.substr(colon + 1));
}

Experiment parse_experiment(std::string_view text, Findings& findings) {
    boost::system::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (!error && document.is_object()) return ExperimentReader(findings).read(document.as_object());
    findings.add("experiment", error ? "cannot be read as JSON: " + error.message() : "must be a table");
    return {};
}

}  // namespace calicostall
