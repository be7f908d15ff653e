#include "hollow/simulated_fleet.hpp"

namespace calicostall {

namespace {

constexpr Micros tick_interval = milliseconds(10);
constexpr Micros heartbeat_interval = milliseconds(1500);
// Workers join spread over a second, two milliseconds apart: their heartbeats and polls are spread as well.
constexpr std::int64_t join_slots = 500;
constexpr std::int64_t join_slot_ms = 2;

}  // namespace

FleetCounters& FleetCounters::operator+=(const FleetCounters& more) {
    starts += more.starts;
    done += more.done;
    other_ends += more.other_ends;
    running += more.running;
    return *this;
}

SimulatedFleet::SimulatedFleet(const Experiment& experiment, GangRegistry& gangs)
    : experiment_(experiment), generator_(experiment), gangs_(gangs) {}

void SimulatedFleet::open() {
    loop_.run_after(0, [this] { tick(); });
    std::thread([this] { loop_.run(); }).detach();
}

void SimulatedFleet::add(std::int64_t number, SimulatedWorker::StartCallback on_start) {
    loop_.run_after(milliseconds(number % join_slots * join_slot_ms),
                    [this, number, on_start = std::move(on_start)] { add_machine(number, on_start); });
}

FleetCounters SimulatedFleet::counters() const {
    return {starts_, done_, other_ends_, running_};
}

void SimulatedFleet::add_machine(std::int64_t number, const SimulatedWorker::StartCallback& on_start) {
    machines_.push_back(std::make_unique<Machine>());
    Machine* machine = machines_.back().get();
    machine->worker_info = generator_.worker_info(number);
    machine->worker = std::make_unique<SimulatedWorker>(gangs_);
    machine->worker->on_start = on_start;
    auto handler = [this, machine](const std::string& path, const ClientRequest& request,
                                   EventLoop::ResponseHandler on_response) {
        handle_request(*machine, path, request, std::move(on_response));
    };
    loop_.register_worker(machine->worker_info.address, std::move(handler));
    AgentSettings settings;
    settings.machine.node_name = fmt::format("side-{}", number + 1);
    settings.machine.zone = machine->worker_info.zone;
    settings.machine.seeds = experiment_.controls;
    settings.machine.first_port = int(experiment_.first_port);
    machine->agent = std::make_unique<Agent>(settings, loop_);
    machine->agent->open();
}

void SimulatedFleet::handle_request(Machine& machine, const std::string& path, const ClientRequest& request,
                                    EventLoop::ResponseHandler on_response) {
    const Micros now = steady_now();
    SimulatedWorker::Reply reply = machine.worker->handle(path, request.body, now);
    if (path == "/hold" && reply.code == 200) {
        const boost::json::value document = boost::json::parse(request.body);
        const auto* wait_ms = document.as_object().if_contains("wait_ms");
        const auto acknowledged_end = document.as_object().at("seen_at").to_number<std::uint64_t>();
        if (wait_ms && !machine.worker->has_unacknowledged_ends(acknowledged_end)) {
            const Micros deadline = now + milliseconds(wait_ms->to_number<std::int64_t>());
            machine.long_polls.push_back({std::move(on_response), deadline, acknowledged_end});
            return;
        }
    }
    respond(std::move(on_response), std::move(reply));
}

void SimulatedFleet::respond(EventLoop::ResponseHandler on_response, SimulatedWorker::Reply reply) {
    loop_.run_after(0, [on_response = std::move(on_response), reply = std::move(reply)] {
        if (on_response) on_response({ClientResponse::Outcome::answered, reply.code, reply.body});
    });
}

void SimulatedFleet::tick() {
    const Micros now = steady_now();
    FleetCounters sum;
    for (auto& machine : machines_) {
        machine->worker->advance(now);
        answer_long_polls(*machine, now);
        if (now >= machine->next_heartbeat_at) send_heartbeat(*machine, now);
        sum.starts += machine->worker->starts();
        sum.done += machine->worker->ends("done");
        sum.other_ends += machine->worker->ends_other_than_done();
        sum.running += machine->worker->running();
    }
    starts_ = sum.starts;
    done_ = sum.done;
    other_ends_ = sum.other_ends;
    running_ = sum.running;
    loop_.run_after(tick_interval, [this] { tick(); });
}

void SimulatedFleet::answer_long_polls(Machine& machine, Micros now) {
    for (size_t index = 0; index < machine.long_polls.size();) {
        LongPoll& poll = machine.long_polls[index];
        if (now < poll.deadline && !machine.worker->has_unacknowledged_ends(poll.acknowledged_end)) {
            ++index;
            continue;
        }
        respond(std::move(poll.on_response), machine.worker->status_reply(now));
        machine.long_polls.erase(machine.long_polls.begin() + std::ptrdiff_t(index));
    }
}

void SimulatedFleet::send_heartbeat(Machine& machine, Micros now) {
    machine.next_heartbeat_at = now + heartbeat_interval;
    boost::json::array labels;
    for (const std::string& label : machine.worker_info.labels)
        labels.emplace_back(label);
    boost::json::object body{{"service", machine.worker_info.service},
                             {"address", machine.worker_info.address},
                             {"zone", machine.worker_info.zone},
                             {"revision", "v1"},
                             {"slots", 8},
                             {"phase", "ready"},
                             {"cold_left_ms", 0},
                             {"capacity", boost::json::object{{"cpu", machine.worker_info.cpu},
                                                              {"task_mem_mb", machine.worker_info.memory},
                                                              {"gpu", machine.worker_info.gpu}}},
                             {"labels", labels},
                             {"clock_ms", machine.worker->clock_ms(now)},
                             {"call_seq", ++machine.heartbeats_sent}};
    Request request;
    request.method = "PUT";
    request.path = "/workers/" + machine.worker_info.worker_id;
    request.body = boost::json::serialize(body);
    machine.agent->handle_request(std::move(request));
}

}  // namespace calicostall
