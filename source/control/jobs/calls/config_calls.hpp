/// The operator's calls: the configuration is replaced, read back and published.
#pragma once
#include "control/jobs/calls/call_responses.hpp"
#include "control/jobs/calls/config_acceptance.hpp"
#include "control/jobs/state/scheduler_state.hpp"
#include "shared/diagnostics/log.hpp"

namespace calicostall {

/// Serves the operator's calls at the leader. Nothing is done by a configuration before a majority has it: until then
/// it may be lost. Owns what was accepted; the configuration in force belongs to the state.
/// Example: config_calls.put(request, wall_clock, std::move(callback));
template <Ledger L>
class ConfigCalls {
public:
    ConfigCalls(SchedulerState& state, L& ledger) : state_(state), ledger_(ledger) {}

    /// A new leader reads the configuration and the accepted changes from the `config` register, which a majority has
    /// when a leadership begins.
    void begin_leadership(const Register& record) {
        state_.config = read_config(record.head);
        acceptance_.load(record, state_.config);
    }
    void end_leadership() { acceptance_.clear(); }

    /// Replaces the configuration. A change that was accepted before is acknowledged again or gets no clear answer; it
    /// is never refused. Every clear answer waits until a majority that was asked after the call came in has the
    /// present configuration.
    /// @param wall_clock  the time of day in microseconds, from which the change counts once it is committed
    void put(const CallRequest& request, Micros wall_clock, CallCallback callback) {
        Findings findings;
        ConfigChange change = read_config_change(request, findings);
        ConfigDecision decision = acceptance_.decide(change, findings);
        switch (decision.verdict) {
            case ConfigVerdict::acknowledge:
                return acknowledge(std::move(callback));
            case ConfigVerdict::leave_unanswered:
                return leave_unanswered(callback);
            case ConfigVerdict::refuse:
                return refuse(change.key(), std::move(decision.refusal), std::move(callback));
            case ConfigVerdict::accept:
                return accept(std::move(change), wall_clock, std::move(callback));
        }
    }

    /// Shows the configuration in force once a majority has confirmed it, and with it all that was proposed before.
    void get(CallCallback callback) {
        ledger_.confirm("config", [this, callback = std::move(callback)](bool is_confirmed) {
            const bool is_known = state_.config.revision != 0;
            complete_read(callback, is_confirmed,
                          is_known ? Response::json(200, state_.config.text) : Response::retry_later(404, 1));
        });
    }

    /// Makes a configuration known to the fronts: only one that a majority has, so none that may yet lose its race.
    void publish(const std::string& text) { ledger_.propose("published", std::nullopt, text, nullptr); }

private:
    /// 200 once the present configuration, and with it every change accepted before, is on a majority.
    void acknowledge(CallCallback callback) {
        ledger_.confirm(
            "config", [callback = std::move(callback)](bool is_confirmed) { complete_change(callback, is_confirmed); });
    }
    static void leave_unanswered(const CallCallback& callback) {
        counters().add("configs_left_open");
        callback(CallOutcome::unknown, Response::plain(504));
    }
    /// Refuses once a majority confirms, unless another copy of the same change was accepted in the meantime.
    void refuse(const ChangeKey& change, Response refusal, CallCallback callback) {
        auto on_confirmed = [this, change, refusal = std::move(refusal),
                             callback = std::move(callback)](bool is_confirmed) {
            const bool may_be_accepted = is_confirmed && acceptance_.status_of(change) != ChangeStatus::never_accepted;
            if (may_be_accepted) return leave_unanswered(callback);
            complete_read(callback, is_confirmed, refusal);
        };
        ledger_.confirm("config", std::move(on_confirmed));
    }
    void accept(ConfigChange change, Micros wall_clock, CallCallback callback) {
        ConfigProposal proposal = acceptance_.accept(std::move(change));
        counters().add("configs_taken");
        auto on_committed = [this, config = proposal.config, wall_clock,
                             callback = std::move(callback)](bool is_committed) {
            if (is_committed) apply(*config, wall_clock);
            complete_change(callback, is_committed);
        };
        ledger_.propose("config", std::nullopt, Mutation{proposal.config->text, std::move(proposal.chunks)},
                        std::move(on_committed));
    }
    void apply(const Config& config, Micros wall_clock) {
        if (config.revision <= state_.config.revision) return;
        state_.apply_config(config, wall_clock);
        publish(config.text);
    }

    SchedulerState& state_;
    L& ledger_;
    ConfigAcceptance acceptance_;
};

}  // namespace calicostall
