/// A control daemon outside the membership in its relation to the leader: whether an announcement is worth a question,
/// and when to register because none comes. Owned by the daemon. Pure: time is passed in.
#pragma once
#include "common.hpp"
#include "shared/wire/discovery_messages.hpp"

namespace calicostall {

/// All times are microseconds of the monotonic clock.
struct RegistrationSettings {
    /// Without an announcement for so long the daemon registers; a few rounds of the leader's.
    Micros silence = seconds(3);
    /// Between two requests.
    Micros retry_interval = seconds(1);
};

/// What the daemon knows of the cluster when an announcement comes.
struct ClusterKnowledge {
    bool is_member = false;  // as the daemon itself believes
    bool is_in_contact = false;
    Term term;
    std::uint64_t membership_version = 0;
};

/// Example: if (registration.try_request(now)) send_registration_to(leader);
///          if (registration.on_announcement(announcement, known, now)) locator.consult(announcement.leader_address);
class Registration {
public:
    explicit Registration(RegistrationSettings settings = {}) : settings_(settings) {}

    /// The leader announced itself. Only non-members are told, so a daemon that believes itself a member was removed
    /// if the leader names a later membership.
    /// @return whether to ask the leader for what it knows
    bool on_announcement(const LeaderAnnouncement& announcement, const ClusterKnowledge& known, Micros now) {
        const bool is_later_membership = announcement.membership_version > known.membership_version;
        if (known.is_member && !is_later_membership) return false;
        announced_at_ = now;
        return is_later_membership || announcement.term > known.term || !known.is_in_contact;
    }

    /// Whether to register now; if so, that counts as a request.
    bool try_request(Micros now) {
        const bool is_announced = announced_at_ && now - *announced_at_ <= settings_.silence;
        if (is_announced || now < next_request_at_) return false;
        next_request_at_ = now + settings_.retry_interval;
        return true;
    }

private:
    RegistrationSettings settings_;
    std::optional<Micros> announced_at_;
    Micros next_request_at_ = 0;
};

}  // namespace calicostall
