#include "control/daemon/leadership.hpp"

namespace calicostall {

Leadership::Leadership(const Leader& leader, Election& election, const QuorumClock& clock)
    : leader_(leader), election_(election), clock_(clock) {}

bool Leadership::is_leading() const {
    return leader_.leading() && scheduler_term_ == leader_.term();
}

bool Leadership::is_serving() const {
    return is_leading() && election_.can_serve() && clock_.is_known();
}

void Leadership::begin(Micros now) {
    scheduler_term_ = leader_.term();
    leading_since_ = now;
}

std::optional<Micros> Leadership::leading_since() const {
    if (!leader_.leading()) return std::nullopt;
    return leading_since_;
}

bool Leadership::update_known_leader(Term term, const std::string& address) {
    election_.record_term(term);
    if (term < known_term_ || (term == known_term_ && address == known_leader_)) return false;
    known_term_ = term;
    known_leader_ = address;
    return true;
}

std::optional<std::string> Leadership::other_leader_address() const {
    if (known_leader_.empty() || known_leader_ == own_address_) return std::nullopt;
    return known_leader_;
}

}  // namespace calicostall
