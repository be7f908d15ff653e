// What the commands of the three roles share: what signals ask of them, the settings file that may change, the event
// loop.
#pragma once
#include "commands/options.hpp"
#include "shared/http/event_loop.hpp"

namespace calicostall {

// What a role lets its process do with it.
struct RoleActions {
    std::function<Findings()> open;  // opens its addresses and files
    // Ends its work in order, then calls `on_shut_down`.
    std::function<void(std::function<void()> on_shut_down)> begin_graceful_shutdown;
    std::function<void(const Settings& settings)> apply_settings;  // its settings file has changed
};

// The actions of a role, which must outlive them.
template <class Role>
RoleActions actions_of(Role& role) {
    return {[&role] { return role.open(); },
            [&role](std::function<void()> on_shut_down) { role.begin_graceful_shutdown(std::move(on_shut_down)); },
            [&role](const Settings& settings) { role.apply_settings(settings); }};
}

// Reads the settings file of a role, and checks that it names the address that the role serves.
// Example: load_role_settings(path, "front", &Settings::front_address, findings)
SettingsFile load_role_settings(const std::string& path, const char* address_name, std::string Settings::*address,
                                Findings& findings);

// Runs a role until a signal asks it to stop; the settings file is read again on SIGHUP and every two seconds, and
// handed over when it changed and is valid. `text` is the text of that file that the role began with. Doesn't return
// but for a role that can't be opened; then it returns the exit status.
int run_role(const RoleActions& role, EventLoop& loop, const std::string& path, std::string text);

}  // namespace calicostall
