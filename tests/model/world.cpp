#include "model/world.hpp"

namespace calicostall::model {
namespace {

constexpr std::uint64_t founder_identity = 100;

std::string address_of(size_t place) {
    return fmt::format("d{}", place);
}

std::uint64_t life_of(size_t place, const Process& process) {
    return std::uint64_t(place) << 32 | process.life;
}

void persist(std::map<std::string, std::string>& disk, const Change& change) {
    for (const auto& [name, bytes] : change.entries) {
        if (bytes)
            disk[name] = *bytes;
        else
            disk.erase(name);
    }
}

// Every value is written twice, as the head and as part 1, so that a half-written value shows.
constexpr std::uint64_t value_part = 1;

std::map<std::string, std::string> values_of(const std::map<std::string, Register>& registers, std::string& violated) {
    std::map<std::string, std::string> values;
    for (const auto& [key, value] : registers) {
        values[key] = value.moving;
        auto part = value.parts.find(value_part);
        if (key.starts_with("job/") && (part == value.parts.end() ? std::string() : part->second) != value.moving)
            violated = fmt::format("half a value of {}: its head is {}, its part another", key, value.moving);
    }
    return values;
}

}  // namespace

Core core_of(const std::vector<std::uint64_t>& numbers) {
    Core core;
    for (size_t place = 0; place < numbers.size(); ++place) {
        core.members.push_back({numbers[place], Identity{founder_identity + numbers[place]}, address_of(place), ""});
        core.next_number = std::max(core.next_number, numbers[place] + 1);
    }
    core.size_wanted = numbers.size();
    return core;
}

World::World(const Core& core, size_t spares, const Bounds& bounds) : bounds_(bounds) {
    auto add = [&](Identity identity, bool member) {
        Process& process = processes_.emplace_back();
        Process::Disk disk = {{"m/identity", pack(Epoch{identity.value})}};
        Replica replica;
        replica.identity = identity;
        if (member) persist(disk, replica.found("core", Register{Epoch{0}, Version{1}, {}, pack(core), {}}));
        process.replica = CopyOnWrite(std::move(replica));
        if (bounds_.crashes != 0) process.disk = CopyOnWrite(std::move(disk));
    };
    for (const Member& member : core.members)
        add(member.identity, true);
    for (size_t spare = 0; spare < spares; ++spare)
        add(Identity{next_identity_++}, false);
    History& history = history_.change();
    history.end(history.begin_write(history.propose("core", "", pack(core)), 0), true);
}

Digest Process::digest() const {
    Digester digester;
    digester.add(std::uint64_t(up) * 4 + acted * 2 + changing_core).add(life).add(core_operation);
    digester.add(replica.digest([](const Replica& value, Digester& into) { model::digest(into, value); }));
    digester.add(proposer.digest([](const Proposer& value, Digester& into) { value.digest(into); }));
    digester.add(disk.digest([](const Disk& value, Digester& into) {
        for (const auto& [name, bytes] : value)
            into.add(name).add(bytes);
    }));
    digester.add(desk.digest([](const OrderDesk& value, Digester& into) { value.digest(into); }));
    for (const WaitingOrder& each : waiting_orders)
        digester.add(each.operation).add(std::uint64_t(each.index)).add(std::uint64_t(each.which));
    digester.add(std::uint64_t(unsynced.size()));
    for (const Unsynced& each : unsynced) {
        for (const auto& [name, bytes] : each.change.entries)
            digester.add(name).add(bytes ? *bytes : std::string("(dropped)"));
        digester.add(each.answer->digest);
    }
    return digester.finish();
}

std::optional<size_t> World::place_of(const std::string& address) const {
    size_t place = std::stoul(address.substr(1));
    return place < size() ? std::optional(place) : std::nullopt;
}

size_t World::place_of(Identity identity) const {
    for (size_t place = 0; place < size(); ++place)
        if (process(place).replica->identity == identity) return place;
    return size();
}

// --- which steps there are ---

bool World::may_lose(size_t place) const {
    Identity identity = process(place).replica->identity;
    for (const std::string& packed : history_->possible_values("core")) {
        auto core = unpack<Core>(packed);
        if (!core || !core->find(identity)) continue;
        size_t lost = 0;
        for (const Member& member : core->members) {
            size_t holder = place_of(member.identity);
            lost += member.identity == identity || holder == size() || !process(holder).up;
        }
        if (lost > (core->members.size() - 1) / 2) return false;
    }
    return true;
}

// The rule of the daemon: a majority of the others is heard, and no other change is under way.
bool World::may_remove(const Process& process, const Member& member) const {
    const Proposer& proposer = *process.proposer;
    const Core& core = proposer.core();
    if (process.changing_core || !proposer.may_change_core()) return false;
    bool somebody_joins = std::any_of(processes_.begin(), processes_.end(), [&](const Process& each) {
        return proposer.has_learner(each.replica->identity);
    });
    if (core.members.size() <= 3 && !somebody_joins) return false;
    if (member.identity == process.replica->identity) return false;
    // The daemon counts whom it heard within the last second; here nobody whose process or disk is gone is heard.
    size_t heard = 0;
    for (const Member& other : core.members) {
        size_t place = place_of(other.identity);
        bool there = place != size() && this->process(place).up && proposer.heard(other.identity);
        heard += other.identity != member.identity && (other.identity == process.replica->identity || there);
    }
    return heard >= (core.members.size() - 1) / 2 + 1;
}

std::vector<Step> World::steps() const {
    using Kind = Step::Kind;
    std::vector<Step> steps;
    auto add = [&](Kind kind, size_t first, size_t second = 0) {
        steps.push_back({kind, std::uint16_t(first), std::uint16_t(second)});
    };
    for (size_t index = 0; index < network_.size(); ++index) {
        const Message& message = *network_[index];
        if (bounds_.cut_off.contains(message.from) != bounds_.cut_off.contains(message.to)) continue;
        bool live = is_live(message);
        if (message.answer) {
            add(Kind::deliver_answer, index);
        } else if (process(message.to).up) {
            bool fine = !bounds_.exchanges || spent_.timeouts < bounds_.timeouts || !live;
            if (bounds_.exchanges && live) add(Kind::exchange, index);
            if (fine) add(Kind::deliver_ask, index);
            if (spent_.duplicates < bounds_.duplicates) add(Kind::duplicate, index);
        }
        if (live && spent_.timeouts < bounds_.timeouts) {
            add(Kind::time_out, index, 0);
            if (bounds_.late && !message.answer) add(Kind::time_out, index, 1);
        }
    }
    for (size_t place = 0; place < size(); ++place) {
        const Process& process = processes_[place];
        if (!process.up) continue;
        if (!process.unsynced.empty()) add(Kind::sync, place);
        if (spent_.crashes < bounds_.crashes) add(Kind::crash, place);
        if (spent_.losses < bounds_.losses && may_lose(place)) add(Kind::lose, place);
        if (spent_.wipes < bounds_.wipes && may_lose(place)) add(Kind::wipe, place);
        bool idle = process.idle();
        bool candidate = bounds_.candidates.empty() || std::find(bounds_.candidates.begin(), bounds_.candidates.end(),
                                                                 place) != bounds_.candidates.end();
        if (idle) {
            auto found = process.replica->registers.find("core");
            if (candidate && spent_.takeovers < bounds_.takeovers && found != process.replica->registers.end()) {
                auto core = unpack<Core>(found->second.moving);
                if (core && core->find(process.replica->identity)) add(Kind::take_over, place);
            }
            continue;
        }
        if (!process.proposer->acting()) continue;
        for (size_t key = 0; key < bounds_.keys.size(); ++key) {
            if (spent_.proposals < bounds_.proposals && bounds_.keys[key] != "config") add(Kind::propose, place, key);
            if (spent_.forgets < bounds_.forgets && process.proposer->registers().contains(bounds_.keys[key]))
                add(Kind::forget, place, key);
            if (spent_.reads < bounds_.reads) add(Kind::read, place, key);
        }
        for (size_t order = 0; order < bounds_.order_list.size() && spent_.orders < bounds_.orders; ++order)
            add(Kind::order, place, order);
        const Core& core = process.proposer->core();
        if (spent_.removals < bounds_.removals)
            for (size_t index = 0; index < core.members.size(); ++index)
                if (may_remove(process, core.members[index])) add(Kind::remove, place, index);
        if (spent_.joins < bounds_.joins) {
            for (size_t other = 0; other < size(); ++other) {
                Identity identity = this->process(other).replica->identity;
                if (!this->process(other).up || core.find(identity)) continue;
                if (!process.proposer->has_learner(identity))
                    add(Kind::learn, place, other);
                else if (process.proposer->learner_ready(identity) && !process.changing_core &&
                         process.proposer->may_change_core())
                    add(Kind::admit, place, other);
            }
        }
    }
    return steps;
}

// --- what each step does ---

std::string World::take(const Step& step) {
    using Kind = Step::Kind;
    std::string violated;
    switch (step.kind) {
        case Kind::deliver_ask:
            violated = deliver_ask(step.first, false);
            break;
        case Kind::exchange:
            violated = exchange(step.first);
            break;
        case Kind::duplicate:
            ++spent_.duplicates;
            violated = deliver_ask(step.first, true);
            break;
        case Kind::deliver_answer:
            violated = deliver_answer(step.first);
            break;
        case Kind::time_out:
            ++spent_.timeouts;
            violated = time_out(step.first, step.second != 0);
            break;
        case Kind::sync:
            violated = sync(step.first);
            break;
        case Kind::crash:
            ++spent_.crashes;
            restart(step.first);
            break;
        case Kind::lose:
            ++spent_.losses;
            lose(step.first);
            break;
        case Kind::wipe:
            ++spent_.wipes;
            violated = wipe(step.first);
            break;
        case Kind::take_over:
            ++spent_.takeovers;
            violated = take_over(step.first);
            break;
        case Kind::propose:
            ++spent_.proposals;
            violated = propose(step.first, bounds_.keys[step.second]);
            break;
        case Kind::read: {
            ++spent_.reads;
            const std::string& key = bounds_.keys[step.second];
            Proposer& proposer = change(step.first).proposer.change();
            auto found = proposer.registers().find(key);
            std::string value = found == proposer.registers().end() ? std::string() : found->second.moving;
            violated = after(step.first,
                             proposer.confirm(key, history_.change().begin_read(key, value, proposer.epoch().value)));
            break;
        }
        case Kind::forget:
            ++spent_.forgets;
            violated = forget(step.first, bounds_.keys[step.second]);
            break;
        case Kind::remove:
            ++spent_.removals;
            violated = remove(step.first, process(step.first).proposer->core().members[step.second].identity);
            break;
        case Kind::learn: {
            Proposer& proposer = change(step.first).proposer.change();
            proposer.add_learner({0, process(step.second).replica->identity, address_of(step.second), ""});
            violated = after(step.first, {});
            break;
        }
        case Kind::admit: {
            ++spent_.joins;
            Core core = process(step.first).proposer->core();
            core.members.push_back(
                {core.next_number++, process(step.second).replica->identity, address_of(step.second), ""});
            violated = change_core(step.first, core);
            break;
        }
        case Kind::order:
            ++spent_.orders;
            violated = order(step.first, step.second);
            break;
    }
    if (violated.empty() && bounds_.eager) violated = deliver_eagerly();
    if (!bounds_.late && bounds_.exchanges) drop_strays();
    return violated;
}

// Whether the proposer still waits for the answer.
bool World::is_live(const Message& message) const {
    const Process& asker = process(message.from);
    return asker.up && asker.life == message.from_life && asker.proposer && asker.proposer->waits_for(message.ticket);
}

std::string World::deliver_eagerly() {
    std::set<Digest> delivered;  // one that is refused and sent again waits for the next step
    for (size_t index = 0; index < network_.size();) {
        const Message& message = *network_[index];
        const auto* prepare = std::get_if<PrepareAsk>(&message.ask);
        bool reachable =
            process(message.to).up && bounds_.cut_off.contains(message.from) == bounds_.cut_off.contains(message.to);
        bool eager = message.from == message.to || (prepare && is_pre_vote(*prepare));
        if (!eager || message.answer || !reachable || !is_live(message)) {
            ++index;
            continue;
        }
        if (!delivered.insert(message.digest).second) {
            ++index;
            continue;
        }
        std::string violated = exchange(index);
        if (!violated.empty()) return violated;
        index = 0;
    }
    return {};
}

void World::drop_strays() {
    std::erase_if(network_, [&](const auto& message) { return !is_live(*message); });
}

// The ask arrives and is answered at once.
std::string World::exchange(size_t index) {
    size_t before = network_.size();
    std::string violated = deliver_ask(index, false);
    if (violated.empty() && network_.size() == before && network_.back()->answer)
        violated = deliver_answer(network_.size() - 1);
    return violated;
}

std::string World::deliver_ask(size_t index, bool keep) {
    std::shared_ptr<const Message> message = network_[index];
    if (!keep) network_.erase(network_.begin() + std::ptrdiff_t(index));
    Process& process = change(message->to);
    CopyOnWrite<Replica> before = process.replica;
    Served served = serve(process.replica.change(), message->ask);
    std::string violated = check_rising(message->to, *before);
    std::vector<Outcome> outcomes;
    bool gave_up = served.granted && message->from != message->to && !process.idle();
    if (gave_up) outcomes = process.proposer.change().give_up();
    auto answer = std::make_shared<Message>(*message);
    answer->answer = std::move(served.answer);
    answer->digest = Digester().add(message->digest).add(model::digest_of(*answer->answer)).finish();
    process.unsynced.push_back({std::move(served.change), answer});
    bool crash_may_come = spent_.crashes < bounds_.crashes;
    // A proposer that gave up has outcomes to tell; one that was not touched has nothing new to send.
    if (violated.empty() && gave_up) violated = after(message->to, std::move(outcomes));
    if (!crash_may_come) {
        while (violated.empty() && !this->process(message->to).unsynced.empty())
            violated = sync(message->to);
    }
    return violated;
}

std::string World::sync(size_t place) {
    Process& process = change(place);
    Process::Unsynced first = std::move(process.unsynced.front());
    process.unsynced.erase(process.unsynced.begin());
    if (process.disk) persist(process.disk.change(), first.change);
    if (bounds_.late || is_live(*first.answer)) network_.push_back(first.answer);
    return {};
}

std::string World::deliver_answer(size_t index) {
    std::shared_ptr<const Message> message = network_[index];
    network_.erase(network_.begin() + std::ptrdiff_t(index));
    if (process(message->from).life != message->from_life || !process(message->from).proposer) return {};
    Process& process = change(message->from);
    return after(message->from, process.proposer.change().answered(message->ticket, *message->answer));
}

std::string World::time_out(size_t index, bool late) {
    std::shared_ptr<const Message> message = network_[index];
    if (!late) network_.erase(network_.begin() + std::ptrdiff_t(index));
    Process& process = change(message->from);
    bool prepare = std::holds_alternative<PrepareAsk>(message->ask);
    return after(message->from, process.proposer.change().unanswered(message->ticket, prepare));
}

void World::restart(size_t place) {
    Process& process = change(place);
    process.unsynced.clear();
    process.proposer.reset();
    process.acted = process.changing_core = false;
    ++process.life;
    process.desk.reset();
    process.waiting_orders.clear();
    Replica again;
    for (const auto& [name, bytes] : *process.disk)
        again.load(name, bytes);
    again.finish_load();
    process.replica = CopyOnWrite(std::move(again));
    std::erase_if(network_,
                  [&](const auto& message) { return message->from == place && (message->answer || !bounds_.late); });
}

void World::lose(size_t place) {
    Process& process = change(place);
    process.up = false;
    process.proposer.reset();
    process.unsynced.clear();
    std::erase_if(network_, [&](const auto& message) {
        return (message->from == place && (message->answer || !bounds_.late)) ||
               (message->to == place && !message->answer);
    });
}

std::string World::wipe(size_t place) {
    Identity fresh{next_identity_++};
    Process& process = change(place);
    process.disk = CopyOnWrite(Process::Disk{{"m/identity", pack(Epoch{fresh.value})}});
    restart(place);
    if (bounds_.crashes == 0) process.disk.reset();
    return {};
}

std::string World::take_over(size_t place) {
    Process& process = change(place);
    auto core = unpack<Core>(process.replica->registers.at("core").moving);
    if (!process.proposer) process.proposer = CopyOnWrite(Proposer(process.replica->identity, bounds_.batch_bytes));
    process.acted = process.changing_core = false;
    return after(place, process.proposer.change().take_over(*core, *process.replica));
}

std::string World::propose(size_t place, const std::string& key) {
    Process& process = change(place);
    auto found = process.proposer->registers().find(key);
    std::string held = found == process.proposer->registers().end() ? std::string() : found->second.moving;
    std::string value = fmt::format("v{}", next_value_++);
    std::uint64_t operation =
        history_.change().begin_write(history_.change().propose(key, held, value), process.proposer->epoch().value);
    return after(place,
                 process.proposer.change().propose(key, std::nullopt, Patch(value, {{value_part, value}}), operation));
}

std::string World::forget(size_t place, const std::string& key) {
    Process& process = change(place);
    history_.change().propose(key, process.proposer->registers().at(key).moving, "");
    return after(place, process.proposer.change().forget(key));
}

std::string World::remove(size_t place, Identity identity) {
    Core core = process(place).proposer->core();
    std::erase_if(core.members, [&](const Member& member) { return member.identity == identity; });
    return change_core(place, core);
}

std::string World::change_core(size_t place, const Core& next) {
    Process& process = change(place);
    Core core = next;
    core.size_wanted = core.members.size();
    std::string held = process.proposer->registers().at("core").moving;
    process.core_operation = history_.change().begin_write(history_.change().propose("core", held, pack(core)),
                                                           process.proposer->epoch().value);
    process.changing_core = true;
    return after(place, process.proposer.change().change_core(core, process.core_operation));
}

std::string World::order(size_t place, size_t which) {
    Process& process = change(place);
    const ConfigOrder& order = bounds_.order_list[which];
    size_t index = process.desk->placed();
    Placed placed = process.desk.change().place(order);
    if (!placed.in_force.empty() && !history_->is_decided("config", placed.in_force))
        return fmt::format("after order {} the owner acts by a configuration that isn't decided", which);
    if (!placed.call) return judge(which, placed.reply);
    const LedgerCall& call = *placed.call;
    auto found = process.proposer->registers().find(call.key);
    std::string held = found == process.proposer->registers().end() ? std::string() : found->second.moving;
    History& history = history_.change();
    std::uint64_t operation = call.proposes ? history.begin_write(history.propose(call.key, held, call.patch.moving),
                                                                  process.proposer->epoch().value)
                                            : history.begin_read(call.key, held, process.proposer->epoch().value);
    process.waiting_orders.push_back({operation, index, which});
    Proposer& proposer = process.proposer.change();
    return after(place, call.proposes ? proposer.propose(call.key, call.fixed, call.patch, operation)
                                      : proposer.confirm(call.key, operation));
}

std::string World::judge(size_t which, Reply reply) {
    if (!reply) return {};
    const ConfigOrder& order = bounds_.order_list[which];
    bool taken = history_->is_decided("config", order.text);
    std::string name = fmt::format("order {} (revision {} on base {})", which, order.revision, order.base);
    if (*reply == 200) {
        if (!taken) return name + " is acknowledged and was not taken";
        acknowledged_orders_.insert(which);
        for (size_t other : acknowledged_orders_)
            if (bounds_.order_list[other].base == order.base && bounds_.order_list[other].text != order.text)
                return fmt::format("{} and order {} are both acknowledged under one base", name, other);
        return {};
    }
    return taken ? fmt::format("{} was taken and is refused with {}", name, *reply) : std::string();
}

std::string World::after(size_t place, std::vector<Outcome> outcomes) {
    Process& process = change(place);
    std::string violated;
    for (const Outcome& outcome : outcomes) {
        if (outcome.operation == process.core_operation) process.changing_core = false;
        if (violated.empty()) violated = history_.change().end(outcome.operation, outcome.committed);
        for (const WaitingOrder& each : std::vector(process.waiting_orders)) {
            if (each.operation != outcome.operation) continue;
            if (violated.empty()) violated = judge(each.which, process.desk->reply(each.index, outcome.committed));
        }
        std::erase_if(process.waiting_orders,
                      [&](const WaitingOrder& each) { return each.operation == outcome.operation; });
    }
    if (process.idle()) {
        process.acted = process.changing_core = false;
        process.desk.reset();
        process.waiting_orders.clear();
        return violated;
    }
    if (process.acting() && !process.acted) {
        process.acted = true;
        if (!bounds_.order_list.empty()) {
            auto config = process.proposer->registers().find("config");
            bool found = config != process.proposer->registers().end();
            process.desk =
                CopyOnWrite(OrderDesk(process.proposer->epoch(), found ? std::optional(config->second) : std::nullopt));
        }
        auto values = values_of(process.proposer->registers(), violated);
        if (violated.empty())
            violated = history_.change().act(process.proposer->epoch().value, life_of(place, process), values);
    }
    for (OutgoingAsk& ask : process.proposer.change().pump()) {
        auto to = place_of(ask.address);
        if (!to) continue;
        auto message = std::make_shared<Message>();
        message->ticket = ask.ticket;
        message->from = place;
        message->to = *to;
        message->from_life = process.life;
        message->ask = std::move(ask.ask);
        message->digest = Digester()
                              .add(std::uint64_t(place))
                              .add(std::uint64_t(*to))
                              .add(process.life)
                              .add(model::digest_of(message->ask))
                              .finish();
        network_.push_back(std::move(message));
    }
    return violated;
}

std::string World::check_rising(size_t place, const Replica& before) const {
    const Replica& after = *process(place).replica;
    if (after.promised < before.promised || after.synced < before.synced || after.adopted < before.adopted)
        return fmt::format("a term falls at process {}", place);
    for (const auto& [key, value] : before.registers) {
        auto found = after.registers.find(key);
        if (found != after.registers.end() && value.newer_than(found->second))
            return fmt::format("the version of {} falls at process {}", key, place);
        if (found == after.registers.end() && key == "core") return fmt::format("process {} forgets the core", place);
    }
    return {};
}

// --- scenarios ---

std::string World::settle(const std::set<size_t>& places) {
    for (size_t index = 0; index < network_.size();) {
        const Message& message = *network_[index];
        if (!places.contains(message.from) || !places.contains(message.to)) {
            ++index;
            continue;
        }
        std::string violated = message.answer ? deliver_answer(index) : deliver_ask(index, false);
        if (!violated.empty()) return violated;
        index = 0;
    }
    return {};
}

void World::drop_messages() {
    network_.clear();
}

std::string World::exchange_one(size_t from, size_t to) {
    for (size_t index = 0; index < network_.size(); ++index) {
        if (network_[index]->from != from || network_[index]->to != to || network_[index]->answer) continue;
        std::string violated = deliver_ask(index, false);
        if (violated.empty()) violated = deliver_answer(network_.size() - 1);
        return violated;
    }
    return fmt::format("nothing is under way from {} to {}", from, to);
}

// --- texts and hashing ---

std::string World::describe(const Step& step) const {
    using Kind = Step::Kind;
    auto message_text = [&]() {
        const Message& message = *network_[step.first];
        return fmt::format("{} from process {} to process {}", text_of(message.ask), message.from, message.to);
    };
    switch (step.kind) {
        case Kind::deliver_ask:
            return "delivered: " + message_text();
        case Kind::exchange:
            return "delivered and answered: " + message_text();
        case Kind::duplicate:
            return "delivered, and still under way a second time: " + message_text();
        case Kind::deliver_answer:
            return fmt::format("answered ({}): {}", text_of(*network_[step.first]->answer), message_text());
        case Kind::time_out:
            return fmt::format("timed out ({}): {}", step.second ? "it may come late" : "lost", message_text());
        case Kind::sync:
            return fmt::format("process {} syncs its oldest change and answers", step.first);
        case Kind::crash:
            return fmt::format("process {} crashes and restarts from its disk", step.first);
        case Kind::lose:
            return fmt::format("process {} is lost for good", step.first);
        case Kind::wipe:
            return fmt::format("process {} loses its disk and returns with a fresh identity", step.first);
        case Kind::take_over:
            return fmt::format("process {} begins a takeover", step.first);
        case Kind::propose:
            return fmt::format("process {} proposes v{} of {}", step.first, next_value_, bounds_.keys[step.second]);
        case Kind::read:
            return fmt::format("process {} begins to confirm a read of {}", step.first, bounds_.keys[step.second]);
        case Kind::forget:
            return fmt::format("process {} ends {}", step.first, bounds_.keys[step.second]);
        case Kind::remove:
            return fmt::format("process {} removes member {} from the core", step.first,
                               process(step.first).proposer->core().members[step.second].number);
        case Kind::learn:
            return fmt::format("process {} takes process {} as one that wants to join", step.first, step.second);
        case Kind::admit:
            return fmt::format("process {} admits process {} to the core", step.first, step.second);
        case Kind::order:
            return fmt::format("order {} is sent to process {}", step.second, step.first);
    }
    return {};
}

Digest World::digest() const {
    Digester digester;
    for (const auto& process : processes_)
        digester.add(process.digest());
    std::vector<Digest> messages;
    for (const auto& message : network_) {
        bool live = is_live(*message);
        messages.push_back({message->digest.low, message->digest.high ^ std::uint64_t(live)});
    }
    std::sort(messages.begin(), messages.end());
    for (const Digest& message : messages)
        digester.add(message);
    for (std::uint32_t spent :
         {spent_.takeovers, spent_.proposals, spent_.reads, spent_.removals, spent_.joins, spent_.orders, spent_.losses,
          spent_.forgets, spent_.wipes, spent_.crashes, spent_.timeouts, spent_.duplicates})
        digester.add(std::uint64_t(spent));
    digester.add(next_identity_).add(next_value_);
    digester.add(history_.digest([](const History& value, Digester& into) { value.digest(into); }));
    for (size_t order : acknowledged_orders_)
        digester.add(std::uint64_t(order));
    return digester.finish();
}

}  // namespace calicostall::model
