// The check of past forecasts against the queues that followed. Pure.
#pragma once
#include "forecast/demand.hpp"

namespace calicostall {

// A span in which urgent tasks began to wait for workers.
struct UrgentWait {
    std::int64_t span = 0;
    double waited = 0;                   // task-seconds
    std::optional<size_t> warning_lead;  // how many spans before it the first warning was given; nothing: missed
};

struct Backtest {
    std::vector<UrgentWait> urgent_waits;
    size_t forecasts = 0;
    size_t warnings = 0;        // forecasts that warned
    size_t false_warnings = 0;  // those without urgent waiting within their horizon
    double mean_error = 0;      // mean absolute error of the next span's forecast, as a share of the mean demand
    // Waits that no forecast had warned of.
    size_t missed_count() const;
};

// Makes a forecast at each span of the history after the warm-up, from what was known then.
// Example: Backtest backtest = run_backtest(history, {}); if (backtest.missed_count() > 0) ...
Backtest run_backtest(const QueueHistory& history, const ForecastSettings& settings);

}  // namespace calicostall
