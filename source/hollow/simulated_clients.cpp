#include "hollow/simulated_clients.hpp"

#include "shared/settings/address.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

namespace {

constexpr Micros tick_interval = milliseconds(5);
constexpr Micros request_timeout = seconds(3);
constexpr size_t max_recent_paths = 1000;
constexpr size_t job_id_length = 16;

std::vector<std::string> replicas_of(const Experiment& experiment) {
    std::vector<std::string> replicas;
    for (const std::string& control : experiment.controls)
        replicas.push_back(fmt::format("{}:{}", address_host(control), experiment.first_port));
    return replicas;
}

double ms_between(Micros begin, Micros end) {
    return double(end - begin) / 1000;
}

}  // namespace

void ClientStatistics::clear() {
    jobs = 0;
    accepted = 0;
    refused = 0;
    unanswered = 0;
    for (Samples* samples : {&accept_ms, &query_ms, &start_ms, &urgent_start_ms})
        samples->clear();
}

SimulatedClients::SimulatedClients(const Experiment& experiment)
    : experiment_(experiment),
      generator_(experiment),
      replicas_(replicas_of(experiment)),
      locator_(std::make_unique<LeaderLocator>(
          LeaderLocator::Settings{"hollow-clients", replicas_, 2, seconds(5), false}, loop_, [] {})),
      operator_(experiment, replicas_, loop_) {}

void SimulatedClients::open() {
    locator_->start();
    operator_.start();
    loop_.run_after(0, [this] { tick(); });
    std::thread([this] { loop_.run(); }).detach();
}

void SimulatedClients::set_load(const LoadStep& step, bool is_generating) {
    loop_.run_after(0, [this, step, is_generating] {
        const Micros now = steady_now();
        step_ = step;
        is_generating_ = is_generating;
        next_arrival_at_ = is_generating ? generator_.next_arrival(step, now) : 0;
        next_query_at_ = now;
        next_change_at_ = now;
    });
}

void SimulatedClients::set_config(std::int64_t teams) {
    loop_.run_after(0, [this, teams] {
        operator_.set_teams(teams);
        operator_.change_config();
    });
}

void SimulatedClients::submit_long(const LoadStep& step, std::int64_t tasks) {
    loop_.run_after(0, [this, step, tasks] { submit(step, tasks, long_task_duration); });
}

void SimulatedClients::record_start(const std::string& task, Micros now) {
    SubmittedJob job;
    {
        std::lock_guard guard(lock_);
        auto found = submitted_jobs_.find(task.substr(0, job_id_length));
        if (found == submitted_jobs_.end()) return;
        job = found->second;
    }
    statistics_.start_ms.add(ms_between(job.submitted_at, now));
    if (job.priority == 0) statistics_.urgent_start_ms.add(ms_between(job.submitted_at, now));
}

void SimulatedClients::clear_statistics() {
    statistics_.clear();
    operator_.statistics().clear();
}

void SimulatedClients::tick() {
    const Micros now = steady_now();
    while (is_generating_ && next_arrival_at_ <= now) {
        submit(step_, step_.tasks_per_job, step_.task_duration);
        next_arrival_at_ = generator_.next_arrival(step_, next_arrival_at_);
    }
    while (is_generating_ && step_.queries_per_s > 0 && next_query_at_ <= now) {
        query_job();
        next_query_at_ += Micros(1e6 / step_.queries_per_s);
    }
    if (is_generating_ && step_.changes_per_s > 0 && next_change_at_ <= now) {
        next_change_at_ += Micros(1e6 / step_.changes_per_s);
        operator_.change_config();
    }
    loop_.run_after(tick_interval, [this] { tick(); });
}

void SimulatedClients::submit(const LoadStep& step, std::int64_t tasks, Micros duration) {
    LoadGenerator::Job job = generator_.make_job(step, tasks, duration);
    const Micros now = steady_now();
    ++statistics_.jobs;
    if (duration < long_task_duration) {
        std::lock_guard guard(lock_);
        submitted_jobs_[job.id] = {now, LoadGenerator::priority(job.team)};
    }
    recent_paths_.push_back(job.path);
    if (recent_paths_.size() > max_recent_paths) recent_paths_.pop_front();
    call("POST", job.path, std::move(job.body), [this, now](int status) { on_submit_response(status, now); });
}

void SimulatedClients::on_submit_response(int status, Micros submitted_at) {
    if (status == 0) {
        ++statistics_.unanswered;
    } else if (status != 200) {
        ++statistics_.refused;
    } else {
        ++statistics_.accepted;
        statistics_.accept_ms.add(ms_between(submitted_at, steady_now()));
    }
}

void SimulatedClients::query_job() {
    if (recent_paths_.empty()) return;
    const Micros now = steady_now();
    const std::string& path = recent_paths_[generator_.random() % recent_paths_.size()];
    call("GET", path, {}, [this, now](int status) {
        if (status == 200) statistics_.query_ms.add(ms_between(now, steady_now()));
    });
}

void SimulatedClients::call(const char* method, const std::string& path, std::string body, StatusHandler on_status) {
    if (experiment_.target == LoadTarget::front) return call_front(method, path, std::move(body), std::move(on_status));
    call_leader(method, path, std::move(body), std::move(on_status));
}

void SimulatedClients::call_front(const char* method, const std::string& path, std::string body,
                                  StatusHandler on_status) {
    const std::string& front = experiment_.fronts[generator_.random() % experiment_.fronts.size()];
    auto on_response = [on_status = std::move(on_status)](const ClientResponse& response) {
        on_status(response.outcome == ClientResponse::Outcome::answered ? response.status : 0);
    };
    loop_.send({.method = method,
                .url = "http://" + front + path,
                .body = std::move(body),
                .content_type = "application/json",
                .headers = {fmt::format("Host: {}", LoadGenerator::host)},
                .timeout = request_timeout},
               std::move(on_response));
}

void SimulatedClients::call_leader(const char* method, const std::string& path, std::string body,
                                   StatusHandler on_status) {
    CallRequest request{method, LoadGenerator::host, path, std::move(body), {}, false};
    auto on_response = [on_status = std::move(on_status)](const ClientResponse& response) {
        auto frame = response.is_ok() ? decode<CallResponse>(response.body) : std::nullopt;
        on_status(frame && frame->outcome == CallOutcome::completed ? int(frame->code) : 0);
    };
    loop_.send({.url = "http://" + locator_->call_target(0) + "/inner/call",
                .body = encode(request),
                .timeout = request_timeout},
               std::move(on_response));
}

}  // namespace calicostall
