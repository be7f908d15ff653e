#include "hollow/simulated_operator.hpp"

namespace calicostall {

namespace {

constexpr Micros request_timeout = seconds(1);
constexpr Micros retry_delay = milliseconds(200);

double ms_since(Micros begun_at) {
    return double(steady_now() - begun_at) / 1000;
}

}  // namespace

void OperatorStatistics::clear() {
    changes = 0;
    changes_refused = 0;
    config_ack_ms.clear();
    config_everywhere_ms.clear();
}

SimulatedOperator::SimulatedOperator(const Experiment& experiment, const std::vector<std::string>& replicas,
                                     SimulatorLoop& loop)
    : experiment_(experiment), loop_(loop) {
    for (std::int64_t front = 0; front < experiment_.simulated_fronts; ++front) {
        LeaderLocator::Settings settings{fmt::format("hollow-front-{}", front + 1), replicas, 2, seconds(5), true};
        fronts_.push_back(std::make_unique<LeaderLocator>(settings, loop_, [this] { record_propagation(); }));
    }
}

void SimulatedOperator::start() {
    for (auto& front : fronts_)
        front->start();
}

void SimulatedOperator::change_config() {
    if (is_changing_) return;
    is_changing_ = true;
    const std::uint64_t revision = statistics_.revision + 1;
    const std::int64_t teams = std::max<std::int64_t>(teams_, 1);
    send({revision, LoadGenerator::config_text(revision, teams), steady_now(), 0});
}

void SimulatedOperator::send(const ConfigChange& change) {
    const std::string& control = experiment_.controls[change.attempts % experiment_.controls.size()];
    loop_.send({.method = "PUT",
                .url = "http://" + control + "/config",
                .body = change.text,
                .content_type = "application/json",
                .headers = {fmt::format("If-Match: {}", change.revision - 1)},
                .timeout = request_timeout},
               [this, change](const ClientResponse& response) { on_response(change, response); });
}

void SimulatedOperator::on_response(const ConfigChange& change, const ClientResponse& response) {
    if (!response.is_ok()) {
        ++statistics_.changes_refused;
        ConfigChange next = change;
        ++next.attempts;
        loop_.run_after(retry_delay, [this, next = std::move(next)] { send(next); });
        return;
    }
    is_changing_ = false;
    ++statistics_.changes;
    statistics_.revision = change.revision;
    sent_at_by_revision_[change.revision] = change.begun_at;
    statistics_.config_ack_ms.add(ms_since(change.begun_at));
    record_propagation();
}

void SimulatedOperator::record_propagation() {
    if (fronts_.empty()) return;
    std::uint64_t lowest = ~std::uint64_t(0);
    for (auto& front : fronts_)
        lowest = std::min(lowest, front->config_revision());
    while (!sent_at_by_revision_.empty() && sent_at_by_revision_.begin()->first <= lowest) {
        statistics_.config_everywhere_ms.add(ms_since(sent_at_by_revision_.begin()->second));
        sent_at_by_revision_.erase(sent_at_by_revision_.begin());
    }
    statistics_.pending_revisions = sent_at_by_revision_.size();
}

}  // namespace calicostall
