#include "hollow/measure.hpp"

namespace calicostall {

void Samples::add(double value) {
    std::lock_guard guard(lock_);
    if (values_.size() < most)
        values_.push_back(value);
    else
        ++dropped_;
}

void Samples::clear() {
    std::lock_guard guard(lock_);
    values_.clear();
    dropped_ = 0;
}

double Samples::at(double share) const {
    std::lock_guard guard(lock_);
    if (values_.empty()) return 0;
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    size_t rank = size_t(std::ceil(share * double(sorted.size())));
    return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

size_t Samples::count() const {
    std::lock_guard guard(lock_);
    return values_.size();
}

boost::json::object Samples::json() const {
    return {{"count", count()}, {"p50", at(0.5)}, {"p90", at(0.9)},
            {"p99", at(0.99)},  {"max", at(1)},   {"dropped", dropped_}};
}

Slope fit_slope(const std::vector<std::pair<double, double>>& points) {
    Slope fit;
    fit.points = points.size();
    if (points.empty()) return fit;
    double count = double(points.size()), mean_x = 0, mean_y = 0;
    for (auto [x, y] : points)
        mean_x += x / count, mean_y += y / count;
    double spread_x = 0, spread_y = 0, together = 0;
    for (auto [x, y] : points)
        spread_x += (x - mean_x) * (x - mean_x), spread_y += (y - mean_y) * (y - mean_y),
            together += (x - mean_x) * (y - mean_y);
    fit.at_zero = mean_y;
    if (spread_x <= 0) return fit;
    fit.slope = together / spread_x;
    fit.at_zero = mean_y - fit.slope * mean_x;
    double left = 0;
    for (auto [x, y] : points)
        left += (y - fit.at(x)) * (y - fit.at(x));
    fit.explained = spread_y > 0 ? 1 - left / spread_y : 1;
    if (points.size() > 2) fit.slope_error = std::sqrt(left / (count - 2) / spread_x);
    return fit;
}

std::optional<double> number_at(const boost::json::value& line, std::string_view path) {
    const boost::json::value* place = &line;
    while (!path.empty()) {
        size_t mark = path.find('.');
        std::string_view name = path.substr(0, mark);
        path = mark == std::string_view::npos ? std::string_view() : path.substr(mark + 1);
        if (!place->is_object()) return std::nullopt;
        place = place->as_object().if_contains(name);
        if (!place) return std::nullopt;
    }
    if (!place->is_number()) return std::nullopt;
    return place->to_number<double>();
}

size_t count_entries(const std::string& folder, const std::function<void(const std::string&)>& each) {
    size_t count = 0;
    if (DIR* open = opendir(folder.c_str())) {
        while (dirent* entry = readdir(open)) {
            std::string name = entry->d_name;
            if (name == "." || name == "..") continue;
            ++count;
            if (each) each(name);
        }
        closedir(open);
    }
    return count;
}

ProcessUse read_use(std::int64_t pid) {
    ProcessUse use;
    std::string base = fmt::format("/proc/{}", pid);
    count_entries(base + "/task", [&](const std::string& thread) {
        std::ifstream stream(base + "/task/" + thread + "/schedstat");
        double running_ns = 0;
        if (stream >> running_ns) use.cpu_s += running_ns / 1e9, use.found = true;
    });
    auto number_after = [](const std::string& path, const std::string& name) -> double {
        std::ifstream stream(path);
        std::string line;
        while (std::getline(stream, line))
            if (line.starts_with(name + ":")) return std::atof(line.c_str() + name.size() + 1);
        return 0;
    };
    use.memory_mb = number_after(base + "/status", "VmRSS") / 1024;
    use.peak_mb = number_after(base + "/status", "VmHWM") / 1024;
    use.descriptors = std::int64_t(count_entries(base + "/fd"));
    use.disk_bytes = std::int64_t(number_after(base + "/io", "write_bytes"));
    use.written_bytes = std::int64_t(number_after(base + "/io", "wchar"));
    return use;
}

LoggedCounters read_counters(const std::string& log) {
    LoggedCounters read;
    size_t mark = log.rfind(" counters ");
    if (mark == std::string::npos) return read;
    size_t begin = log.rfind('\n', mark);
    begin = begin == std::string::npos ? 0 : begin + 1;
    read.at_s = std::atof(log.c_str() + begin);
    std::istringstream line(log.substr(mark + 10, log.find('\n', mark) - mark - 10));
    std::string word;
    while (line >> word)
        if (size_t equals = word.find('='); equals != std::string::npos)
            read.table[word.substr(0, equals)] = std::atof(word.c_str() + equals + 1);
    return read;
}

}  // namespace calicostall
