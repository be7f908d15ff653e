// Forecasts of the accelerators that the queues will need. Pure.
#pragma once
#include "forecast/history.hpp"

namespace calicostall {

struct ForecastSettings {
    size_t horizon_spans = 6;        // how far ahead a forecast goes
    size_t warm_up_spans = 6;        // before the first forecast of a backtest
    size_t season_spans = 0;         // in a season; 0: none
    double warning_pressure = 0.85;  // the share of the fleet from which urgent work is expected to wait
    double upper_deviations = 1.28;  // how many deviations above the mean the upper bound is: nine of ten stay below
    double min_waited = 1;           // task-seconds of urgent waiting in a span that count as a wait
};

// The forecast of one queue; one value for each span ahead.
struct QueueForecast {
    std::string queue;
    std::int64_t priority = 0;
    bool is_urgent = false;     // of the most urgent priority
    std::vector<double> mean;   // accelerators needed
    std::vector<double> upper;  // their upper bound
};

// The forecast of all queues; one value for each span ahead.
struct DemandForecast {
    std::vector<QueueForecast> queues;
    std::vector<double> urgent_upper;  // upper bound of the urgent queues' accelerators together
    std::vector<double> waiting_mean;  // mean of the other queues' accelerators
    std::vector<double> pressure;      // both as a share of the fleet
    double fleet = 0;                  // accelerators; 0: unknown
    bool has_warning = false;          // the pressure reaches the one to warn of
    size_t first_warning_ahead = 0;    // after how many spans; 1 is the next one
};

// Forecasts the demand from span `until` on, from the spans before it.
// Example: DemandForecast forecast = forecast_demand(history, history.last_span + 1, settings);
DemandForecast forecast_demand(const QueueHistory& history, std::int64_t until, const ForecastSettings& settings);

}  // namespace calicostall
