#include "commands/commands.hpp"
#include "commands/options.hpp"
#include "forecast/demand.hpp"

namespace calicostall {

namespace {

// Prints what the queues will need, and how past forecasts did against the queues that followed.
int forecast(const std::vector<std::string>& files, const ForecastSettings& settings) {
    Findings findings;
    History history;
    for (const std::string& file : files) {
        std::optional<std::string> text = read_file(file);
        if (!text)
            findings.add(file, "cannot be read");
        else
            read_history(*text, file, history, findings);
    }
    if (findings.empty() && history.empty())
        findings.add("history", "no line of it in these files; was control run with --history-s?");
    if (!findings.empty()) return report(usage_error, findings);
    Forecast next = forecast_demand(history, history.last + 1, settings);
    double minutes = double(history.length) / 60e6;
    fmt::print(
        "history: {} queues, {} spans of {:.2f} minutes, a fleet of {:.1f} accelerators (8 cores count as one)\n\n",
        history.queues.size(), history.last - history.first + 1, minutes, next.fleet);
    fmt::print("{:<44} {:<8} {:>12} {:>12} {:>12}\n", "accelerators needed by queue", "kind", "next span", "last span",
               "at most");
    size_t idle = 0;
    for (const QueueForecast& queue : next.queues) {
        const auto& spans = history.queues.at(queue.queue).spans;
        if (std::all_of(spans.begin(), spans.end(), [](const auto& each) { return each.second.arrived <= 0; })) {
            ++idle;
            continue;
        }
        fmt::print("{:<44} {:<8} {:>12.2f} {:>12.2f} {:>12.2f}\n", queue.queue, queue.urgent ? "urgent" : "can wait",
                   queue.mean.front(), queue.mean.back(), *std::max_element(queue.upper.begin(), queue.upper.end()));
    }
    if (idle) fmt::print("{} queues had no demand in this time\n", idle);
    fmt::print("\nurgent work, at most:     {:.2f} accelerators within {} spans\n",
               *std::max_element(next.urgent_upper.begin(), next.urgent_upper.end()), settings.ahead);
    fmt::print("work that can wait, mean: {:.2f} accelerators within {} spans\n",
               *std::max_element(next.waiting_mean.begin(), next.waiting_mean.end()), settings.ahead);
    if (next.fleet <= 0)
        fmt::print("no fleet is known, so nothing is said of whether it is enough\n");
    else if (next.warns)
        fmt::print(
            "WARNING: in {} spans ({:.1f} minutes) demand reaches {:.0f}% of the fleet; urgent work is then expected "
            "to wait\n",
            next.first_warned, double(next.first_warned) * minutes, 100 * next.pressure[next.first_warned - 1]);
    else
        fmt::print("no warning: demand stays below {:.0f}% of the fleet\n", 100 * settings.pressure);
    Backtest past = check_past(history, settings);
    fmt::print(
        "\npast forecasts against later queues: {} forecasts, {} of them warned, {} without urgent waiting after it; "
        "the next span was off by {:.0f}%\n",
        past.forecasts, past.warnings, past.false_warnings, 100 * past.mean_off);
    for (const Event& event : past.events) {
        if (event.warned_before)
            fmt::print("  span {}: urgent tasks waited {:.1f} task-seconds, warned {} spans before\n", event.span,
                       event.waited, *event.warned_before);
        else
            fmt::print("  span {}: urgent tasks waited {:.1f} task-seconds, NOT warned\n", event.span, event.waited);
    }
    fmt::print("{} times urgent work began to wait, {} of them warned of\n", past.events.size(),
               past.events.size() - past.missed());
    return 0;
}

}  // namespace

int forecast_command(const cxxopts::ParseResult& given) {
    Findings findings;
    ForecastSettings settings;
    std::int64_t ahead = given["ahead"].as<std::int64_t>(), season = given["season"].as<std::int64_t>();
    settings.pressure = given["pressure"].as<double>();
    if (given.count("file") == 0) findings.add("forecast", "needs at least one log");
    if (ahead < 1 || ahead > 1000) findings.add("--ahead", "must lie between 1 and 1000");
    if (season < 0 || season > 100000) findings.add("--season", "must lie between 0 and 100000");
    if (!(settings.pressure > 0) || settings.pressure > 10)
        findings.add("--pressure", "must lie above 0 and at most 10");
    if (!findings.empty()) return report(usage_error, findings);
    settings.ahead = size_t(ahead);
    settings.season = size_t(season);
    settings.warm_up = std::max<size_t>(6, 2 * settings.season);
    return forecast(given["file"].as<std::vector<std::string>>(), settings);
}

}  // namespace calicostall
