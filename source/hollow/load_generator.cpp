#include "hollow/load_generator.hpp"

namespace calicostall {

Micros LoadGenerator::next_arrival(const LoadStep& step, Micros last) {
    if (step.starts_per_s <= 0) return std::numeric_limits<Micros>::max();
    std::exponential_distribution<double> interval(step.starts_per_s / double(step.tasks_per_job));
    return last + Micros(interval(random_) * 1e6);
}

LoadGenerator::Job LoadGenerator::make_job(const LoadStep& step, std::int64_t tasks, Micros duration) {
    Job job;
    job.host = host;
    job.team = std::int64_t(random_() % std::uint64_t(step.teams));
    job.id = fmt::format("{:016x}", random_());
    job.path = fmt::format("/team{}/{}", job.team, job.id);
    SimulatedJobSpec spec{duration, std::uint32_t(step.gang)};
    boost::json::array steps;
    std::int64_t each = step.gang > 1 ? step.gang : tasks;
    for (std::int64_t remaining = tasks; remaining > 0; remaining -= each) {
        boost::json::object one{{"count", std::min(remaining, each)},
                                {"cpu", experiment_.task_cpu},
                                {"task_mem_mb", experiment_.task_memory},
                                {"estimate_ms", duration / 1000}};
        if (step.gang > 1) one["gang"] = true;
        steps.push_back(std::move(one));
    }
    job.body = boost::json::serialize(
        boost::json::object{{"job_spec", spec.text(size_t(experiment_.spec_bytes))}, {"steps", std::move(steps)}});
    return job;
}

std::int64_t LoadGenerator::long_batch_size(const LoadStep& step, std::int64_t missing) {
    const std::int64_t tasks = std::min(missing, max_long_batch);
    return std::max(step.gang, tasks / step.gang * step.gang);
}

std::string LoadGenerator::config_text(std::uint64_t revision, std::int64_t teams) {
    boost::json::array routes;
    for (std::int64_t team = 0; team < teams; ++team)
        routes.push_back(boost::json::object{{"name", fmt::format("r-{}", team)},
                                             {"host", host},
                                             {"path_prefix", fmt::format("/team{}/", team)},
                                             {"kind", "unsafe"},
                                             {"timeout_ms", 3000 + revision % 100},
                                             {"target_ms", 250},
                                             {"priority", priority(team)},
                                             {"service", service},
                                             {"max_attempts", 4},
                                             {"extension", 2.0}});
    boost::json::array services{boost::json::object{{"name", service},
                                                    {"health_path", "/health"},
                                                    {"max_conns", 64},
                                                    {"protocol", "h1"},
                                                    {"tls", false},
                                                    {"guards", false}}};
    return boost::json::serialize(boost::json::object{{"revision", revision},
                                                      {"routes", std::move(routes)},
                                                      {"services", std::move(services)},
                                                      {"limits", boost::json::object{{"max_body_bytes", 262144}}}});
}

WorkerInfo LoadGenerator::worker_info(std::int64_t number) const {
    WorkerInfo info;
    info.worker_id = fmt::format("i-{:08x}", std::uint32_t(number) * 2654435761u);
    info.service = service;
    info.address = fmt::format("127.88.{}.{}:8080", number / 250, number % 250 + 1);  // never opened
    info.zone = fmt::format("zone-{}", number % experiment_.zones + 1);
    info.cpu = experiment_.worker_cpu;
    info.memory = experiment_.worker_memory;
    info.labels = {"a", fmt::format("r{}-{}", number % experiment_.zones + 1, number / experiment_.zones / 20)};
    return info;
}

}  // namespace calicostall
