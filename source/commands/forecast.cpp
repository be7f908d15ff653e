#include "commands/commands.hpp"
#include "commands/options.hpp"
#include "forecast/backtest.hpp"
#include "shared/settings/file.hpp"

namespace calicostall {

namespace {

constexpr double microseconds_per_minute = 60e6;
constexpr std::int64_t max_horizon_spans = 1000;
constexpr std::int64_t max_season_spans = 100000;
constexpr double max_pressure = 10;
constexpr size_t min_warm_up_spans = 6;

double max_of(const std::vector<double>& values) {
    return *std::max_element(values.begin(), values.end());
}

QueueHistory load_history(const std::vector<std::string>& files, Findings& findings) {
    QueueHistory history;
    for (const std::string& file : files) {
        std::optional<std::string> text = read_file(file);
        if (!text)
            findings.add(file, "cannot be read");
        else
            read_history(*text, file, history, findings);
    }
    if (findings.empty() && history.empty())
        findings.add("history", "no line of it in these files; was control run with --history-s?");
    return history;
}

bool has_demand(const QueueHistory& history, const std::string& queue) {
    const auto& spans = history.queues.at(queue).spans;
    return !std::all_of(spans.begin(), spans.end(), [](const auto& each) { return each.second.arrived <= 0; });
}

void print_queues(const QueueHistory& history, const DemandForecast& forecast) {
    fmt::print("{:<44} {:<8} {:>12} {:>12} {:>12}\n", "accelerators needed by queue", "kind", "next span", "last span",
               "at most");
    size_t idle_queues = 0;
    for (const QueueForecast& queue : forecast.queues) {
        if (!has_demand(history, queue.queue)) {
            ++idle_queues;
            continue;
        }
        fmt::print("{:<44} {:<8} {:>12.2f} {:>12.2f} {:>12.2f}\n", queue.queue, queue.is_urgent ? "urgent" : "can wait",
                   queue.mean.front(), queue.mean.back(), max_of(queue.upper));
    }
    if (idle_queues) fmt::print("{} queues had no demand in this time\n", idle_queues);
}

// `minutes`: the length of a span.
void print_totals(const DemandForecast& forecast, const ForecastSettings& settings, double minutes) {
    fmt::print("\nurgent work, at most:     {:.2f} accelerators within {} spans\n", max_of(forecast.urgent_upper),
               settings.horizon_spans);
    fmt::print("work that can wait, mean: {:.2f} accelerators within {} spans\n", max_of(forecast.waiting_mean),
               settings.horizon_spans);
    if (forecast.fleet <= 0)
        fmt::print("no fleet is known, so nothing is said of whether it is enough\n");
    else if (forecast.has_warning)
        fmt::print(
            "WARNING: in {} spans ({:.1f} minutes) demand reaches {:.0f}% of the fleet; urgent work is then expected "
            "to wait\n",
            forecast.first_warning_ahead, double(forecast.first_warning_ahead) * minutes,
            100 * forecast.pressure[forecast.first_warning_ahead - 1]);
    else
        fmt::print("no warning: demand stays below {:.0f}% of the fleet\n", 100 * settings.warning_pressure);
}

void print_backtest(const Backtest& backtest) {
    fmt::print(
        "\npast forecasts against later queues: {} forecasts, {} of them warned, {} without urgent waiting after it; "
        "the next span was off by {:.0f}%\n",
        backtest.forecasts, backtest.warnings, backtest.false_warnings, 100 * backtest.mean_error);
    for (const UrgentWait& event : backtest.urgent_waits) {
        if (event.warning_lead)
            fmt::print("  span {}: urgent tasks waited {:.1f} task-seconds, warned {} spans before\n", event.span,
                       event.waited, *event.warning_lead);
        else
            fmt::print("  span {}: urgent tasks waited {:.1f} task-seconds, NOT warned\n", event.span, event.waited);
    }
    fmt::print("{} times urgent work began to wait, {} of them warned of\n", backtest.urgent_waits.size(),
               backtest.urgent_waits.size() - backtest.missed_count());
}

// Prints what the queues will need, and how past forecasts did against the queues that followed.
int print_forecast(const std::vector<std::string>& files, const ForecastSettings& settings) {
    Findings findings;
    const QueueHistory history = load_history(files, findings);
    if (!findings.empty()) return report_findings(exit_usage_error, findings);
    const DemandForecast forecast = forecast_demand(history, history.last_span + 1, settings);
    const double minutes = double(history.span_length) / microseconds_per_minute;
    fmt::print(
        "history: {} queues, {} spans of {:.2f} minutes, a fleet of {:.1f} accelerators (8 cores count as one)\n\n",
        history.queues.size(), history.last_span - history.first_span + 1, minutes, forecast.fleet);
    print_queues(history, forecast);
    print_totals(forecast, settings, minutes);
    print_backtest(run_backtest(history, settings));
    return 0;
}

}  // namespace

int forecast_command(const cxxopts::ParseResult& arguments) {
    Findings findings;
    ForecastSettings settings;
    const auto horizon = arguments["ahead"].as<std::int64_t>();
    const auto season = arguments["season"].as<std::int64_t>();
    settings.warning_pressure = arguments["pressure"].as<double>();
    if (arguments.count("file") == 0) findings.add("forecast", "needs at least one log");
    if (horizon < 1 || horizon > max_horizon_spans) findings.add("--ahead", "must lie between 1 and 1000");
    if (season < 0 || season > max_season_spans) findings.add("--season", "must lie between 0 and 100000");
    if (!(settings.warning_pressure > 0) || settings.warning_pressure > max_pressure)
        findings.add("--pressure", "must lie above 0 and at most 10");
    if (!findings.empty()) return report_findings(exit_usage_error, findings);
    settings.horizon_spans = size_t(horizon);
    settings.season_spans = size_t(season);
    settings.warm_up_spans = std::max(min_warm_up_spans, 2 * settings.season_spans);
    return print_forecast(arguments["file"].as<std::vector<std::string>>(), settings);
}

}  // namespace calicostall
