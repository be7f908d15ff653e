#include "hollow/daemon_probe.hpp"

#include "shared/settings/file.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

DaemonProbe DaemonProbe::read(const std::string& folder, const std::string& name, const std::string& address) {
    DaemonProbe probe{name, address};
    probe.pid = std::atoll(read_file(folder + "/" + name + ".pid").value_or("0").c_str());
    if (probe.pid > 0) probe.usage = read_process_usage(probe.pid);
    probe.counters = read_counters(read_file(folder + "/" + name + ".log").value_or(""));
    return probe;
}

}  // namespace calicostall
