#include "control/jobs/calls/config_acceptance.hpp"

#include <boost/json.hpp>

#include "control/jobs/calls/call_responses.hpp"

namespace calicostall {

namespace {

/// Whether two texts hold the same JSON value. Texts that can't be read are the same only byte for byte.
bool is_same_json(const std::string& left, const std::string& right) {
    if (left == right) return true;
    boost::system::error_code left_error;
    boost::system::error_code right_error;
    auto left_value = boost::json::parse(left, left_error);
    auto right_value = boost::json::parse(right, right_error);
    return !left_error && !right_error && left_value == right_value;
}

}  // namespace

ConfigChange read_config_change(const CallRequest& request, Findings& findings) {
    return {parse_config(request.body, findings), parse_if_match(request.if_match), digest_of(request.body)};
}

void ConfigAcceptance::load(const Register& record, const Config& in_force) {
    newest_ = std::make_shared<const Config>(in_force);
    accepted_changes_.load(record, in_force.revision);
}

void ConfigAcceptance::clear() {
    accepted_changes_.clear();
    newest_ = std::make_shared<const Config>();
}

ConfigDecision ConfigAcceptance::decide(const ConfigChange& change, const Findings& findings) const {
    const ChangeStatus status = status_of(change.key());
    if (status == ChangeStatus::accepted) return {ConfigVerdict::acknowledge, {}};
    const bool is_present = change.raises_revision() && is_newest(change);
    if (status == ChangeStatus::accepted_on_other_base)
        return {is_present ? ConfigVerdict::acknowledge : ConfigVerdict::leave_unanswered, {}};
    if (findings.empty() && is_present) return {ConfigVerdict::acknowledge, {}};
    std::optional<Response> refusal = refusal_of(change, findings);
    if (!refusal) return {ConfigVerdict::accept, {}};
    if (status == ChangeStatus::possibly_evicted) return {ConfigVerdict::leave_unanswered, {}};
    return {ConfigVerdict::refuse, std::move(*refusal)};
}

ChangeStatus ConfigAcceptance::status_of(const ChangeKey& change) const {
    return accepted_changes_.lookup(change.revision, change.base, change.digest);
}

ConfigProposal ConfigAcceptance::accept(ConfigChange change) {
    std::vector<Chunk> chunks = accepted_changes_.add({change.config.revision, *change.base(), change.digest});
    newest_ = std::make_shared<const Config>(std::move(change.config));
    return {newest_, std::move(chunks)};
}

bool ConfigAcceptance::is_newest(const ConfigChange& change) const {
    return change.config.revision == newest_->revision && is_same_json(change.config.text, newest_->text);
}

/// Why the change can't be accepted on top of the newest one; none where it can.
std::optional<Response> ConfigAcceptance::refusal_of(const ConfigChange& change, const Findings& findings) const {
    const std::uint64_t current = newest_->revision;
    if (!findings.empty()) return error_response(400, findings.text());
    if (change.if_match.is_malformed) return error_response(400, "If-Match: must be a whole number");
    if (change.base() != current) return error_response(412, fmt::format("If-Match: version {} is current", current));
    if (change.config.revision <= current)
        return error_response(400, fmt::format("revision: must be above {}", current));
    return std::nullopt;
}

}  // namespace calicostall
