#include "control/daemon/published_config.hpp"

#include "shared/settings/config.hpp"

namespace calicostall {

PublishedConfig PublishedConfigReader::read(const Replica& replica, const LeaderLocator* locator) {
    const PublishedConfig own = read_register(replica);
    if (!locator || locator->config_revision() <= own.revision) return own;
    located_text_ = locator->config();
    return {locator->config_revision(), &located_text_};
}

PublishedConfig PublishedConfigReader::read_register(const Replica& replica) {
    auto found = replica.registers.find("published");
    if (found == replica.registers.end() || found->second.head.empty()) return {};
    const Register& value = found->second;
    if (value.version != version_ || value.term != term_) {
        version_ = value.version;
        term_ = value.term;
        revision_ = read_config(value.head).revision;
    }
    return {revision_, &value.head};
}

}  // namespace calicostall
