#include "hollow/process_usage.hpp"

#include <dirent.h>

#include <fstream>
#include <sstream>

namespace calicostall {

namespace {

struct CloseDirectory {
    void operator()(DIR* directory) const { closedir(directory); }
};

// The names in a folder; none if it can't be read.
std::vector<std::string> names_in(const std::string& folder) {
    std::vector<std::string> names;
    const std::unique_ptr<DIR, CloseDirectory> directory(opendir(folder.c_str()));
    if (!directory) return names;
    while (const dirent* entry = readdir(directory.get())) {
        const std::string name = entry->d_name;
        if (name != "." && name != "..") names.push_back(name);
    }
    return names;
}

// The number in the line "NAME: NUMBER" of a file; 0 if there is none.
double number_in(const std::string& path, const std::string& name) {
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line))
        if (line.starts_with(name + ":")) return std::atof(line.c_str() + name.size() + 1);
    return 0;
}

}  // namespace

ProcessUsage read_process_usage(std::int64_t pid) {
    const std::string folder = fmt::format("/proc/{}", pid);
    ProcessUsage usage;
    for (const std::string& thread : names_in(folder + "/task")) {
        std::ifstream file(fmt::format("{}/task/{}/schedstat", folder, thread));
        double running_ns = 0;
        if (!(file >> running_ns)) continue;
        usage.cpu_s += running_ns / 1e9;
        usage.is_found = true;
    }
    usage.memory_mb = number_in(folder + "/status", "VmRSS") / 1024;
    usage.peak_mb = number_in(folder + "/status", "VmHWM") / 1024;
    usage.descriptors = std::int64_t(names_in(folder + "/fd").size());
    usage.disk_bytes = std::int64_t(number_in(folder + "/io", "write_bytes"));
    usage.written_bytes = std::int64_t(number_in(folder + "/io", "wchar"));
    return usage;
}

LoggedCounters read_counters(const std::string& log) {
    LoggedCounters counters;
    const std::string_view marker = " counters ";
    const size_t marker_at = log.rfind(marker);
    if (marker_at == std::string::npos) return counters;
    const size_t line_end = log.find('\n', marker_at);
    const size_t break_before = log.rfind('\n', marker_at);
    const size_t line_begin = break_before == std::string::npos ? 0 : break_before + 1;
    counters.at_s = std::atof(log.c_str() + line_begin);
    const size_t values_begin = marker_at + marker.size();
    std::istringstream words(log.substr(values_begin, line_end - values_begin));
    std::string word;
    while (words >> word)
        if (size_t equals = word.find('='); equals != std::string::npos)
            counters.values[word.substr(0, equals)] = std::atof(word.c_str() + equals + 1);
    return counters;
}

}  // namespace calicostall
