// The only place where the model checker touches the protocol core: Owner (proposer) and Replica run unchanged behind
// these functions. When their interface changes, this file and protocol.cpp follow, and nothing else here does.
#pragma once
#include "control/store/owner.hpp"
#include "control/store/replica.hpp"
#include "model/digest.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall::model {

using Ask = std::variant<PrepareAsk, WriteAsk>;
using Answer = std::variant<PrepareAnswer, WriteAnswer>;

// What a proposer wants carried to one member.
struct OutgoingAsk {
    std::uint64_t ticket = 0;
    std::string address;
    Identity to;
    Ask ask;
};

// The model's clock stands still: every wait of the proposer is set to nothing, and the order of steps is free.
constexpr Micros model_now = seconds(100);

// Operations that ended during one call of the proposer, in order.
struct Outcome {
    std::uint64_t operation = 0;
    bool committed = false;
};

// The proposer of one process. Copyable, so that the checker can branch: its callbacks hold nothing but the number of
// their operation, and report to a list that the running call has set up.
class Proposer {
public:
    // `batch_bytes`: the most that one write carries; 1 makes each entry a write of its own.
    Proposer(Identity self, size_t batch_bytes);

    std::vector<Outcome> take_over(const Core& core, const Replica& own);
    std::vector<Outcome> give_up();
    std::vector<Outcome> propose(const std::string& key, std::optional<std::string> fixed, const Patch& patch,
                                 std::uint64_t operation);
    std::vector<Outcome> forget(const std::string& key);
    std::vector<Outcome> confirm(const std::string& key, std::uint64_t operation);
    std::vector<Outcome> change_core(const Core& core, std::uint64_t operation);
    std::vector<Outcome> answered(std::uint64_t ticket, const Answer& answer);
    // `prepare`: whether the message that got no answer was a prepare.
    std::vector<Outcome> unanswered(std::uint64_t ticket, bool prepare);
    std::vector<OutgoingAsk> pump();
    void add_learner(const Member& member) { owner_.add_learner(member); }
    void probe() { owner_.probe(); }

    bool idle() const { return owner_.state() == Owner::State::idle; }
    bool acting() const { return owner_.acting(); }
    Epoch epoch() const { return owner_.epoch(); }
    const Core& core() const { return owner_.core(); }
    const std::map<std::string, Register>& registers() const { return owner_.registers(); }
    bool has_learner(Identity identity) const { return owner_.has_learner(identity); }
    bool learner_ready(Identity identity) const { return owner_.learner_ready(identity); }
    bool heard(Identity identity) const { return owner_.heard_since(identity, model_now); }
    // Whether the next change of membership may begin, as far as the proposer itself knows.
    bool may_change_core() const;
    // Whether the ticket is of the message that the proposer waits for; others are ignored when they come.
    bool waits_for(std::uint64_t ticket) const;
    std::uint64_t value_version(const std::string& key) const;

    void digest(Digester& digester) const;

private:
    template <class Call>
    std::vector<Outcome> collect(Call call);

    Owner owner_;
};

struct Served {
    Answer answer;
    Change change;
    bool granted = false;
};
// The replica's side of one message. Trust is always given: any candidate may win any promise, which covers all that a
// failure detector could say.
Served serve(Replica& replica, const Ask& ask);

bool is_pre_vote(const PrepareAsk& ask);
std::string text_of(const Ask& ask);
std::string text_of(const Answer& answer);
Digest digest_of(const Ask& ask);
Digest digest_of(const Answer& answer);
void digest(Digester& digester, const Replica& replica);
Identity sender_of(const Ask& ask);

}  // namespace calicostall::model
