/// Which configuration changes of operators are accepted. Pure: no I/O, no time; the caller proposes and answers.
#pragma once
#include "control/jobs/calls/accepted_changes.hpp"
#include "control/jobs/calls/if_match.hpp"
#include "shared/http/response.hpp"
#include "shared/settings/config.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

/// What makes a change the same change again when it is sent twice.
struct ChangeKey {
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> base;  ///< none if `If-Match` is missing or malformed
    TextDigest digest;                  ///< of the request's body
};

/// A configuration that an operator wants in force, as read from the PUT request.
struct ConfigChange {
    Config config;
    IfMatch if_match;
    TextDigest digest;  ///< of the request's body

    std::optional<std::uint64_t> base() const { return if_match.version; }
    ChangeKey key() const { return {config.revision, base(), digest}; }

    /// Whether the revision is above the base that is named. No other change is ever valid; one whose text was accepted
    /// on another base is neither acknowledged nor refused.
    bool raises_revision() const { return !base() || *base() < config.revision; }
};

/// Reads a change; what is wrong with its text is added to `findings`.
ConfigChange read_config_change(const CallRequest& request, Findings& findings);

/// What becomes of a change.
enum class ConfigVerdict {
    acknowledge,       ///< it was accepted before: 200 once a majority has it
    leave_unanswered,  ///< it may have been accepted: neither 200 nor a refusal would surely be true
    refuse,            ///< it can't be accepted on top of the newest one
    accept             ///< it is to be proposed
};

struct ConfigDecision {
    ConfigVerdict verdict;
    Response refusal;  ///< only with `refuse`
};

/// An accepted change, as it is to be proposed to the record.
struct ConfigProposal {
    std::shared_ptr<const Config> config;
    std::vector<Chunk> chunks;  ///< of the `config` register, beside the configuration's text
};

/// Decides on configuration changes by what this leader has accepted so far. Owns the list of accepted changes and the
/// newest accepted configuration, committed or not.
/// Example: if (acceptance.decide(change, findings).verdict == ConfigVerdict::accept) acceptance.accept(change);
class ConfigAcceptance {
public:
    /// A new leader reads the list of accepted changes from the `config` register.
    /// @param in_force  the configuration that the register holds
    void load(const Register& record, const Config& in_force);
    void clear();

    ConfigDecision decide(const ConfigChange& change, const Findings& findings) const;

    ChangeStatus status_of(const ChangeKey& change) const;

    /// Makes the change the newest one. `decide` must have said `accept`, so the base is there.
    ConfigProposal accept(ConfigChange change);

private:
    bool is_newest(const ConfigChange& change) const;
    std::optional<Response> refusal_of(const ConfigChange& change, const Findings& findings) const;

    AcceptedChanges accepted_changes_;
    std::shared_ptr<const Config> newest_ = std::make_shared<const Config>();
};

}  // namespace calicostall
