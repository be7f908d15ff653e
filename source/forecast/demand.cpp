#include "forecast/demand.hpp"

#include <cmath>

namespace calicostall {

void Trend::add(double value) {
    double usual = season_.empty() ? 0 : season_[count_ % season_.size()];
    if (count_ == 0) {
        level_ = value;
    } else {
        double expected = level_ + slope_ + usual, off = value - expected;
        double weight = count_ < 4 ? 0.5 : 0.35;
        deviation_ = count_ == 1 ? std::abs(off) : 0.85 * deviation_ + 0.15 * std::abs(off);
        double before = level_;
        level_ = level_ + slope_ + weight * off;
        slope_ += (count_ < 4 ? 0.3 : 0.12) * (level_ - before - slope_);
        if (!season_.empty()) season_[count_ % season_.size()] += 0.3 * (1 - weight) * off;
    }
    ++count_;
}

double Trend::mean(size_t ahead) const {
    double usual = season_.empty() ? 0 : season_[(count_ + ahead - 1) % season_.size()];
    return std::max(0.0, level_ + slope_ * double(ahead) + usual);
}

double Trend::upper(size_t ahead, double caution) const {
    return mean(ahead) + caution * 1.25 * deviation_ * std::sqrt(1 + 0.12 * double(ahead));
}

Forecast forecast_demand(const History& history, std::int64_t until, const ForecastSettings& settings) {
    Forecast all;
    all.urgent_upper.assign(settings.ahead, 0);
    all.waiting_mean.assign(settings.ahead, 0);
    double seconds_long = double(history.length) / 1e6;
    std::int64_t most_urgent = history.most_urgent();
    Trend urgent(settings.season);
    std::vector<double> urgent_values;
    for (const auto& [name, queue] : history.queues) {
        QueueForecast mine{name, queue.priority, queue.priority == most_urgent, {}, {}};
        Trend trend(settings.season);
        for (std::int64_t span = history.first; span < until; ++span) {
            auto found = queue.spans.find(span);
            double value = found == queue.spans.end() ? 0 : found->second.arrived / seconds_long;
            trend.add(value);
            size_t place = size_t(span - history.first);
            if (urgent_values.size() <= place) urgent_values.resize(place + 1, 0);
            if (mine.urgent) urgent_values[place] += value;
        }
        for (size_t ahead = 1; ahead <= settings.ahead; ++ahead) {
            mine.mean.push_back(trend.mean(ahead));
            mine.upper.push_back(trend.upper(ahead, settings.caution));
            if (!mine.urgent) all.waiting_mean[ahead - 1] += mine.mean.back();
        }
        all.queues.push_back(std::move(mine));
    }
    // Urgent queues are taken together for the edge: not all of them are high at once.
    for (double value : urgent_values)
        urgent.add(value);
    for (auto span = history.fleet.begin(); span != history.fleet.end() && span->first < until; ++span)
        if (span->second > 0) all.fleet = span->second;
    for (size_t ahead = 1; ahead <= settings.ahead; ++ahead) {
        all.urgent_upper[ahead - 1] = urgent.upper(ahead, settings.caution);
        double pressure = all.fleet > 0 ? (all.urgent_upper[ahead - 1] + all.waiting_mean[ahead - 1]) / all.fleet : 0;
        all.pressure.push_back(pressure);
        if (pressure >= settings.pressure && !all.warns) {
            all.warns = true;
            all.first_warned = ahead;
        }
    }
    return all;
}

size_t Backtest::missed() const {
    return size_t(std::count_if(events.begin(), events.end(), [](const Event& event) { return !event.warned_before; }));
}

Backtest check_past(const History& history, const ForecastSettings& settings) {
    Backtest test;
    std::int64_t most_urgent = history.most_urgent();
    std::map<std::int64_t, double> waited;
    double demand = 0, off = 0;
    for (const auto& [name, queue] : history.queues)
        if (queue.priority == most_urgent)
            for (const auto& [span, value] : queue.spans)
                waited[span] += value.waited;
    std::map<std::int64_t, size_t> warned;  // span at which the warning was given -> how many spans ahead it pointed
    for (std::int64_t span = history.first + std::int64_t(settings.warm_up); span <= history.last; ++span) {
        Forecast forecast = forecast_demand(history, span, settings);
        ++test.forecasts;
        if (forecast.warns) warned[span] = forecast.first_warned;
        double measured_sum = 0, forecast_sum = 0;
        for (const auto& queue : forecast.queues) {
            forecast_sum += queue.mean.front();
            auto found = history.queues.at(queue.queue).spans.find(span);
            if (found != history.queues.at(queue.queue).spans.end())
                measured_sum += found->second.arrived / (double(history.length) / 1e6);
        }
        demand += measured_sum;
        off += std::abs(measured_sum - forecast_sum);
    }
    test.warnings = warned.size();
    test.mean_off = demand > 0 ? off / demand : 0;
    auto is_event = [&](std::int64_t span) {
        auto found = waited.find(span);
        return found != waited.end() && found->second >= settings.waited_least;
    };
    for (std::int64_t span = history.first + std::int64_t(settings.warm_up) + 1; span <= history.last; ++span) {
        if (!is_event(span) || is_event(span - 1)) continue;
        Event event{span, waited[span], std::nullopt};
        // Given at the beginning of a span, a warning knows only the spans before it.
        for (std::int64_t at = span - std::int64_t(settings.ahead) + 1; at <= span; ++at)
            if (warned.contains(at)) {
                event.warned_before = size_t(span - at);
                break;
            }
        test.events.push_back(event);
    }
    for (const auto& [at, ahead] : warned) {
        bool hit = false;
        for (std::int64_t span = at; span < at + std::int64_t(settings.ahead); ++span)
            hit = hit || is_event(span);
        test.false_warnings += !hit;
    }
    return test;
}

}  // namespace calicostall
