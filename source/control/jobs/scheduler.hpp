// All jobs and workers as the leader sees them. Pure: it proposes changes to a ledger and is told the time.
// What it does is in the modules: calls (clients and operators), runs (workers, orders, reports, leases), planning
// (what starts where), admission (which new jobs are taken), state (what all of them share).
#pragma once
#include "control/jobs/admission/admission.hpp"
#include "control/jobs/calls/config_calls.hpp"
#include "control/jobs/calls/job_calls.hpp"
#include "control/jobs/gauges.hpp"
#include "control/jobs/occurrence_schedule.hpp"
#include "control/jobs/planning/planning.hpp"
#include "control/jobs/runs/run_manager.hpp"
#include "control/store/register.hpp"
#include "shared/diagnostics/log.hpp"

namespace calicostall {

// Owns the modules and when they are called. A template on the ledger, which tests replace; `now` is the monotonic
// clock, `wall_clock` the time of day, both in microseconds.
template <Ledger L>
class Scheduler {
public:
    Scheduler(SchedulerSettings settings, L& ledger)
        : settings_(settings),
          ledger_(ledger),
          state_(settings),
          run_manager_(state_),
          planning_(state_),
          admission_(settings),
          config_calls_(state_, ledger),
          job_calls_(state_, run_manager_, ledger, [this](JobRecord& record) { persist_job(record); }),
          occurrences_(state_) {}
    Scheduler(const Scheduler&) = delete;

    // --- leadership ---

    // A new leader begins with what the record says; nothing starts before the workers have reported.
    // @param registers  the record, by key
    void begin_leadership(Term term, const std::map<std::string, Register>& registers, Micros now);
    // Forgets all that belongs to the leadership.
    void end_leadership();
    // From now on `listener` hears of what is accepted, starts and ends; the time of an event is its own matter.
    void set_run_listener(std::function<void(RunEvent)> listener) { state_.notify = std::move(listener); }

    // --- reads ---

    const Config& config() const { return state_.config; }
    const SchedulerState& state() const { return state_; }
    const Planning& planning() const { return planning_; }
    const std::map<std::string, WorkerRecord>& workers() const { return state_.workers; }
    size_t job_count() const { return state_.jobs.size(); }
    // nullptr for an unknown job.
    const Job* find_job(const std::string& id) const;
    std::string gauges() const { return scheduler_gauges(state_); }
    bool has_placed_runs() const { return state_.placed_run_count > 0; }

    // --- what a preview reads; const, and no way to change anything ---

    const SchedulerSettings& settings() const { return settings_; }
    const FleetReliability& fleet_reliability() const { return state_.fleet_reliability; }
    template <class Visit>
    void each_demand(Visit visit) const {
        planning_.for_each_demand(std::move(visit));
    }
    // Calls visit(job, expected, failed) for each open job: expected(step) as measured, failed by task: the nodes where
    // it failed.
    template <class Visit>
    void each_open_job(Visit visit) const;

    // --- calls of clients and operators ---

    // A call on a job or a queue; the callback gets the response once it is surely true.
    void handle_call(const CallRequest& request, Micros now, Micros wall_clock, CallCallback callback);
    void put_config(const CallRequest& request, CallCallback callback) {
        config_calls_.put(request, wall_clock_, std::move(callback));
    }
    void get_config(CallCallback callback) { config_calls_.get(std::move(callback)); }

    // --- agents ---

    void on_agent_poll(const AgentPollRequest& request, Micros now, Micros wall_clock);
    // @param confirmed_at  when a majority surely still followed this leader
    AgentPollResponse agent_response(const std::string& node, Micros confirmed_at, Micros now) {
        return run_manager_.agent_response(node, confirmed_at, now);
    }
    // The nodes of the agents for which something new has come up since the last call; whether it is new to them,
    // `has_update_for` tells.
    std::set<std::string> take_agents_to_notify() { return std::exchange(state_.agents_to_notify, {}); }
    // Whether a waiting poll should be answered now, by what its agent was told last: the term, the last order that it
    // has received, and the acknowledged end.
    bool has_update_for(const std::string& node, Term term, std::uint64_t last_order_taken,
                        std::uint64_t acknowledged_end) const;

    // --- time ---

    // Lease expiry, due occurrences and placements; to be called at least every few milliseconds while anything moves.
    // @param wall_clock_agreed  false: nothing is begun by the wall clock yet
    void tick(Micros now, Micros wall_clock, Micros confirmed_at, bool wall_clock_agreed = true);
    // When `tick` has something to do at the latest, by the monotonic clock.
    Micros next_tick_at(Micros now, Micros wall_clock);

private:
    static constexpr Micros max_tick_interval = milliseconds(50);
    static constexpr Micros maintenance_interval = milliseconds(250);
    // A leader whose majority was confirmed longer ago knows nothing of its own lag.
    static constexpr Micros max_confirmation_age = seconds(1);

    // --- new jobs ---

    void accept(const Queue& queue, const std::string& id, const std::string& body, Micros now, Micros wall_clock,
                CallCallback callback);
    void acknowledge_known(const Job& job, const Queue& queue, CallCallback callback);
    static JobDefinition make_definition(const Queue& queue, const std::string& id, JobSpec spec, Micros wall_clock);
    AdmissionRequest admission_request(const Queue& queue, const JobDefinition& definition);
    void propose(JobRecord& record, Micros now, Micros wall_clock, CallCallback callback);
    void reject(const std::string& id, AdmissionDecision decision, Micros retry_after, CallCallback callback);
    void on_job_committed(const std::string& id, Micros wall_clock);
    void notify_accepted(const JobRecord& record);

    // --- the record ---

    void restore_jobs(const std::map<std::string, Register>& registers, Micros now);
    void open_job(JobRecord& record, Micros wall_clock);
    void publish_config(const std::map<std::string, Register>& registers);
    void persist_job(JobRecord& record);
    void persist_dirty_jobs();

    // --- time ---

    void run_maintenance(Micros now, Micros wall_clock);
    RunRecord& start_run(const TaskStart& start, Micros now, Micros wall_clock);
    Micros plan(Micros now, Micros wall_clock, Micros confirmed_at);

    SchedulerSettings settings_;
    L& ledger_;
    SchedulerState state_;
    RunManager run_manager_;
    Planning planning_;
    Admission admission_;
    ConfigCalls<L> config_calls_;
    JobCalls<L> job_calls_;
    OccurrenceSchedule occurrences_;
    bool wall_clock_agreed_ = false;
    Micros wall_clock_ = 0, confirmed_at_ = 0;  // of the last tick
    Micros promised_tick_at_ = 0;               // when the next tick was asked for; 0: it has come
    Micros next_plan_at_ = 0, next_maintenance_at_ = 0;
    std::uint32_t current_run_number_ = 0;  // of the gang or task that the plan starts
};

// --- leadership ---

template <Ledger L>
void Scheduler<L>::begin_leadership(Term term, const std::map<std::string, Register>& registers, Micros now) {
    end_leadership();
    state_.term = term;
    state_.now = now;
    if (state_.notify) state_.notify({RunEvent::Kind::leadership_began, 0, {}, {}, {}, std::to_string(term.value)});
    admission_.begin_leadership(now);
    restore_jobs(registers, now);
    state_.needs_plan = true;
    publish_config(registers);
}

template <Ledger L>
void Scheduler<L>::restore_jobs(const std::map<std::string, Register>& registers, Micros now) {
    std::vector<std::string> restored;
    for (const auto& [key, value] : registers) {
        if (key == "config" && !value.head.empty()) config_calls_.begin_leadership(value);
        if (!key.starts_with("job/") || value.immutable.empty()) continue;
        auto job = Job::from_register(value);
        if (!job) {
            counters().add("jobs_unreadable");
            continue;
        }
        JobRecord& record = state_.jobs[job->definition.id];
        record.job = std::move(*job);
        record.is_committed = true;
        restored.push_back(record.job.definition.id);
    }
    // Only now is the configuration known, by which they are counted.
    for (const std::string& id : restored) {
        JobRecord& record = state_.jobs.at(id);
        run_manager_.restore_runs(record, now);
        open_job(record, wall_clock_);
        if (record.job.has_ended()) state_.schedule_expiry(id);
    }
}

// What fronts are told may be older than the configuration in force.
template <Ledger L>
void Scheduler<L>::publish_config(const std::map<std::string, Register>& registers) {
    const auto published = registers.find("published");
    const bool is_published = published != registers.end() && published->second.head == state_.config.text;
    if (state_.config.revision == 0 || is_published) return;
    // A newer configuration, taken in the meantime, is published by its own commit.
    ledger_.confirm("config", [this, text = state_.config.text](bool is_confirmed) {
        if (is_confirmed && text == state_.config.text) config_calls_.publish(text);
    });
}

template <Ledger L>
void Scheduler<L>::end_leadership() {
    config_calls_.end_leadership();
    job_calls_.end_leadership();
    state_.clear();
    run_manager_.clear();
    planning_.clear();
    occurrences_.clear();
    promised_tick_at_ = 0;
}

// --- reads ---

template <Ledger L>
const Job* Scheduler<L>::find_job(const std::string& id) const {
    const auto found = state_.jobs.find(id);
    return found == state_.jobs.end() ? nullptr : &found->second.job;
}

template <Ledger L>
template <class Visit>
void Scheduler<L>::each_open_job(Visit visit) const {
    for (const auto& [id, record] : state_.jobs) {
        if (!record.is_committed || record.job.has_ended()) continue;
        const auto expected = [this, &record = record](std::uint32_t step) {
            return state_.durations.expected(record, step);
        };
        visit(std::as_const(record.job), expected, std::as_const(record.failed_nodes));
    }
}

// --- calls of clients ---

template <Ledger L>
void Scheduler<L>::handle_call(const CallRequest& request, Micros now, Micros wall_clock, CallCallback callback) {
    state_.now = now;
    const Queue* queue = state_.config.find(request.host, request.path);
    if (!queue) return respond_when_confirmed(ledger_, "config", Response::plain(404), std::move(callback));
    std::string id = request.path.substr(queue->path_prefix.size());
    if (size_t query_start = id.find('?'); query_start != std::string::npos) id.resize(query_start);
    if (id.empty()) {
        if (request.method == "GET") return job_calls_.count_pending(*queue, std::move(callback));
        return respond_when_confirmed(ledger_, "config", Response::plain(405), std::move(callback));
    }
    // Of what is no id here a newer configuration may make one, by a longer prefix.
    if (!is_valid_job_id(id))
        return respond_when_confirmed(ledger_, "config", error_response(400, "id: must be 16 hex digits"),
                                      std::move(callback));
    if (request.method == "POST") return accept(*queue, id, request.body, now, wall_clock, std::move(callback));
    if (request.method == "GET") return job_calls_.show(*queue, id, std::move(callback));
    if (request.method == "DELETE") return job_calls_.cancel(*queue, id, wall_clock, std::move(callback));
    callback(CallOutcome::completed, Response::plain(405));
}

// --- agents ---

template <Ledger L>
void Scheduler<L>::on_agent_poll(const AgentPollRequest& request, Micros now, Micros wall_clock) {
    state_.now = now;
    run_manager_.on_agent_poll(request, now, wall_clock);
}

template <Ledger L>
bool Scheduler<L>::has_update_for(const std::string& node, Term term, std::uint64_t last_order_taken,
                                  std::uint64_t acknowledged_end) const {
    const auto known = state_.worker_by_node.find(node);
    if (known == state_.worker_by_node.end()) return false;
    const WorkerRecord& worker = state_.workers.at(known->second);
    if (term != state_.term || worker.acknowledged_end > acknowledged_end || worker.status_query_due) return true;
    return !worker.orders.empty() && worker.orders.back().number > last_order_taken;
}

// --- time ---

template <Ledger L>
void Scheduler<L>::tick(Micros now, Micros wall_clock, Micros confirmed_at, bool wall_clock_agreed) {
    wall_clock_ = wall_clock;
    state_.now = now;
    wall_clock_agreed_ = wall_clock_agreed;
    confirmed_at_ = confirmed_at;
    admission_.lag.on_tick(promised_tick_at_, now);
    promised_tick_at_ = 0;
    run_manager_.expire_leases(now, wall_clock);
    if (now >= next_maintenance_at_) run_maintenance(now, wall_clock);
    if (wall_clock_agreed) occurrences_.start_due(wall_clock);
    if (state_.needs_plan && now >= next_plan_at_) next_plan_at_ = now + plan(now, wall_clock, confirmed_at);
    persist_dirty_jobs();
}

template <Ledger L>
Micros Scheduler<L>::next_tick_at(Micros now, Micros wall_clock) {
    Micros next = now + max_tick_interval;
    if (state_.needs_plan) next = std::min(next, std::max(now, next_plan_at_));
    const std::optional<Micros> due_at = occurrences_.next_due_at();
    if (wall_clock_agreed_ && due_at) next = std::min(next, now + std::max<Micros>(0, *due_at - wall_clock));
    promised_tick_at_ = next;
    return next;
}

template <Ledger L>
void Scheduler<L>::run_maintenance(Micros now, Micros wall_clock) {
    next_maintenance_at_ = now + maintenance_interval;
    state_.record_pending(maintenance_interval, wall_clock);
    run_manager_.check_stragglers(now);
    state_.update_due_priorities(wall_clock);
    admission_.observe(state_.usage_by_service, state_.backlog);
    for (const std::string& id : state_.remove_expired_jobs())
        ledger_.remove_key(job_key(id));
    state_.needs_plan = true;
}

// Carries out one start of a plan. The members of a gang share one run number.
template <Ledger L>
RunRecord& Scheduler<L>::start_run(const TaskStart& start, Micros now, Micros wall_clock) {
    auto& [record, occurrence, step, index, worker, is_first_of_item] = start;
    const bool is_gang = record.job.definition.spec.steps[step].gang;
    if (!is_gang || is_first_of_item) current_run_number_ = record.job.next_run_number(occurrence, step, index);
    record.job.add_placement(occurrence, step, index, current_run_number_, {worker.info.worker_id, worker.node});
    return run_manager_.record_intent(record, occurrence, step, index, current_run_number_, worker, now, wall_clock);
}

// Makes a plan and carries it out.
// @return how long the next plan is to wait
template <Ledger L>
Micros Scheduler<L>::plan(Micros now, Micros wall_clock, Micros confirmed_at) {
    state_.needs_plan = false;
    if (confirmed_at < 0 || now - confirmed_at > settings_.lease_duration / 2) return settings_.min_plan_pause;
    const auto start = [this, now, wall_clock](const TaskStart& start) -> RunRecord& {
        return start_run(start, now, wall_clock);
    };
    const auto preempt = [this](WorkerRecord& worker, RunRecord& run) { run_manager_.preempt(worker, run); };
    const PlanOutcome outcome = planning_.plan(now, wall_clock, start, preempt);
    admission_.lag.on_plan(outcome.is_complete, now);
    // What the plan itself has changed calls for no other: it has looked at all that is pending.
    state_.needs_plan = !outcome.is_complete || outcome.has_conflicts;
    return std::clamp(Micros(outcome.operations) * settings_.plan_pause_per_operation, settings_.min_plan_pause,
                      settings_.max_plan_pause);
}

// --- new jobs ---

template <Ledger L>
void Scheduler<L>::accept(const Queue& queue, const std::string& id, const std::string& body, Micros now,
                          Micros wall_clock, CallCallback callback) {
    if (const Job* known = find_job(id)) return acknowledge_known(*known, queue, std::move(callback));
    if (state_.jobs.size() >= settings_.max_jobs)
        return reject(id, AdmissionDecision::backlog_full, seconds(1), std::move(callback));
    Findings findings;
    JobSpec spec = parse_job_spec(body, {}, findings);
    if (!findings.empty()) {
        counters().add("jobs_invalid");
        return callback(CallOutcome::completed, error_response(400, findings.text()));
    }
    JobDefinition definition = make_definition(queue, id, std::move(spec), wall_clock);
    const AdmissionRequest new_job = admission_request(queue, definition);
    const ServiceUsage& usage = state_.usage_by_service[queue.service];
    const AdmissionDecision decision = admission_.admit(new_job, state_.jobs.size(), usage, state_.backlog, now);
    // Without its majority the leader knows nothing of its own lag: the proposal waits, or is given up.
    const bool is_confirmed = now - confirmed_at_ < max_confirmation_age;
    if (decision == AdmissionDecision::backlog_full || (decision != AdmissionDecision::admitted && is_confirmed))
        return reject(id, decision, admission_.retry_after(new_job, usage, state_.backlog), std::move(callback));
    JobRecord& record = state_.jobs[id];
    record.job = Job::accept(std::move(definition));
    counters().add("jobs_accepted");
    if (job_calls_.consume_early_cancellation(queue, id, now)) {
        record.job.cancel(wall_clock);
        run_manager_.on_job_changed(record);
    }
    propose(record, now, wall_clock, std::move(callback));
}

// A client sends a job again when it got no answer.
template <Ledger L>
void Scheduler<L>::acknowledge_known(const Job& job, const Queue& queue, CallCallback callback) {
    const std::string key = job_key(job.definition.id);
    if (!is_of_queue(job, queue))
        return respond_when_confirmed(ledger_, key, error_response(409, "id: is taken by another queue"),
                                      std::move(callback));
    ledger_.confirm(key, [callback](bool is_confirmed) { complete_change(callback, is_confirmed); });
}

template <Ledger L>
JobDefinition Scheduler<L>::make_definition(const Queue& queue, const std::string& id, JobSpec spec,
                                            Micros wall_clock) {
    JobDefinition definition;
    definition.id = id;
    definition.host = queue.host;
    definition.prefix = queue.path_prefix;
    definition.service = queue.service;
    definition.priority = queue.priority;
    definition.max_attempts = queue.max_attempts;
    definition.extension = queue.extension;
    definition.extension_thousandths = std::uint64_t(queue.extension * 1000);
    definition.target = queue.target;
    definition.accepted_wall_clock = wall_clock;
    definition.spec = std::move(spec);
    return definition;
}

template <Ledger L>
AdmissionRequest Scheduler<L>::admission_request(const Queue& queue, const JobDefinition& definition) {
    JobRecord trial;
    trial.job.definition = definition;
    const SchedulingPriority priority = state_.scheduling_priority_of(trial);
    return {queue.host + "|" + queue.path_prefix,
            queue.service,
            queue.priority,
            priority.critical_path,
            priority.deadline - priority.submitted_at,
            priority.is_long_running || definition.spec.repeats > 0};
}

template <Ledger L>
void Scheduler<L>::propose(JobRecord& record, Micros now, Micros wall_clock, CallCallback callback) {
    const std::string& id = record.job.definition.id;
    admission_.lag.on_proposed(now);
    ledger_.propose(job_key(id), record.job.encoded_definition(), record.job.encode_changes(),
                    [this, id, now, wall_clock, callback = std::move(callback)](bool is_committed) {
                        admission_.lag.on_committed(now);
                        if (is_committed) on_job_committed(id, wall_clock);
                        complete_change(callback, is_committed);
                    });
}

// Nothing of this job was ever proposed here; that no later leader has taken it either is confirmed by a majority.
template <Ledger L>
void Scheduler<L>::reject(const std::string& id, AdmissionDecision decision, Micros retry_after,
                          CallCallback callback) {
    counters().add("jobs_refused");
    counters().add(decision == AdmissionDecision::backlog_full     ? "jobs_refused_full"
                   : decision == AdmissionDecision::leader_lagging ? "jobs_refused_behind"
                                                                   : "jobs_refused_no_room");
    // Rounded up: a client that comes sooner would be rejected again.
    const int retry_after_seconds = int((retry_after + seconds(1) - 1) / seconds(1));
    respond_when_confirmed(ledger_, job_key(id), Response::retry_later(429, retry_after_seconds), std::move(callback));
}

template <Ledger L>
void Scheduler<L>::on_job_committed(const std::string& id, Micros wall_clock) {
    const auto found = state_.jobs.find(id);
    if (found == state_.jobs.end()) return;
    JobRecord& record = found->second;
    record.is_committed = true;
    if (!record.job.is_recurring()) state_.record_arrival(record);
    open_job(record, wall_clock);
    if (state_.notify) notify_accepted(record);
    state_.needs_plan = true;
}

template <Ledger L>
void Scheduler<L>::notify_accepted(const JobRecord& record) {
    RunEvent event{RunEvent::Kind::job_accepted, 0, record.job.definition.id, {}, record.queue_name(), {}};
    const SchedulingPriority priority = state_.scheduling_priority_of(record);
    event.job_summary = requested_work_text(record.job.definition.spec, priority.deadline - priority.submitted_at);
    state_.notify(std::move(event));
}

// --- the record ---

template <Ledger L>
void Scheduler<L>::open_job(JobRecord& record, Micros wall_clock) {
    state_.open_job(record, wall_clock);
    occurrences_.add(record);
}

template <Ledger L>
void Scheduler<L>::persist_job(JobRecord& record) {
    if (!record.is_dirty) return;
    record.is_dirty = false;
    auto on_commit = std::make_shared<std::vector<std::function<void()>>>(std::exchange(record.on_commit, {}));
    ledger_.propose(job_key(record.job.definition.id), std::nullopt, record.job.encode_changes(),
                    [on_commit](bool is_committed) {
                        if (!is_committed) return;
                        for (const auto& each : *on_commit)
                            each();
                    });
}

template <Ledger L>
void Scheduler<L>::persist_dirty_jobs() {
    const std::vector<std::string> ids = std::exchange(state_.jobs_to_persist, {});
    for (const std::string& id : ids)
        if (auto found = state_.jobs.find(id); found != state_.jobs.end()) persist_job(found->second);
}

}  // namespace calicostall
