#include "hollow/in_process_run.hpp"

#include <ctime>

#include "shared/wire/call_messages.hpp"

namespace calicostall {

namespace {

constexpr Micros iteration_interval = milliseconds(2);  // of the simulated clock, as the daemons' shortest
constexpr Micros poll_interval = seconds(1);
constexpr std::uint64_t max_first_poll_delay = 400000;  // microseconds; spreads the polls of the agents
constexpr Micros join_time = milliseconds(500);         // for the first polls of new machines
constexpr Micros fill_timeout = seconds(60);
constexpr int iterations_per_long_batch = 5;
constexpr size_t job_id_length = 16;

}  // namespace

double thread_cpu_s() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return double(time.tv_sec) + double(time.tv_nsec) / 1e9;
}

void InstantLedger::propose(const std::string& key, std::optional<std::string> immutable, const Mutation& mutation,
                            std::function<void(bool)> on_committed) {
    ++proposals;
    bytes += key.size() + (immutable ? immutable->size() : 0) + mutation.head.size();
    for (const Chunk& chunk : mutation.chunks)
        bytes += encode(chunk).size();
    if (on_committed) callbacks.push_back(std::move(on_committed));
}

void InstantLedger::confirm(const std::string&, std::function<void(bool)> on_confirmed) {
    if (on_confirmed) callbacks.push_back(std::move(on_confirmed));
}

void InstantLedger::commit_all() {
    while (!callbacks.empty()) {
        auto callback = std::move(callbacks.front());
        callbacks.pop_front();
        callback(true);
    }
}

InProcessRun::InProcessRun(const Experiment& experiment)
    : experiment_(experiment), generator_(experiment), scheduler_(SchedulerSettings{}, ledger_) {
    scheduler_.begin_leadership(Term{1}, {}, now_);
    CallRequest request{"PUT", {}, "/config", LoadGenerator::config_text(1, 64), "0", false};
    scheduler_.put_config(request, [](CallOutcome, const Response&) {});
    ledger_.commit_all();
}

InProcessRun::Result InProcessRun::run_step(const LoadStep& step) {
    while (std::int64_t(machines_.size()) < step.workers)
        add_machine();
    run_for(join_time, nullptr);
    fill(step);
    next_arrival_at_ = generator_.next_arrival(step, now_);
    run_for(step.warm_up, &step);
    const Result before = totals();
    start_ms.clear();
    urgent_start_ms.clear();
    tick_ms.clear();
    cpu_by_part_s_.clear();
    run_for(step.duration, &step);
    return difference(before, totals());
}

void InProcessRun::run_for(Micros time, const LoadStep* step) {
    for (const Micros end = now_ + time; now_ < end;)
        run_iteration(step);
}

void InProcessRun::fill(const LoadStep& step) {
    while (long_tasks_ < step.running) {
        const std::int64_t tasks = LoadGenerator::long_batch_size(step, step.running - long_tasks_);
        long_tasks_ += tasks;
        submit(step, tasks, long_task_duration);
        for (int iteration = 0; iteration < iterations_per_long_batch; ++iteration)
            run_iteration(nullptr);
    }
    for (const Micros end = now_ + fill_timeout; now_ < end && std::int64_t(running()) < step.running;)
        run_iteration(nullptr);
}

InProcessRun::Result InProcessRun::difference(const Result& before, Result after) const {
    after.simulated_s -= before.simulated_s;
    for (auto field :
         {&Result::starts, &Result::done, &Result::other_ends, &Result::jobs, &Result::jobs_refused, &Result::proposals,
          &Result::proposal_bytes, &Result::order_bytes, &Result::report_bytes, &Result::agent_polls})
        after.*field -= before.*field;
    after.cpu_by_part_s = cpu_by_part_s_;
    for (const auto& [part, cpu_s] : cpu_by_part_s_)
        after.cpu_s += cpu_s;
    return after;
}

size_t InProcessRun::running() const {
    size_t all = 0;
    for (const auto& machine : machines_)
        all += machine.worker->running();
    return all;
}

InProcessRun::Result InProcessRun::totals() const {
    Result all = totals_;
    for (const auto& machine : machines_) {
        all.starts += machine.worker->starts();
        all.done += machine.worker->ends("done");
        all.other_ends += machine.worker->ends_other_than_done();
    }
    all.running = running();
    all.simulated_s = double(now_) / 1e6;
    all.proposals = ledger_.proposals;
    all.proposal_bytes = ledger_.bytes;
    return all;
}

void InProcessRun::add_machine() {
    Machine machine;
    machine.worker_info = generator_.worker_info(std::int64_t(machines_.size()));
    machine.node = fmt::format("side-{}", machines_.size() + 1);
    machine.worker = std::make_unique<SimulatedWorker>(gangs_);
    machine.worker->on_start = [this](const std::string& task, Micros now) { record_start(task, now); };
    machine.next_poll_at = now_ + Micros(generator_.random() % max_first_poll_delay);
    machine_index_by_node_[machine.node] = machines_.size();
    machines_.push_back(std::move(machine));
}

void InProcessRun::record_start(const std::string& task, Micros now) {
    auto found = submitted_jobs_.find(task.substr(0, job_id_length));
    if (found == submitted_jobs_.end()) return;
    const SubmittedJob& job = found->second;
    start_ms.add(double(now - job.submitted_at) / 1000);
    if (job.priority == 0) urgent_start_ms.add(double(now - job.submitted_at) / 1000);
}

void InProcessRun::submit(const LoadStep& step, std::int64_t tasks, Micros duration) {
    LoadGenerator::Job job = generator_.make_job(step, tasks, duration);
    if (duration < long_task_duration) submitted_jobs_[job.id] = {now_, LoadGenerator::priority(job.team)};
    ++totals_.jobs;
    CallRequest request{"POST", job.host, job.path, std::move(job.body), {}, false};
    auto on_response = [this](CallOutcome outcome, const Response& response) {
        totals_.jobs_refused += outcome != CallOutcome::completed || response.code != 200;
    };
    charge_cpu("calls", [&] {
        scheduler_.handle_call(request, now_, wall_clock(), on_response);
        ledger_.commit_all();
    });
}

void InProcessRun::run_iteration(const LoadStep* step) {
    now_ += iteration_interval;
    if (experiment_.cpu_share > 0) now_ += Micros(uncharged_cpu_s_ / experiment_.cpu_share * 1e6);
    uncharged_cpu_s_ = 0;
    while (step && next_arrival_at_ <= now_) {
        submit(*step, step->tasks_per_job, step->task_duration);
        next_arrival_at_ = generator_.next_arrival(*step, next_arrival_at_);
    }
    for (Machine& machine : machines_) {
        machine.worker->advance(now_);
        if (now_ >= machine.next_poll_at || machine.is_status_requested ||
            machine.worker->has_unacknowledged_ends(machine.reported_end))
            poll_scheduler(machine);
    }
    const double tick_s = charge_cpu("tick", [&] {
        scheduler_.tick(now_, wall_clock(), now_);
        ledger_.commit_all();
    });
    tick_ms.add(tick_s * 1000);
    for (Machine* machine : machines_to_notify())
        receive_orders(*machine);
}

std::vector<InProcessRun::Machine*> InProcessRun::machines_to_notify() {
    std::vector<Machine*> machines;
    charge_cpu("news", [&] {
        for (const std::string& node : scheduler_.take_agents_to_notify()) {
            Machine& machine = machines_[machine_index_by_node_.at(node)];
            if (scheduler_.has_update_for(node, machine.term, machine.accepted_order, machine.acknowledged_end))
                machines.push_back(&machine);
        }
    });
    return machines;
}

void InProcessRun::poll_scheduler(Machine& machine) {
    AgentPollRequest request;
    request.node = machine.node;
    request.agent_incarnation = 1;
    request.sequence = ++machine.poll_number;
    request.term = machine.term;
    request.last_received_order = machine.accepted_order;
    request.acknowledged_end = machine.acknowledged_end;
    request.worker_info = machine.worker_info;
    request.order_results.swap(machine.results);
    if (machine.term.value != 0) {
        request.status_report = machine.worker->status_report(now_);
        request.status_report->worker_id = machine.worker_info.worker_id;
        request.status_report->fence = machine.term;
        request.status_report->answered_stops.swap(machine.stops);
        if (!request.status_report->finished.empty())
            machine.reported_end = request.status_report->finished.back().sequence;
    }
    std::string encoded = encode(request);
    totals_.report_bytes += encoded.size();
    ++totals_.agent_polls;
    charge_cpu("reports", [&] {
        auto read = decode<AgentPollRequest>(encoded);
        scheduler_.on_agent_poll(*read, now_, wall_clock());
        ledger_.commit_all();
    });
    machine.is_status_requested = false;
    machine.next_poll_at = now_ + poll_interval;
    receive_orders(machine);
}

void InProcessRun::receive_orders(Machine& machine) {
    std::string encoded;
    charge_cpu("orders", [&] { encoded = encode(scheduler_.agent_response(machine.node, now_, now_)); });
    auto response = decode<AgentPollResponse>(encoded);
    totals_.order_bytes += encoded.size();
    if (response->worker_id != machine.worker_info.worker_id) return;
    if (response->term > machine.term) machine.is_status_requested = true;
    machine.term = response->term;
    machine.is_status_requested = machine.is_status_requested || response->status_requested;
    machine.acknowledged_end = std::max(machine.acknowledged_end, response->acknowledged_end);
    const std::int64_t lease_expires_ms = machine.worker->clock_ms(now_ + response->lease_duration);
    if (response->lease_duration > 0) renew_lease(machine, lease_expires_ms);
    for (const Order& order : response->orders) {
        if (order.number <= machine.accepted_order) continue;
        machine.accepted_order = order.number;
        execute(order, lease_expires_ms, machine);
    }
}

void InProcessRun::renew_lease(Machine& machine, std::int64_t lease_expires_ms) {
    const std::string body = fmt::format("{{\"fence\":{},\"seen_at\":{},\"until_ms\":{}}}", machine.term.value,
                                         machine.acknowledged_end, lease_expires_ms);
    machine.worker->handle("/hold", body, now_);
}

void InProcessRun::execute(const Order& order, std::int64_t lease_expires_ms, Machine& machine) {
    const bool is_start = order.kind == OrderKind::start;
    const boost::json::object body{{"task", order.task},
                                   {"run_id", order.run},
                                   {"fence", machine.term.value},
                                   {"until_ms", lease_expires_ms},
                                   {"job_spec", order.spec}};
    const SimulatedWorker::Reply reply =
        machine.worker->handle(is_start ? "/run-start" : "/run-stop", boost::json::serialize(body), now_);
    if (is_start) {
        const OrderOutcome outcome = reply.code == 200 ? OrderOutcome::started : OrderOutcome::rejected;
        machine.results.push_back({order.number, outcome, order.task, order.run, {}, 0});
        return;
    }
    machine.stops.push_back(fmt::format("{} {}", order.task, order.run));
    machine.is_status_requested = true;
}

}  // namespace calicostall
