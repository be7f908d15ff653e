#include "forecast/history.hpp"

#include <boost/json.hpp>

namespace calicostall {

namespace {

constexpr double max_number = 1e15;

// The JSON of a line of history: what follows "history ", or the line if it is nothing but JSON; else empty.
std::string_view json_of(std::string_view line) {
    const std::string_view marker = "history ";
    const size_t marker_at = line.find("history {");
    if (marker_at != std::string_view::npos) return line.substr(marker_at + marker.size());
    return line.starts_with('{') ? line : std::string_view();
}

// Reads the fields of one line.
class SpanReader {
public:
    SpanReader(const boost::json::object& fields, const std::string& location, Findings& findings)
        : fields_(fields), location_(location), findings_(findings) {}

    QueueSpan read() {
        QueueSpan span;
        span.span = std::int64_t(number("span"));
        span.length = Micros(number("length_ms")) * 1000;
        span.priority = std::int64_t(number("priority"));
        span.arrived = number("arrived");
        span.used = number("used");
        span.waited = number("waited");
        span.fleet = number("fleet");
        const auto* queue = fields_.if_contains("queue");
        if (queue && queue->is_string())
            span.queue = std::string(queue->as_string());
        else
            findings_.add(location_, "'queue' is missing or no text");
        const auto* is_complete = fields_.if_contains("whole");
        span.is_complete = !is_complete || !is_complete->is_bool() || is_complete->as_bool();
        if (span.length <= 0) findings_.add(location_, "'length_ms' must be above 0");
        return span;
    }

private:
    double number(std::string_view name) {
        const auto* field = fields_.if_contains(name);
        if (!field || !field->is_number()) {
            findings_.add(location_, fmt::format("'{}' is missing or no number", name));
            return 0;
        }
        const double value = field->to_number<double>();
        if (!(value >= 0) || value > max_number) findings_.add(location_, fmt::format("'{}' is out of range", name));
        return value;
    }

    const boost::json::object& fields_;
    const std::string& location_;
    Findings& findings_;
};

void read_line(std::string_view json, const std::string& location, QueueHistory& history, Findings& findings) {
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error || !value.is_object()) return findings.add(location, "cannot be read as JSON");
    const size_t findings_before = findings.list().size();
    const QueueSpan span = SpanReader(value.as_object(), location, findings).read();
    if (history.span_length != 0 && span.length > 0 && span.length != history.span_length)
        findings.add(location, "has another length than the spans before it");
    if (findings.list().size() == findings_before) history.add(span);
}

}  // namespace

std::string QueueSpan::to_line() const {
    return boost::json::serialize(boost::json::object{{"span", span},
                                                      {"length_ms", length / 1000},
                                                      {"queue", queue},
                                                      {"priority", priority},
                                                      {"arrived", arrived},
                                                      {"used", used},
                                                      {"waited", waited},
                                                      {"fleet", fleet},
                                                      {"whole", is_complete}});
}

std::int64_t QueueHistory::most_urgent_priority() const {
    std::int64_t most_urgent = std::numeric_limits<std::int64_t>::max();
    for (const auto& [name, queue] : queues)
        most_urgent = std::min(most_urgent, queue.priority);
    return most_urgent;
}

void QueueHistory::add(const QueueSpan& span) {
    const bool is_first = empty();
    span_length = span.length;
    first_span = is_first ? span.span : std::min(first_span, span.span);
    last_span = is_first ? span.span : std::max(last_span, span.span);
    fleet[span.span] = std::max(fleet[span.span], span.fleet);
    Queue& queue = queues[span.queue];
    queue.priority = span.priority;
    auto [entry, is_new] = queue.spans.try_emplace(span.span, span);
    if (is_new) return;
    entry->second.arrived += span.arrived;
    entry->second.used += span.used;
    entry->second.waited += span.waited;
}

void read_history(std::string_view text, const std::string& name, QueueHistory& history, Findings& findings) {
    for (size_t line_number = 1; !text.empty(); ++line_number) {
        const size_t end = text.find('\n');
        const std::string_view json = json_of(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (!json.empty()) read_line(json, fmt::format("{}:{}", name, line_number), history, findings);
    }
}

}  // namespace calicostall
