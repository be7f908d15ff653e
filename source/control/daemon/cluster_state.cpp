// What fronts, agents and daemons outside the membership are told: the leader, the members and the published
// configuration.
#include "control/daemon/control_daemon.hpp"

namespace calicostall {

void ControlDaemon::respond_to_watches(Micros now) {
    const PublishedConfig config = published_config();
    adopt_located_membership();
    const ClusterState state{leadership_.known_term(), config.revision, membership_.version(), is_in_contact(now)};
    watch_.respond(
        state, [&] { return watch_response(config, state.is_in_contact); }, now);
}

bool ControlDaemon::is_in_contact(Micros now) const {
    if (leadership_.is_leading()) {
        const Micros confirmed_at = leader_.confirmed_at();
        return confirmed_at >= 0 && now - confirmed_at < settings_.contact_timeout;
    }
    if (!membership_.is_member()) return leader_locator_ && leader_locator_->is_in_contact(now);
    const std::optional<Micros> last_write_at = leadership_.last_leader_write_at();
    return last_write_at && now - *last_write_at < settings_.contact_timeout;
}

WatchResponse ControlDaemon::watch_response(const PublishedConfig& config, bool is_in_contact) const {
    WatchResponse response;
    response.config_revision = config.revision;
    if (config.text) response.config_bytes = config.text->size();
    response.term = leadership_.known_term();
    response.leader_address = leadership_.leader_address();
    response.membership_version = membership_.version();
    response.is_in_contact = is_in_contact;
    if (!membership_.is_member() && !located_members_.empty()) {
        response.member_addresses = located_members_;
        return response;
    }
    for (const Member& member : membership_.membership().members)
        response.member_addresses.push_back(member.address);
    return response;
}

ConfigTextResponse ControlDaemon::config_text_response(const ConfigTextRequest& request) {
    std::lock_guard guard(mutex_);
    const PublishedConfig config = published_config();
    if (!config.text || config.revision < request.min_revision) return {};
    return {config.revision, *config.text};
}

PublishedConfig ControlDaemon::published_config() {
    return config_reader_.read(replica_, membership_.is_member() ? nullptr : leader_locator_.get());
}

void ControlDaemon::adopt_located_membership() {
    if (!leader_locator_ || membership_.is_member()) return;
    auto [version, members] = leader_locator_->known_members();
    if (version <= membership_.version()) return;
    membership_.raise_version(version);
    located_members_ = std::move(members);
}

}  // namespace calicostall
