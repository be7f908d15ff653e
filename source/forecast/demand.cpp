#include "forecast/demand.hpp"

#include "forecast/trend.hpp"

namespace calicostall {

namespace {

// Accelerators needed in each span from the first one of the history to the one before `until`.
std::vector<double> demand_of(const QueueHistory& history, const QueueHistory::Queue& queue, std::int64_t until) {
    const double span_s = double(history.span_length) / 1e6;
    std::vector<double> demand;
    for (std::int64_t span = history.first_span; span < until; ++span) {
        auto found = queue.spans.find(span);
        demand.push_back(found == queue.spans.end() ? 0 : found->second.arrived / span_s);
    }
    return demand;
}

Trend trend_of(const std::vector<double>& values, const ForecastSettings& settings) {
    Trend trend(settings.season_spans);
    for (double value : values)
        trend.add(value);
    return trend;
}

void add_queue(const std::string& name, const QueueHistory::Queue& queue, bool is_urgent, const Trend& trend,
               const ForecastSettings& settings, DemandForecast& forecast) {
    QueueForecast queue_forecast{name, queue.priority, is_urgent, {}, {}};
    for (size_t ahead = 1; ahead <= settings.horizon_spans; ++ahead) {
        queue_forecast.mean.push_back(trend.mean(ahead));
        queue_forecast.upper.push_back(trend.upper_bound(ahead, settings.upper_deviations));
        if (!is_urgent) forecast.waiting_mean[ahead - 1] += queue_forecast.mean.back();
    }
    forecast.queues.push_back(std::move(queue_forecast));
}

// The last known size of the fleet before span `until`.
double fleet_before(const QueueHistory& history, std::int64_t until) {
    double fleet = 0;
    for (const auto& [span, accelerators] : history.fleet)
        if (span < until && accelerators > 0) fleet = accelerators;
    return fleet;
}

void add_pressure(const Trend& urgent, const ForecastSettings& settings, DemandForecast& forecast) {
    for (size_t ahead = 1; ahead <= settings.horizon_spans; ++ahead) {
        const double urgent_upper = urgent.upper_bound(ahead, settings.upper_deviations);
        const double needed = urgent_upper + forecast.waiting_mean[ahead - 1];
        const double pressure = forecast.fleet > 0 ? needed / forecast.fleet : 0;
        forecast.urgent_upper[ahead - 1] = urgent_upper;
        forecast.pressure.push_back(pressure);
        if (pressure >= settings.warning_pressure && !forecast.has_warning) {
            forecast.has_warning = true;
            forecast.first_warning_ahead = ahead;
        }
    }
}

}  // namespace

DemandForecast forecast_demand(const QueueHistory& history, std::int64_t until, const ForecastSettings& settings) {
    DemandForecast forecast;
    forecast.urgent_upper.assign(settings.horizon_spans, 0);
    forecast.waiting_mean.assign(settings.horizon_spans, 0);
    const std::int64_t most_urgent = history.most_urgent_priority();
    std::vector<double> urgent_demand;
    for (const auto& [name, queue] : history.queues) {
        const bool is_urgent = queue.priority == most_urgent;
        const std::vector<double> demand = demand_of(history, queue, until);
        urgent_demand.resize(demand.size(), 0);
        for (size_t index = 0; is_urgent && index < demand.size(); ++index)
            urgent_demand[index] += demand[index];
        add_queue(name, queue, is_urgent, trend_of(demand, settings), settings, forecast);
    }
    forecast.fleet = fleet_before(history, until);
    // The bound of the urgent queues is that of their sum: not all of them are high at once.
    add_pressure(trend_of(urgent_demand, settings), settings, forecast);
    return forecast;
}

}  // namespace calicostall
