#include "hollow/daemon_settings.hpp"

#include <boost/json.hpp>
#include <fstream>

#include "shared/settings/address.hpp"

namespace calicostall {

namespace {

constexpr std::int64_t port_count = 16;

enum class DaemonRole { control, front };

boost::json::object settings_json(const Experiment& experiment, const std::string& folder, const std::string& name,
                                  const std::string& address, DaemonRole role) {
    const bool is_control = role == DaemonRole::control;
    const std::string ip = address_host(address);
    boost::json::object binds;
    binds[is_control ? "control" : "front"] = address;
    if (!is_control) binds["readiness"] = ip + ":8167";
    boost::json::array seeds;
    for (const std::string& control : experiment.controls)
        seeds.emplace_back(control);
    boost::json::object settings{
        {"node_name", name},
        {"role", is_control ? "control" : "front"},
        {"ip", ip},
        {"zone", "zone-1"},
        {"bind_addrs", std::move(binds)},
        {"port_range", boost::json::array{experiment.first_port, experiment.first_port + port_count - 1}},
        {"seeds", std::move(seeds)},
        {"bootstrap", true},
        {"quorum_member", is_control},
        {"limits", boost::json::object{{"disk_mb", 2048}, {"memory_mb", 4096}, {"max_fds", 20000}}}};
    if (is_control) settings["data_dir"] = folder + "/" + name;
    return settings;
}

}  // namespace

Findings write_daemon_settings(const Experiment& experiment, const std::string& folder) {
    Findings findings;
    auto write = [&](const std::string& name, const std::string& address, DaemonRole role) {
        std::ofstream file(folder + "/" + name + ".json");
        file << boost::json::serialize(settings_json(experiment, folder, name, address, role)) << "\n";
        if (!file.flush()) findings.add(folder, "cannot be written");
    };
    for (size_t index = 0; index < experiment.controls.size(); ++index)
        write(fmt::format("control-{}", index + 1), experiment.controls[index], DaemonRole::control);
    for (size_t index = 0; index < experiment.fronts.size(); ++index)
        write(fmt::format("front-{}", index + 1), experiment.fronts[index], DaemonRole::front);
    return findings;
}

}  // namespace calicostall
