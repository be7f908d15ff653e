#include "forecast/history.hpp"

#include <boost/json.hpp>

namespace calicostall {

std::string QueueSpan::line() const {
    return boost::json::serialize(boost::json::object{{"span", span},
                                                      {"length_ms", length / 1000},
                                                      {"queue", queue},
                                                      {"priority", priority},
                                                      {"arrived", arrived},
                                                      {"used", used},
                                                      {"waited", waited},
                                                      {"fleet", fleet},
                                                      {"whole", whole}});
}

std::int64_t History::most_urgent() const {
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const auto& [name, queue] : queues)
        least = std::min(least, queue.priority);
    return least;
}

void read_history(std::string_view text, const std::string& name, History& history, Findings& findings) {
    size_t line_number = 0;
    while (!text.empty()) {
        size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++line_number;
        size_t mark = line.find("history {");
        std::string_view body = mark != std::string_view::npos ? line.substr(mark + 8)
                                : line.starts_with('{')        ? line
                                                               : std::string_view();
        if (body.empty()) continue;
        std::string where = fmt::format("{}:{}", name, line_number);
        boost::system::error_code error;
        boost::json::value value = boost::json::parse(body, error);
        if (error || !value.is_object()) {
            findings.add(where, "cannot be read as JSON");
            continue;
        }
        const auto& object = value.as_object();
        auto number = [&](std::string_view field) {
            const auto* found = object.if_contains(field);
            if (!found || !found->is_number())
                return findings.add(where, fmt::format("'{}' is missing or no number", field)), 0.0;
            double read = found->to_number<double>();
            if (!(read >= 0) || read > 1e15) findings.add(where, fmt::format("'{}' is out of range", field));
            return read;
        };
        QueueSpan span;
        size_t before = findings.list().size();
        span.span = std::int64_t(number("span"));
        span.length = Micros(number("length_ms")) * 1000;
        span.priority = std::int64_t(number("priority"));
        span.arrived = number("arrived");
        span.used = number("used");
        span.waited = number("waited");
        span.fleet = number("fleet");
        const auto* queue = object.if_contains("queue");
        if (!queue || !queue->is_string())
            findings.add(where, "'queue' is missing or no text");
        else
            span.queue = std::string(queue->as_string());
        const auto* whole = object.if_contains("whole");
        span.whole = !whole || !whole->is_bool() || whole->as_bool();
        if (span.length <= 0) findings.add(where, "'length_ms' must be above 0");
        if (history.length != 0 && span.length > 0 && span.length != history.length)
            findings.add(where, "has another length than the spans before it");
        if (findings.list().size() != before) continue;
        if (history.empty()) history.first = history.last = span.span;
        history.length = span.length;
        history.first = std::min(history.first, span.span);
        history.last = std::max(history.last, span.span);
        History::Queue& mine = history.queues[span.queue];
        mine.priority = span.priority;
        history.fleet[span.span] = std::max(history.fleet[span.span], span.fleet);
        auto [place, fresh] = mine.spans.try_emplace(span.span, span);
        if (!fresh) {
            // The record changed hands in this span: each owner counted its own part.
            place->second.arrived += span.arrived;
            place->second.used += span.used;
            place->second.waited += span.waited;
        }
    }
}

}  // namespace calicostall
