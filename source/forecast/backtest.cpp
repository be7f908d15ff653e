#include "forecast/backtest.hpp"

namespace calicostall {

namespace {

// Runs one backtest.
class Backtester {
public:
    Backtester(const QueueHistory& history, const ForecastSettings& settings)
        : history_(history), settings_(settings), first_(history.first_span + std::int64_t(settings.warm_up_spans)) {
        add_urgent_waiting();
    }

    Backtest run() {
        for (std::int64_t span = first_; span <= history_.last_span; ++span)
            check_forecast(span);
        backtest_.warnings = warned_spans_.size();
        backtest_.mean_error = demand_ > 0 ? error_ / demand_ : 0;
        find_waits();
        count_false_warnings();
        return std::move(backtest_);
    }

private:
    std::int64_t horizon() const { return std::int64_t(settings_.horizon_spans); }

    void add_urgent_waiting() {
        const std::int64_t most_urgent = history_.most_urgent_priority();
        for (const auto& [name, queue] : history_.queues) {
            if (queue.priority != most_urgent) continue;
            for (const auto& [span, value] : queue.spans)
                waited_[span] += value.waited;
        }
    }

    void check_forecast(std::int64_t span) {
        const DemandForecast forecast = forecast_demand(history_, span, settings_);
        ++backtest_.forecasts;
        if (forecast.has_warning) warned_spans_.insert(span);
        double expected = 0;
        double measured = 0;
        for (const QueueForecast& queue : forecast.queues) {
            expected += queue.mean.front();
            const auto& spans = history_.queues.at(queue.queue).spans;
            if (auto found = spans.find(span); found != spans.end())
                measured += found->second.arrived / (double(history_.span_length) / 1e6);
        }
        demand_ += measured;
        error_ += std::abs(measured - expected);
    }

    bool has_wait(std::int64_t span) const {
        auto found = waited_.find(span);
        return found != waited_.end() && found->second >= settings_.min_waited;
    }

    void find_waits() {
        for (std::int64_t span = first_ + 1; span <= history_.last_span; ++span)
            if (has_wait(span) && !has_wait(span - 1))
                backtest_.urgent_waits.push_back({span, waited_.at(span), warning_lead(span)});
    }

    // A warning that was given at the beginning of a span knows only the spans before it.
    std::optional<size_t> warning_lead(std::int64_t span) const {
        auto warned = warned_spans_.lower_bound(span - horizon() + 1);
        if (warned == warned_spans_.end() || *warned > span) return std::nullopt;
        return size_t(span - *warned);
    }

    void count_false_warnings() {
        for (std::int64_t warned : warned_spans_) {
            bool is_right = false;
            for (std::int64_t span = warned; span < warned + horizon(); ++span)
                is_right = is_right || has_wait(span);
            backtest_.false_warnings += !is_right;
        }
    }

    const QueueHistory& history_;
    const ForecastSettings& settings_;
    std::int64_t first_;                     // the span of the first forecast
    std::map<std::int64_t, double> waited_;  // by span, task-seconds of the most urgent queues
    std::set<std::int64_t> warned_spans_;    // at the beginning of which a forecast warned
    double demand_ = 0;                      // sums over all forecasts
    double error_ = 0;
    Backtest backtest_;
};

}  // namespace

size_t Backtest::missed_count() const {
    return size_t(std::count_if(urgent_waits.begin(), urgent_waits.end(),
                                [](const UrgentWait& wait) { return !wait.warning_lead; }));
}

Backtest run_backtest(const QueueHistory& history, const ForecastSettings& settings) {
    return Backtester(history, settings).run();
}

}  // namespace calicostall
