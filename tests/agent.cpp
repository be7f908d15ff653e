// The agent against a scripted worker and leader: orders whose response is lost, and how long responses are awaited.
#include "agent/agent.hpp"

#include <boost/json.hpp>

#include "agent/response_timeout.hpp"
#include "agent/worker_messages.hpp"
#include "check.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

// Timers run as in a process; what the agent sends is handed to the test, which responds.
class ScriptedEventLoop : public EventLoop {
public:
    struct SentRequest {
        std::string path;
        ClientRequest request;
        ResponseHandler on_response;
        void respond(std::string body, int code = 200) const {
            on_response({ClientResponse::Outcome::answered, code, std::move(body)});
        }
        void lose_response() const { on_response({ClientResponse::Outcome::unknown, 0, {}}); }
        boost::json::object body() const { return boost::json::parse(request.body).as_object(); }
    };

    void send(ClientRequest request, ResponseHandler on_response) override {
        std::string path = request.url.substr(request.url.find('/', 7));
        std::lock_guard guard(mutex_);
        sent_requests_.push_back({std::move(path), std::move(request), std::move(on_response)});
        arrived_.notify_all();
    }
    // The next call to one of these paths; all others are left without a response and forgotten.
    SentRequest await(std::initializer_list<std::string_view> paths) {
        std::unique_lock guard(mutex_);
        while (true) {
            bool in_time =
                arrived_.wait_for(guard, std::chrono::seconds(20), [this] { return !sent_requests_.empty(); });
            if (!in_time) {
                fmt::print(stderr, "nothing was sent to {}\n", *paths.begin());
                std::_Exit(1);
            }
            SentRequest next = std::move(sent_requests_.front());
            sent_requests_.pop_front();
            if (std::find(paths.begin(), paths.end(), next.path) != paths.end()) return next;
        }
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<SentRequest> sent_requests_;
};

constexpr const char* worker_id = "i-1";
constexpr const char* task = "5c0e7a21d94b36f8.0.0.0";
constexpr const char* idle_status = R"({"clock_ms":1000,"active":[],"finished":[]})";

// An agent with a registered worker. As in a process, the loop and the agent live until its end.
struct AgentFixture {
    ScriptedEventLoop& loop = *new ScriptedEventLoop;
    Agent* agent = nullptr;
    std::uint64_t orders = 0;

    // `knows_fence`: the worker has seen the leader's fence before, so it refuses the agent's first query.
    explicit AgentFixture(bool knows_fence = false) {
        AgentSettings settings;
        settings.machine.node_name = "side-1";
        settings.machine.seeds = {"127.0.0.1:1"};
        agent = new Agent(settings, loop);
        std::thread([running = &loop] { running->run(); }).detach();
        agent->open();
        send_heartbeat("ready", 1);
        if (knows_fence) await_identity_query(worker_id).respond(R"({"clock_ms":1000,"reason":"fence"})", 409);
        const ScriptedEventLoop::SentRequest query = await_identity_query(worker_id);
        EXPECT(!knows_fence || query.body().at("fence").to_number<std::uint64_t>() == leader_response().term.value);
        query.respond(idle_status);
    }
    void send_heartbeat(std::string_view phase, int sequence, const std::string& sender = worker_id) const {
        send_worker_call("PUT",
                         fmt::format(R"({{"service":"s","address":"127.0.0.1:2","phase":"{}","clock_ms":1000,)"
                                     R"("call_seq":{}}})",
                                     phase, sequence),
                         sender);
    }
    void send_worker_call(const std::string& method, std::string body = {},
                          const std::string& sender = worker_id) const {
        Request call;
        call.method = method;
        call.path = "/workers/" + sender;
        call.body = std::move(body);
        agent->handle_request(std::move(call));
    }
    // The next query for this incarnation; earlier ones and polls are answered.
    ScriptedEventLoop::SentRequest await_identity_query(const std::string& sender) {
        const std::string header = "X-Expected-Worker: " + sender;
        while (true) {
            ScriptedEventLoop::SentRequest sent = await("/hold");
            const std::vector<std::string>& headers = sent.request.headers;
            if (std::find(headers.begin(), headers.end(), header) != headers.end()) return sent;
            sent.respond(idle_status);
        }
    }
    // The first poll for which the condition holds; an empty one if it holds for none of many.
    AgentPollRequest await_poll(const std::function<bool(const AgentPollRequest&)>& condition) {
        constexpr int max_polls = 50;
        for (int poll = 0; poll < max_polls; ++poll) {
            ScriptedEventLoop::SentRequest sent = await("/inner/side");
            auto request = decode<AgentPollRequest>(sent.request.body);
            AgentPollResponse response = leader_response();
            response.needs_worker_info = true;
            sent.respond(encode(response));
            if (request && condition(*request)) return *request;
        }
        return {};
    }
    // The first poll with the worker's info that names this incarnation as ended, or is of this incarnation.
    AgentPollRequest await_poll_about(const std::string& sender) {
        return await_poll([&sender](const AgentPollRequest& request) {
            const std::vector<std::string>& ended = request.ended_incarnations;
            const bool is_ended = std::find(ended.begin(), ended.end(), sender) != ended.end();
            return request.worker_info && (is_ended || request.worker_info->worker_id == sender);
        });
    }
    // The first poll that says that the worker drains or has ended.
    AgentPollRequest await_departure() {
        return await_poll([](const AgentPollRequest& request) {
            const bool is_draining = request.worker_info && request.worker_info->is_draining;
            return is_draining || !request.ended_incarnations.empty();
        });
    }
    AgentPollResponse leader_response() const {
        AgentPollResponse response;
        response.is_from_leader = true;
        response.term = Term{65};
        response.worker_id = worker_id;
        response.generation = 1;
        response.lease_duration = seconds(60);
        return response;
    }
    // Answers status queries and polls until the agent sends something to `path`.
    ScriptedEventLoop::SentRequest await(std::string_view path) {
        while (true) {
            ScriptedEventLoop::SentRequest sent = loop.await({path, "/hold", "/inner/side"});
            if (sent.path == path) return sent;
            if (sent.path == "/hold") sent.respond(idle_status);
            if (sent.path == "/inner/side") sent.respond(encode(leader_response()));
        }
    }
    void issue_start(std::uint32_t run) { issue_order(OrderKind::start, run); }
    void issue_order(OrderKind kind, std::uint32_t run) {
        Order order;
        order.number = ++orders;
        order.kind = kind;
        order.worker_id = worker_id;
        order.task = task;
        order.run = run;
        order.spec = "text";
        AgentPollResponse response = leader_response();
        response.orders.push_back(order);
        await("/inner/side").respond(encode(response));
    }
    OrderResult await_result() {
        while (true) {
            ScriptedEventLoop::SentRequest sent = await("/inner/side");
            auto request = decode<AgentPollRequest>(sent.request.body);
            sent.respond(encode(leader_response()));
            if (request && !request->order_results.empty()) return request->order_results.front();
        }
    }
};

// A rejection says nothing of an earlier attempt that got no response: that one may have started the run.
void a_rejection_after_a_lost_response_has_an_unknown_outcome() {
    AgentFixture fixture;
    fixture.issue_start(1);
    fixture.await("/run-start").lose_response();
    ScriptedEventLoop::SentRequest again = fixture.await("/run-start");
    EXPECT(again.body().at("run_id").to_number<int>() == 1);
    again.respond(R"({"clock_ms":1000,"reason":"old"})", 409);
    EXPECT(fixture.await_result().outcome == OrderOutcome::unknown);

    fixture.issue_start(2);
    fixture.await("/run-start").respond(R"({"clock_ms":1000,"reason":"old"})", 409);
    EXPECT(fixture.await_result().outcome == OrderOutcome::rejected);
}

// Guards against "a worker that says DELETE first has its tasks run twice" (TWICE): it serves on, so it drains and
// isn't ended, neither by a heartbeat that is late nor by a second DELETE.
void a_worker_that_leaves_without_having_drained_is_not_ended() {
    AgentFixture fixture;
    fixture.send_worker_call("DELETE");
    fixture.send_heartbeat("ready", 2);
    fixture.send_worker_call("DELETE");
    const AgentPollRequest request = fixture.await_departure();
    EXPECT(request.worker_info && request.worker_info->is_draining && request.worker_info->worker_id == worker_id);
    EXPECT(request.ended_incarnations.empty());
}

void a_worker_that_leaves_after_draining_is_ended() {
    AgentFixture fixture;
    fixture.send_heartbeat("draining", 2);
    fixture.send_worker_call("DELETE");
    AgentPollRequest request = fixture.await_departure();
    for (int poll = 0; poll < 5 && request.ended_incarnations.empty(); ++poll)
        request = fixture.await_departure();
    EXPECT(request.ended_incarnations == std::vector<std::string>{worker_id});
}

// Guards against "a late heartbeat of an earlier incarnation ends the living worker" (TWICE): another incarnation
// answers in its stead, so that one has ended, whatever its heartbeats say later.
void a_late_heartbeat_of_an_unknown_incarnation_leaves_the_worker_registered() {
    AgentFixture fixture;
    fixture.send_heartbeat("ready", 1, "i-0");
    fixture.await_identity_query("i-0").respond("{}", 421);
    const AgentPollRequest request = fixture.await_poll_about("i-0");
    EXPECT(request.worker_info && request.worker_info->worker_id == worker_id);
    EXPECT(request.ended_incarnations == std::vector<std::string>{"i-0"});
    fixture.send_heartbeat("ready", 2, "i-0");
    const AgentPollRequest later = fixture.await_poll_about("i-0");
    EXPECT(later.worker_info && later.worker_info->worker_id == worker_id);
}

// The worker crashed and runs again under a new id: it takes over once it has answered, be it after a lost response and
// an error.
void a_new_incarnation_takes_over_when_it_answers() {
    AgentFixture fixture;
    fixture.send_heartbeat("ready", 1, "i-2");
    fixture.await_identity_query("i-2").lose_response();
    fixture.await_identity_query("i-2").respond("{}", 503);
    fixture.await_identity_query("i-2").respond(idle_status);
    const AgentPollRequest request = fixture.await_poll_about("i-2");
    EXPECT(request.worker_info && request.worker_info->worker_id == "i-2");
    EXPECT(request.ended_incarnations == std::vector<std::string>{worker_id});
}

// The agent was restarted and knows no leader yet: the worker refuses its fence, and is asked again under the leader's.
void a_worker_that_refused_the_fence_is_registered_under_the_leaders() {
    AgentFixture fixture(true);
    const AgentPollRequest request = fixture.await_poll_about(worker_id);
    EXPECT(request.worker_info && request.worker_info->worker_id == worker_id);
}

// A worker is lost while nothing but a stop is pending: the leader must hear that it is unresponsive, or its lease, and
// with it the run that is being stopped, would never expire.
void an_unanswered_stop_reveals_an_unresponsive_worker() {
    constexpr Micros time_limit = seconds(10);
    AgentFixture fixture;
    fixture.issue_order(OrderKind::stop, 1);
    bool has_queried = false, is_unresponsive = false;
    for (Micros started_at = steady_now(); !is_unresponsive && steady_now() - started_at < time_limit;) {
        ScriptedEventLoop::SentRequest sent = fixture.loop.await({"/run-stop", "/hold", "/inner/side"});
        if (sent.path == "/inner/side") {
            auto request = decode<AgentPollRequest>(sent.request.body);
            is_unresponsive = request && request->is_unresponsive;
            sent.respond(encode(fixture.leader_response()));
        } else if (sent.path == "/hold" && !std::exchange(has_queried, true)) {
            sent.respond(idle_status);
        } else {
            sent.lose_response();
        }
    }
    EXPECT(is_unresponsive);
}

// The status query that follows a stop (the short one) is lost while nothing else runs or is pending: it must be
// repeated, or the leader would never hear that the stopped run is over, and its task would stay placed for good.
void the_status_query_after_a_stop_is_retried_until_answered() {
    constexpr Micros time_limit = seconds(10);
    AgentFixture fixture;
    // The worker knows the fence: no query is due for that any more.
    fixture.await("/hold").respond(idle_status);
    for (bool is_reported = false; !is_reported;) {
        ScriptedEventLoop::SentRequest sent = fixture.await("/inner/side");
        auto request = decode<AgentPollRequest>(sent.request.body);
        is_reported = request && request->status_report;
        sent.respond(encode(fixture.leader_response()));
    }
    fixture.issue_order(OrderKind::stop, 1);
    bool is_stopped = false, is_query_lost = false, is_stop_reported = false;
    for (Micros started_at = steady_now(); !is_stop_reported && steady_now() - started_at < time_limit;) {
        ScriptedEventLoop::SentRequest sent = fixture.loop.await({"/run-stop", "/hold", "/inner/side"});
        if (sent.path == "/run-stop") {
            is_stopped = true;
            sent.respond(R"({"clock_ms":1000})");
        } else if (sent.path == "/hold" && is_stopped && !is_query_lost && !sent.body().contains("wait_ms")) {
            is_query_lost = true;
            sent.lose_response();
        } else if (sent.path == "/hold") {
            sent.respond(idle_status);
        } else {
            auto request = decode<AgentPollRequest>(sent.request.body);
            is_stop_reported = request && request->status_report && !request->status_report->answered_stops.empty();
            sent.respond(encode(fixture.leader_response()));
        }
    }
    EXPECT(is_query_lost);
    EXPECT(is_stop_reported);
}

// A fixture whose worker knows the leader's fence, with a long status query under way at the worker.
struct QueryingFixture : AgentFixture {
    ScriptedEventLoop::SentRequest open_query;

    QueryingFixture() {
        issue_start(1);
        await("/run-start").respond(R"({"clock_ms":1000})");
        open_query = await_long_query(active_status(1));
    }
    static std::string active_status(std::uint32_t run) {
        return fmt::format(R"({{"clock_ms":1000,"active":[["{}",{},"",50]],"finished":[]}})", task, run);
    }
    static std::string ended_status(std::uint64_t sequence, std::uint32_t run) {
        return fmt::format(R"({{"clock_ms":1000,"active":[],"finished":[[{},"{}",{},"done",""]]}})", sequence, task,
                           run);
    }
    // The next long query, left without an answer; short ones are answered by `status`.
    ScriptedEventLoop::SentRequest await_long_query(const std::string& status) {
        while (true) {
            ScriptedEventLoop::SentRequest sent = loop.await({"/hold", "/inner/side"});
            if (sent.path == "/hold" && sent.body().contains("wait_ms")) return sent;
            sent.respond(sent.path == "/hold" ? status : encode(leader_response()));
        }
    }
    // The next query that the agent sends by itself within the time; polls are answered with these ends acknowledged.
    std::optional<ScriptedEventLoop::SentRequest> next_query(std::uint64_t acknowledged_end) {
        constexpr Micros time_limit = seconds(3);
        AgentPollResponse response = leader_response();
        response.acknowledged_end = acknowledged_end;
        for (const Micros started_at = steady_now(); steady_now() - started_at < time_limit;) {
            ScriptedEventLoop::SentRequest sent = loop.await({"/hold", "/inner/side"});
            if (sent.path == "/hold") return sent;
            sent.respond(encode(response));
        }
        return std::nullopt;
    }
};

// Guards against "a job is running for good after one late answer of its worker" (LOST): an answer to a query says
// nothing of a start that was answered after the query was sent, so the agent goes on asking for that run.
void a_late_status_does_not_hide_a_run_that_started_meanwhile() {
    QueryingFixture fixture;
    fixture.issue_start(2);
    fixture.await("/run-start").respond(R"({"clock_ms":1000})");
    // The first run's end, acknowledged at once: nothing but the second run is left to ask for.
    fixture.open_query.respond(QueryingFixture::ended_status(1, 1));
    std::optional<ScriptedEventLoop::SentRequest> query = fixture.next_query(1);
    EXPECT(query.has_value());
    if (!query) return;
    query->respond(QueryingFixture::active_status(2));
    EXPECT(fixture.next_query(1).has_value());
}

// Guards against "a job is running for good after its worker listed a part of its ends" (LOST): the worker lists the
// others once it was told that these are acknowledged, so the agent asks until an answer lists none, and then no more.
void ends_are_asked_for_until_none_is_listed() {
    constexpr std::uint64_t total_ends = 4;
    constexpr int max_queries = 20;
    QueryingFixture fixture;
    fixture.open_query.respond(QueryingFixture::ended_status(1, 1));
    std::uint64_t told_end = 0;
    std::uint64_t listed_end = 1;
    for (int count = 0; count < max_queries && told_end < total_ends; ++count) {
        std::optional<ScriptedEventLoop::SentRequest> query = fixture.next_query(listed_end);
        if (!query) break;
        told_end = query->body().at("seen_at").to_number<std::uint64_t>();
        listed_end = std::min(total_ends, told_end + 1);
        query->respond(told_end == total_ends ? std::string(idle_status)
                                              : QueryingFixture::ended_status(listed_end, std::uint32_t(listed_end)));
    }
    EXPECT(told_end == total_ends);
    EXPECT(!fixture.next_query(total_ends).has_value());
}

// Guards against "order of arrival taken for order of events" (LOST), for the set of active runs by itself.
void an_answer_speaks_for_the_time_of_its_query() {
    const RunKey first{"t.0.0.0", 1};
    const RunKey second{"t.0.0.1", 1};
    const auto shows = [](const std::vector<RunKey>& active, const std::vector<RunKey>& finished) {
        WorkerStatus status;
        for (const RunKey& run : active)
            status.active.push_back({run.task, run.run, "", 0});
        for (const RunKey& run : finished)
            status.finished.push_back({1, run.task, run.run, "done", ""});
        return status;
    };
    ActiveRuns runs;
    runs.on_started(first);
    const std::uint64_t early_query = runs.begin_query();
    runs.on_started(second);
    const std::uint64_t late_query = runs.begin_query();
    // The later query's answer comes first; the earlier one's takes nothing back.
    runs.on_status(late_query, shows({first, second}, {}));
    runs.on_status(early_query, shows({}, {}));
    EXPECT(runs.contains(first) && runs.contains(second));
    // What a list of ends shows is over, whenever its query was sent.
    runs.on_status(early_query, shows({}, {first}));
    EXPECT(!runs.contains(first) && runs.contains(second));
    // A run that only a status has shown stays until a query that was sent later doesn't show it.
    const std::uint64_t query = runs.begin_query();
    runs.on_status(query, shows({first}, {}));
    EXPECT(runs.contains(first) && !runs.contains(second));
    runs.on_status(runs.begin_query(), shows({}, {}));
    EXPECT(runs.empty());
}

// A worker that responds at once isn't waited for as long as one whose round trips are not known.
void fast_responses_shorten_the_timeout() {
    AgentFixture fixture;
    std::vector<Micros> timeouts;
    for (std::uint32_t run = 1; run <= 12; ++run) {
        fixture.issue_start(run);
        ScriptedEventLoop::SentRequest sent = fixture.await("/run-start");
        timeouts.push_back(sent.request.timeout);
        sent.respond(R"({"clock_ms":1000})");
        EXPECT(fixture.await_result().outcome == OrderOutcome::started);
    }
    // Some response of the test itself may come late on a busy machine: not all of them do.
    EXPECT(*std::min_element(timeouts.begin(), timeouts.end()) < AgentSettings().response_timeout.max);
}

// The timeout grows with lost calls and slow responses, shrinks with fast ones, and stays between its bounds.
void the_response_timeout_follows_round_trips() {
    ResponseTimeout timeout;
    EXPECT(timeout.value() == milliseconds(200));
    timeout.record_timeout(0, milliseconds(200));
    EXPECT(timeout.value() == milliseconds(200));
    for (int response = 0; response < 20; ++response)
        timeout.record_response(milliseconds(2));
    EXPECT(timeout.value() == milliseconds(40));
    // Ten calls under way together count as one: the timeout doubles once.
    for (int call = 0; call < 10; ++call)
        timeout.record_timeout(milliseconds(1000), milliseconds(1040 + call));
    EXPECT(timeout.value() == milliseconds(80));
    timeout.record_timeout(milliseconds(1100), milliseconds(1180));
    EXPECT(timeout.value() == milliseconds(160));
    timeout.record_timeout(milliseconds(1200), milliseconds(1360));
    EXPECT(timeout.value() == milliseconds(200));
    timeout.record_response(milliseconds(2));
    EXPECT(timeout.value() == milliseconds(40));
    // The timeout follows a worker that has become slow.
    for (int response = 0; response < 40; ++response)
        timeout.record_response(milliseconds(100));
    EXPECT(timeout.value() > milliseconds(100));
    timeout.reset();
    EXPECT(timeout.value() == milliseconds(200));

    property(
        "a timeout stays between its bounds and above a steady round trip", rc::check([] {
            ResponseTimeout::Settings bounds;
            ResponseTimeout timeout(bounds);
            Micros now = 0;
            for (Micros round_trip : *rc::gen::container<std::vector<Micros>>(rc::gen::inRange<Micros>(0, 300000))) {
                now += round_trip;
                if (round_trip > timeout.value())
                    timeout.record_timeout(now - timeout.value(), now);
                else
                    timeout.record_response(round_trip);
                RC_ASSERT(timeout.value() >= bounds.min && timeout.value() <= bounds.max);
            }
            Micros steady = *rc::gen::inRange<Micros>(1, 200000);
            for (int response = 0; response < 50; ++response)
                timeout.record_response(steady);
            RC_ASSERT(timeout.value() >= steady);
        }));
}

// Complete messages are read; what is cut short or of a wrong type is told apart from them.
void worker_messages_are_parsed() {
    struct Row {
        const char* body;
        bool is_complete;
    };
    for (const Row& row :
         {Row{R"({"clock_ms":5,"active":[["t.0.0.0",1,"",40]],"finished":[[3,"t.0.0.1",1,"done",""]]})", true},
          Row{R"({"active":[],"finished":[]})", true}, Row{R"({"active":[]})", false},
          Row{R"({"active":[["t",1]],"finished":[]})", false},
          Row{R"({"active":[],"finished":[["3","t",1,"done",""]]})", false}, Row{"[]", false}, Row{"", false},
          Row{R"({"active":[],"finished":[)", false}})
        EXPECT_SAID(parse_worker_status(row.body).is_complete == row.is_complete, row.body);
    WorkerStatus reply = parse_worker_status(R"({"clock_ms":5,"active":[["t.0.0.0",1,"c",40]],"finished":[]})");
    EXPECT(reply.clock == milliseconds(5) && reply.active.size() == 1 && reply.active[0].progress_percent == 40);

    EXPECT(parse_order_response({ClientResponse::Outcome::answered, 409, R"({"clock_ms":7,"reason":"room"})"}).reason ==
           "room");
    EXPECT(!parse_order_response({ClientResponse::Outcome::unknown, 0, R"({"reason":"room"})"}).reason);

    Findings findings;
    EXPECT(!parse_heartbeat("i-1", "[1]", findings));
    auto heartbeat =
        parse_heartbeat("i-1", R"({"service":"s","address":"a","phase":"draining","leaves_at_ms":1500})", findings);
    EXPECT(findings.empty() && heartbeat && heartbeat->info.is_draining &&
           heartbeat->info.terminates_in == milliseconds(1500));
    EXPECT(parse_heartbeat("i-1", R"({"address":7})", findings) && !findings.empty());
}

}  // namespace

int main() {
    the_response_timeout_follows_round_trips();
    worker_messages_are_parsed();
    an_answer_speaks_for_the_time_of_its_query();
    a_rejection_after_a_lost_response_has_an_unknown_outcome();
    fast_responses_shorten_the_timeout();
    a_worker_that_leaves_without_having_drained_is_not_ended();
    a_worker_that_leaves_after_draining_is_ended();
    a_late_heartbeat_of_an_unknown_incarnation_leaves_the_worker_registered();
    a_new_incarnation_takes_over_when_it_answers();
    a_worker_that_refused_the_fence_is_registered_under_the_leaders();
    an_unanswered_stop_reveals_an_unresponsive_worker();
    the_status_query_after_a_stop_is_retried_until_answered();
    a_late_status_does_not_hide_a_run_that_started_meanwhile();
    ends_are_asked_for_until_none_is_listed();
    // The loop's thread runs until the end: nothing that it uses may be destroyed before.
    int status = exit_status();
    std::fflush(nullptr);
    std::_Exit(status);
}
