// Compiled without access control: the digest of a proposer takes in all of its state, and a state that the digest
// forgot would be skipped as visited. Nothing here changes a private field.
#include "model/protocol.hpp"

namespace calicostall::model {
namespace {

std::vector<Outcome>* running_outcomes = nullptr;

// The callback of an operation: no state but its number.
struct Completion {
    std::uint64_t operation;
    void operator()(bool committed) const {
        if (running_outcomes) running_outcomes->push_back({operation, committed});
    }
};

std::uint64_t operation_of(const std::function<void(bool)>& callback) {
    const Completion* completion = callback.target<Completion>();
    return completion ? completion->operation : ~std::uint64_t(0);
}

OwnerSettings settings_of(size_t batch_bytes) {
    OwnerSettings settings;
    settings.retry = 0;
    settings.ask_again = 0;
    settings.gather_most = 0;
    settings.batch_bytes = batch_bytes;
    return settings;
}

void add_core(Digester& digester, const Core& core) {
    digester.add(pack(core));
}

void add_registers(Digester& digester, const std::map<std::string, Register>& registers) {
    digester.add(std::uint64_t(registers.size()));
    for (const auto& [key, value] : registers)
        digester.add(key).add(pack(value));
}

void add_versions(Digester& digester, const std::map<std::string, Version>& versions) {
    digester.add(std::uint64_t(versions.size()));
    for (const auto& [key, version] : versions)
        digester.add(key).add(version);
}

template <class Missing>
void digest_missing(Digester& digester, const Missing& missing) {
    digester.add(missing.since).add(std::uint64_t(missing.parts.size()));
    for (std::uint64_t part : missing.parts)
        digester.add(part);
    digester.add(std::uint64_t(missing.replaces) * 2 + missing.whole);
}

template <class Link>
void digest_link(Digester& digester, const Link& link) {
    digester.add(pack(link.member))
        .add(std::uint64_t(link.in_flight_ticket != 0))
        .add(link.round)
        .add(link.in_flight_round);
    std::uint64_t flags = 0;
    for (bool flag : {link.ready, link.compared, link.adopting, link.synced, link.completing, link.gone,
                      link.heard_at >= 0, link.answered_from >= 0, link.written_at >= 0})
        flags = flags * 2 + flag;
    digester.add(flags).add(std::uint64_t(link.backlog.missing_.size()));
    for (const auto& [key, missing] : link.backlog.missing_) {
        digester.add(key);
        digest_missing(digester, missing);
    }
    add_versions(digester, link.has);
    add_versions(digester, link.alike);
    digester.add(std::uint64_t(link.excepted.size()));
    for (const std::string& key : link.excepted)
        digester.add(key);
    digester.add(std::uint64_t(link.in_flight.size()));
    for (const auto& [key, flight] : link.in_flight) {
        digester.add(key).add(flight.version);
        digest_missing(digester, flight.missing);
    }
    add_versions(digester, link.purges);
    add_versions(digester, link.purging);
}

}  // namespace

Proposer::Proposer(Identity self, size_t batch_bytes) : owner_(settings_of(batch_bytes), self) {
    owner_.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
}

template <class Call>
std::vector<Outcome> Proposer::collect(Call call) {
    std::vector<Outcome> outcomes;
    running_outcomes = &outcomes;
    call();
    running_outcomes = nullptr;
    return outcomes;
}

std::vector<Outcome> Proposer::take_over(const Core& core, const Replica& own) {
    Epoch superseded = owner_.superseded_by.value_or(Epoch{});
    owner_.superseded_by.reset();
    return collect([&] { owner_.take_over(core, std::max(own.promised, superseded), own.registers); });
}

std::vector<Outcome> Proposer::give_up() {
    return collect([&] { owner_.give_up(); });
}

std::vector<Outcome> Proposer::propose(const std::string& key, std::optional<std::string> fixed, const Patch& patch,
                                       std::uint64_t operation) {
    return collect([&] { owner_.propose(key, std::move(fixed), patch, Completion{operation}); });
}

std::vector<Outcome> Proposer::forget(const std::string& key) {
    return collect([&] { owner_.remove(key); });
}

std::vector<Outcome> Proposer::confirm(const std::string& key, std::uint64_t operation) {
    return collect([&] { owner_.confirm(key, Completion{operation}); });
}

std::vector<Outcome> Proposer::change_core(const Core& core, std::uint64_t operation) {
    return collect([&] {
        if (!owner_.set_core(core, pack(core), Completion{operation}))
            throw std::logic_error("a change of membership was refused that may_change_core() allowed");
    });
}

std::vector<Outcome> Proposer::answered(std::uint64_t ticket, const Answer& answer) {
    return collect([&] { std::visit([&](const auto& each) { owner_.take(ticket, &each, model_now); }, answer); });
}

std::vector<Outcome> Proposer::unanswered(std::uint64_t ticket, bool prepare) {
    return collect([&] {
        if (prepare)
            owner_.take(ticket, static_cast<const PrepareAnswer*>(nullptr), model_now);
        else
            owner_.take(ticket, static_cast<const WriteAnswer*>(nullptr), model_now);
    });
}

std::vector<OutgoingAsk> Proposer::pump() {
    std::vector<OutgoingAsk> asks;
    for (OutgoingMessage& message : owner_.messages_due(model_now))
        asks.push_back({message.ticket, message.to.address, message.to.identity, std::move(message.ask)});
    return asks;
}

bool Proposer::may_change_core() const {
    return owner_.membership_settled();
}

bool Proposer::waits_for(std::uint64_t ticket) const {
    return std::any_of(owner_.links_.begin(), owner_.links_.end(),
                       [&](const auto& each) { return each.second.in_flight_ticket == ticket; });
}

std::uint64_t Proposer::value_version(const std::string& key) const {
    auto found = owner_.registers().find(key);
    return found == owner_.registers().end() ? 0 : found->second.version.value;
}

void Proposer::digest(Digester& digester) const {
    digester.add(std::uint64_t(owner_.state_))
        .add(owner_.epoch_)
        .add(owner_.adopted_core_ ? pack(*owner_.adopted_core_) : std::string());
    digester.add(owner_.floor_version_).add(owner_.round_wanted_).add(std::uint64_t(owner_.confirmed_at_ >= 0));
    add_core(digester, owner_.core_);
    add_registers(digester, owner_.registers_);
    add_registers(digester, owner_.own_registers_);
    digester.add(owner_.sequence_).add(owner_.takeover_sequence_).add(owner_.core_sequence_);
    digester.add(std::uint64_t(owner_.core_changing_) * 2 + owner_.draining_);
    digester.add(owner_.superseded_by.value_or(Epoch{})).add(operation_of(owner_.on_core_settled_));
    digester.add(std::uint64_t(owner_.chosen_.size()));
    for (const auto& [key, content] : owner_.chosen_)
        digester.add(key).add(content.first).add(content.second);
    digester.add(std::uint64_t(owner_.links_.size()));
    for (const auto& [identity, link] : owner_.links_)
        digest_link(digester, link);
    digester.add(std::uint64_t(owner_.grants_.size()));
    for (const auto& [identity, grant] : owner_.grants_)
        digester.add(identity).add(pack(grant));
    digester.add(std::uint64_t(owner_.learners_.size()));
    for (const auto& [identity, member] : owner_.learners_)
        digester.add(pack(member));
    for (const std::string& key : owner_.tombstones_)
        digester.add(key);
    digester.add(std::uint64_t(owner_.waits_.size()));
    for (const auto& wait : owner_.waits_) {
        digester.add(wait.key).add(wait.version).add(wait.round).add(operation_of(wait.callback));
    }
}

Served serve(Replica& replica, const Ask& ask) {
    Served served;
    if (const auto* prepare = std::get_if<PrepareAsk>(&ask)) {
        auto [answer, change] = replica.prepare(*prepare, true);
        served.granted = answer.verdict == Verdict::granted;
        served.answer = std::move(answer);
        served.change = std::move(change);
    } else {
        auto [answer, change] = replica.write(std::get<WriteAsk>(ask));
        served.answer = std::move(answer);
        served.change = std::move(change);
    }
    return served;
}

bool is_pre_vote(const PrepareAsk& ask) {
    return ask.kind == PrepareKind::pre_vote;
}

std::string text_of(const Ask& ask) {
    if (const auto* prepare = std::get_if<PrepareAsk>(&ask)) {
        const char* kind = prepare->kind == PrepareKind::grant      ? "prepare"
                           : prepare->kind == PrepareKind::pre_vote ? "pre-vote"
                                                                    : "late prepare";
        return fmt::format("{} of epoch {}", kind, prepare->epoch.value);
    }
    const WriteAsk& write = std::get<WriteAsk>(ask);
    std::string text = fmt::format("write of epoch {} [", write.epoch.value);
    for (const WriteEntry& entry : write.entries)
        text += fmt::format("{}{}={}@{}", text.back() == '[' ? "" : " ", entry.key,
                            entry.key == "core" ? "..." : entry.moving, entry.version.value);
    for (const Purge& purge : write.purges)
        text += fmt::format(" purge {}@{}", purge.key, purge.version.value);
    return text + (write.complete ? "] complete" : "]");
}

std::string text_of(const Answer& answer) {
    static constexpr const char* names[] = {"granted", "outdated", "untrusted", "stranger", "error", "ready"};
    return std::visit(
        [](const auto& each) {
            return fmt::format("{}, promised {}", names[size_t(each.verdict)], each.promised.value);
        },
        answer);
}

Digest digest_of(const Ask& ask) {
    return std::visit([](const auto& each) { return Digester().add(pack(each)).finish(); }, ask);
}

Digest digest_of(const Answer& answer) {
    return std::visit([](const auto& each) { return Digester().add(pack(each)).finish(); }, answer);
}

void digest(Digester& digester, const Replica& replica) {
    digester.add(replica.identity)
        .add(replica.promised)
        .add(replica.promised_to)
        .add(replica.synced)
        .add(replica.adopted);
    add_registers(digester, replica.registers);
}

Identity sender_of(const Ask& ask) {
    return std::visit([](const auto& each) { return each.from; }, ask);
}

}  // namespace calicostall::model
