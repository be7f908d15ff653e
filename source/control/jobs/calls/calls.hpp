// The calls that take in no new job: the configuration, and what is shown, cancelled or counted.
#pragma once
#include "control/jobs/runs/runs.hpp"
#include "shared/http/response.hpp"

namespace calicostall {

using CallDone = std::function<void(CallFate, Response)>;

inline Response problem(int code, const std::string& text) {
    return Response::json(code, boost::json::serialize(boost::json::object{{"error", text}}));
}
inline std::string job_key(const std::string& id) {
    return "job/" + id;
}
inline bool same_queue(const Job& job, const Queue& queue) {
    return job.fixed.host == queue.host && job.fixed.prefix == queue.prefix;
}
inline bool same_json(const std::string& left, const std::string& right) {
    if (left == right) return true;
    boost::system::error_code first, second;
    auto one = boost::json::parse(left, first), two = boost::json::parse(right, second);
    return !first && !second && one == two;
}

template <Ledger L>
class Calls {
public:
    using Flush = std::function<void(JobEntry&)>;
    Calls(State& state, Runs& runs, L& ledger, Flush flush)
        : state_(state), runs_(runs), ledger_(ledger), flush_(std::move(flush)) {}

    // Answers once the present value of the key is surely what a majority has.
    void confirmed(const std::string& key, Response response, CallDone done) {
        ledger_.confirm(key, [response = std::move(response), done = std::move(done)](bool sure) {
            if (sure)
                done(CallFate::settled, response);
            else
                done(CallFate::elsewhere, Response::later(503, 1));
        });
    }
    // The operator's new configuration.
    void put_config(const CallAsk& ask, Micros wall, CallDone done) {
        Findings findings;
        Config config = parse_config(ask.body, findings);
        const Config& present = state_.config;
        if (findings.empty() && config.revision == present.revision && same_json(config.text, present.text))
            return confirmed("config", Response::plain(200), std::move(done));
        if (!findings.empty()) return confirmed("config", problem(400, findings.text()), std::move(done));
        std::optional<std::uint64_t> base;
        if (!ask.if_match.empty()) {
            std::string digits = ask.if_match;
            std::erase(digits, '"');
            if (digits.empty() ||
                !std::all_of(digits.begin(), digits.end(),
                             [](char letter) { return letter >= '0' && letter <= '9'; }) ||
                digits.size() > 18)
                return done(CallFate::settled, problem(400, "If-Match: must be a whole number"));
            base = std::stoull(digits);
        }
        if (!base || *base != present.revision)
            return confirmed("config", problem(412, fmt::format("If-Match: version {} is current", present.revision)),
                             std::move(done));
        if (config.revision <= present.revision)
            return confirmed("config", problem(400, fmt::format("revision: must be above {}", present.revision)),
                             std::move(done));
        std::string text = config.text;
        state_.config = std::move(config);
        counters().add("configs_taken");
        ledger_.propose("config", std::nullopt, text, [this, text, done](bool committed) {
            if (committed) publish(text);
            done(committed ? CallFate::settled : CallFate::doubtful, Response::plain(committed ? 200 : 504));
        });
        state_.config_changed(wall);
    }
    // What fronts are told of: only a configuration that a majority has, so none that may yet lose its race.
    // Example: calls.publish(config.text);  // once it is committed
    void publish(const std::string& text) { ledger_.propose("published", std::nullopt, text, nullptr); }
    void get_config(CallDone done) {
        if (state_.config.revision == 0) return confirmed("config", Response::later(404, 1), std::move(done));
        confirmed("config", Response::json(200, state_.config.text), std::move(done));
    }
    void show(const Queue& queue, const std::string& id, CallDone done) {
        auto found = state_.jobs.find(id);
        if (found == state_.jobs.end() || !same_queue(found->second.job, queue))
            return confirmed(job_key(id), Response::plain(410), std::move(done));
        flush_(found->second);
        confirmed(job_key(id), Response::json(200, fmt::format("{{\"phase\":\"{}\"}}", found->second.job.phase())),
                  std::move(done));
    }
    void cancel(const Queue& queue, const std::string& id, Micros wall, CallDone done) {
        auto found = state_.jobs.find(id);
        if (found == state_.jobs.end() || !same_queue(found->second.job, queue))
            return confirmed(job_key(id), Response::plain(410), std::move(done));
        JobEntry& entry = found->second;
        if (!entry.job.ended()) {
            entry.job.cancel(wall);
            runs_.after_change(entry);
            flush_(entry);
            counters().add("jobs_cancelled");
        }
        ledger_.confirm(job_key(id), [done](bool sure) {
            done(sure ? CallFate::settled : CallFate::doubtful, Response::plain(sure ? 200 : 504));
        });
    }
    void count_pending(const Queue& queue, CallDone done) {
        auto found = state_.backlog.find(queue.host + "|" + queue.prefix);
        confirmed("config",
                  Response::json(200, fmt::format("{{\"pending\":{}}}",
                                                  found == state_.backlog.end() ? 0 : found->second.pending)),
                  std::move(done));
    }

private:
    State& state_;
    Runs& runs_;
    L& ledger_;
    Flush flush_;
};

}  // namespace calicostall
