#include "hollow/result_lines.hpp"

#include <unistd.h>

#include "hollow/linear_fit.hpp"
#include "shared/settings/address.hpp"

namespace calicostall {

namespace {

using boost::json::array;
using boost::json::object;

object step_json(const LoadStep& step) {
    return {{"workers", step.workers},
            {"starts_per_s", step.starts_per_s},
            {"running", step.running},
            {"gang", step.gang},
            {"tasks_per_job", step.tasks_per_job},
            {"teams", step.teams},
            {"changes_per_s", step.changes_per_s},
            {"looks_per_s", step.queries_per_s},
            {"task_ms", step.task_duration / 1000},
            {"warm_s", double(step.warm_up) / 1e6},
            {"length_s", double(step.duration) / 1e6}};
}

object heading(const Experiment& experiment, const std::string& commit, const char* target, const LoadStep& step) {
    return {{"name", experiment.name},
            {"commit", commit},
            {"through", target},
            {"seed", experiment.seed},
            {"step", step_json(step)}};
}

object reached_json(const StepMeasurement& step, double passed_s, SimulatedClients& clients) {
    const FleetCounters& before = step.before.fleet;
    const FleetCounters& after = step.after.fleet;
    return {{"starts_per_s", double(after.starts - before.starts) / passed_s},
            {"done_per_s", double(after.done - before.done) / passed_s},
            {"other_ends", after.other_ends - before.other_ends},
            {"running", after.running},
            {"filled", step.is_filled},
            {"jobs", clients.statistics().jobs.load()},
            {"accepted", clients.statistics().accepted.load()},
            {"refused", clients.statistics().refused.load()},
            {"unanswered", clients.statistics().unanswered.load()},
            {"changes", clients.operator_statistics().changes.load()},
            {"changes_again", clients.operator_statistics().changes_refused.load()},
            {"changes_not_everywhere", clients.operator_statistics().pending_revisions.load()},
            {"seconds", passed_s}};
}

object counter_rates(const LoggedCounters& before, const LoggedCounters& after) {
    object rates;
    const double logged_s = after.at_s - before.at_s;
    if (logged_s <= 0) return rates;
    for (const auto& [name, count] : after.values) {
        auto earlier = before.values.find(name);
        rates[name] = (count - (earlier == before.values.end() ? 0 : earlier->second)) / logged_s;
    }
    return rates;
}

object daemon_json(const DaemonProbe& before, const DaemonProbe& after, double passed_s) {
    return {{"name", after.name},
            {"found", after.usage.is_found},
            {"cpu_share", (after.usage.cpu_s - before.usage.cpu_s) / passed_s},
            {"memory_mb", after.usage.memory_mb},
            {"peak_mb", after.usage.peak_mb},
            {"descriptors", after.usage.descriptors},
            {"disk_bytes_per_s", double(after.usage.disk_bytes - before.usage.disk_bytes) / passed_s},
            {"counters_per_s", counter_rates(before.counters, after.counters)}};
}

double mean_of(const array& daemons, const char* name) {
    double sum = 0;
    for (const auto& daemon : daemons)
        sum += number_at(daemon, name).value_or(0);
    return daemons.empty() ? 0 : sum / double(daemons.size());
}

// Adds the daemons, and the means of those that play the same part.
void add_daemons(object& line, const StepMeasurement& step, double passed_s, const std::string& leader_host) {
    array followers;
    array fronts;
    for (size_t index = 0; index < step.after.daemons.size(); ++index) {
        const DaemonProbe& daemon = step.after.daemons[index];
        object json = daemon_json(step.before.daemons[index], daemon, passed_s);
        if (daemon.name.starts_with("front"))
            fronts.push_back(std::move(json));
        else if (address_host(daemon.address) == leader_host)
            line["owner"] = std::move(json);
        else
            followers.push_back(std::move(json));
    }
    line["others_mean"] = object{{"cpu_share", mean_of(followers, "cpu_share")},
                                 {"memory_mb", mean_of(followers, "memory_mb")},
                                 {"descriptors", mean_of(followers, "descriptors")},
                                 {"disk_bytes_per_s", mean_of(followers, "disk_bytes_per_s")}};
    line["front_mean"] = object{{"cpu_share", mean_of(fronts, "cpu_share")},
                                {"memory_mb", mean_of(fronts, "memory_mb")},
                                {"descriptors", mean_of(fronts, "descriptors")}};
    line["others"] = std::move(followers);
    line["fronts"] = std::move(fronts);
}

void add_traffic(object& line, const StepMeasurement& step, double passed_s) {
    object kinds;
    double sent_per_s = 0;
    double received_per_s = 0;
    for (const auto& [kind, counters] : step.after.traffic) {
        TrafficCounters earlier;
        if (auto found = step.before.traffic.find(kind); found != step.before.traffic.end()) earlier = found->second;
        const double sent = double(counters.sent_bytes - earlier.sent_bytes) / passed_s;
        const double received = double(counters.received_bytes - earlier.received_bytes) / passed_s;
        kinds[kind] = object{{"asks_per_s", double(counters.requests - earlier.requests) / passed_s},
                             {"unanswered", counters.unanswered - earlier.unanswered},
                             {"out_bytes_per_s", sent},
                             {"in_bytes_per_s", received}};
        sent_per_s += sent;
        received_per_s += received;
    }
    line["kinds"] = std::move(kinds);
    line["all_kinds"] = object{{"out_bytes_per_s", sent_per_s}, {"in_bytes_per_s", received_per_s}};
}

void add_times(object& line, SimulatedClients& clients) {
    line["accept_ms"] = clients.statistics().accept_ms.json();
    line["look_ms"] = clients.statistics().query_ms.json();
    line["start_ms"] = clients.statistics().start_ms.json();
    line["urgent_start_ms"] = clients.statistics().urgent_start_ms.json();
    line["config_ack_ms"] = clients.operator_statistics().config_ack_ms.json();
    line["config_everywhere_ms"] = clients.operator_statistics().config_everywhere_ms.json();
}

}  // namespace

object in_process_line(const Experiment& experiment, const std::string& commit, const LoadStep& step,
                       const InProcessRun::Result& result, const InProcessRun& run) {
    const double starts = std::max(1.0, double(result.starts));
    const double passed_s = result.simulated_s;
    object parts;
    for (const auto& [part, cpu_s] : result.cpu_by_part_s)
        parts[part] = cpu_s / passed_s;
    object line = heading(experiment, commit, "inside", step);
    line["reached"] = object{{"starts_per_s", double(result.starts) / passed_s},
                             {"done_per_s", double(result.done) / passed_s},
                             {"other_ends", result.other_ends},
                             {"running", result.running},
                             {"jobs", result.jobs},
                             {"jobs_refused", result.jobs_refused},
                             {"clock_s", passed_s}};
    line["cpu_share"] = result.cpu_s / passed_s;
    line["cpu_us_per_start"] = result.cpu_s / starts * 1e6;
    line["cpu_by_part"] = std::move(parts);
    line["proposals_per_start"] = double(result.proposals) / starts;
    line["proposal_bytes_per_start"] = double(result.proposal_bytes) / starts;
    line["proposal_bytes_per_s"] = double(result.proposal_bytes) / passed_s;
    line["report_bytes_per_s"] = double(result.report_bytes) / passed_s;
    line["order_bytes_per_s"] = double(result.order_bytes) / passed_s;
    line["side_asks_per_s"] = double(result.agent_polls) / passed_s;
    line["tick_ms"] = run.tick_ms.json();
    line["start_ms"] = run.start_ms.json();
    line["urgent_start_ms"] = run.urgent_start_ms.json();
    line["memory_mb"] = read_process_usage(getpid()).memory_mb;
    return line;
}

object daemons_line(const Experiment& experiment, const std::string& commit, const LoadStep& step,
                    const StepMeasurement& measurement, SimulatedClients& clients) {
    const double passed_s = double(measurement.after.at - measurement.before.at) / 1e6;
    const std::string leader_host = address_host(clients.leader());
    object line = heading(experiment, commit, experiment.target == LoadTarget::front ? "front" : "control", step);
    line["reached"] = reached_json(measurement, passed_s, clients);
    add_daemons(line, measurement, passed_s, leader_host);
    add_traffic(line, measurement, passed_s);
    add_times(line, clients);
    line["own_cpu_share"] = (measurement.after.simulator_cpu_s - measurement.before.simulator_cpu_s) / passed_s;
    return line;
}

}  // namespace calicostall
