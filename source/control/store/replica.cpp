#include "control/store/replica.hpp"

#include "shared/wire/cbor.hpp"

namespace calicostall {

namespace {

// The number of a part is the last eight bytes of its name on the disk.
constexpr size_t part_number_bytes = 8;

std::string part_name(const std::string& key, std::uint64_t number) {
    std::string name = "p/" + key;
    for (int shift = 56; shift >= 0; shift -= 8)
        name += char(number >> shift);
    return name;
}

}  // namespace

std::pair<PrepareAnswer, Change> Replica::prepare(const PrepareAsk& ask, bool trusted) {
    PrepareAnswer answer;
    Change change;
    std::optional<Holdings> known;
    if (ask.to != identity)
        answer.verdict = Verdict::stranger;
    else if (!may_promise(ask.epoch, ask.from))
        answer.verdict = Verdict::outdated;
    else if (!trusted && ask.kind != PrepareKind::late)
        answer.verdict = Verdict::untrusted;
    else if (ask.kind == PrepareKind::pre_vote)
        answer.verdict = Verdict::ready;
    else if (known = ask.known.empty() ? Holdings{} : unpack<Holdings>(ask.known); known) {
        answer.verdict = Verdict::granted;
        promise(ask.epoch, ask.from, change);
        compare(*known, ask.kind == PrepareKind::late, answer);
    }
    answer.promised = promised;
    answer.promised_to = promised_to;
    answer.synced = synced;
    return {std::move(answer), std::move(change)};
}

std::pair<WriteAnswer, Change> Replica::write(const WriteAsk& ask) {
    WriteAnswer answer;
    Change change;
    answer.promised = promised;
    answer.promised_to = promised_to;
    if (ask.to != identity) {
        answer.verdict = Verdict::stranger;
        return {std::move(answer), std::move(change)};
    }
    if (!may_promise(ask.epoch, ask.from)) {
        answer.verdict = Verdict::outdated;
        return {std::move(answer), std::move(change)};
    }
    answer.verdict = Verdict::granted;
    promise(ask.epoch, ask.from, change);
    if (ask.adopt && adopted < ask.epoch) adopt(ask, change);
    for (const WriteEntry& entry : ask.entries)
        if (!take(entry, change)) answer.lacking.push_back(entry.key);
    for (const Purge& purge : ask.purges) {
        auto found = registers.find(purge.key);
        if (found != registers.end() && (found->second.epoch < ask.epoch || found->second.version <= purge.version))
            drop(found, change);
    }
    if (ask.complete && answer.lacking.empty() && synced < ask.epoch) complete(ask.epoch, change);
    answer.promised = promised;
    answer.promised_to = promised_to;
    return {std::move(answer), std::move(change)};
}

// What is older than this owner's takeover and was not handed over was never decided.
void Replica::complete(Epoch epoch, Change& change) {
    synced = epoch;
    change.entries.emplace_back("m/synced", pack(synced));
    for (auto each = registers.begin(); each != registers.end();) {
        if (each->second.epoch < synced)
            each = drop(each, change);
        else
            ++each;
    }
}

Change Replica::found(const std::string& key, Register value) {
    Change change;
    Register& place = registers[key] = std::move(value);
    keep_head(key, place, change);
    if (!place.fixed.empty()) change.entries.emplace_back("f/" + key, place.fixed);
    for (const auto& [number, bytes] : place.parts)
        change.entries.emplace_back(part_name(key, number), bytes);
    return change;
}

bool Replica::load(std::string_view name, std::string_view bytes) {
    std::string key(name.substr(std::min<size_t>(2, name.size())));
    if (name.starts_with("r/")) {
        auto head = unpack<RegisterHead>(bytes);
        if (!head) return false;
        Register& value = registers[key];
        value.epoch = head->epoch;
        value.version = head->version;
        value.moving = std::move(head->moving);
        stamps_[key] = head->stamp;
    } else if (name.starts_with("f/")) {
        registers[key].fixed = bytes;
    } else if (name.starts_with("p/") && key.size() > part_number_bytes) {
        std::uint64_t number = 0;
        for (char letter : key.substr(key.size() - part_number_bytes))
            number = number << 8 | std::uint8_t(letter);
        registers[key.substr(0, key.size() - part_number_bytes)].parts[number] = bytes;
    } else {
        return load_meta(name, bytes);
    }
    return true;
}

bool Replica::load_meta(std::string_view name, std::string_view bytes) {
    if (name == "m/founding_vote") {
        founding_vote = bytes;
        return true;
    }
    auto read = unpack<Epoch>(bytes);
    if (!read) return false;
    if (name == "m/identity")
        identity = Identity{read->value};
    else if (name == "m/promised")
        promised = *read;
    else if (name == "m/promised_to")
        promised_to = Identity{read->value};
    else if (name == "m/synced")
        synced = *read;
    else if (name == "m/adopted")
        adopted = *read;
    else
        return false;
    return true;
}

bool Replica::finish_load() {
    bool sound = true;
    for (auto each = registers.begin(); each != registers.end();) {
        auto stamp = stamps_.find(each->first);
        if (stamp == stamps_.end()) {
            sound = false;
            each = registers.erase(each);
            continue;
        }
        if (stamp->second < adopted) each->second.epoch = adopted;
        ++each;
    }
    stamps_.clear();
    return sound;
}

bool Replica::may_promise(Epoch epoch, Identity candidate) const {
    return epoch > promised || (epoch == promised && candidate == promised_to);
}

void Replica::promise(Epoch epoch, Identity candidate, Change& change) {
    if (epoch <= promised) return;
    promised = epoch;
    promised_to = candidate;
    change.entries.emplace_back("m/promised", pack(promised));
    change.entries.emplace_back("m/promised_to", pack(Epoch{candidate.value}));
}

void Replica::keep_head(const std::string& key, const Register& value, Change& change) {
    change.entries.emplace_back("r/" + key, pack(RegisterHead{value.epoch, adopted, value.version, value.moving}));
}

Replica::Place Replica::drop(Place each, Change& change) {
    change.entries.emplace_back("r/" + each->first, std::nullopt);
    change.entries.emplace_back("f/" + each->first, std::nullopt);
    for (const auto& [number, bytes] : each->second.parts)
        change.entries.emplace_back(part_name(each->first, number), std::nullopt);
    return registers.erase(each);
}

void Replica::compare(const Holdings& known, bool bare, PrepareAnswer& answer) const {
    auto theirs = known.list.begin();
    for (const auto& [key, value] : registers) {
        for (; theirs != known.list.end() && theirs->key < key; ++theirs)
            answer.lacking.push_back(theirs->key);
        if (theirs != known.list.end() && theirs->key == key) {
            bool same = theirs->epoch == value.epoch && theirs->version == value.version;
            ++theirs;
            if (same) continue;
        }
        answer.registers.push_back(bare ? KeyedRegister{key, Register{value.epoch, value.version, {}, {}, {}}}
                                        : KeyedRegister{key, value});
    }
    for (; theirs != known.list.end(); ++theirs)
        answer.lacking.push_back(theirs->key);
}

void Replica::adopt(const WriteAsk& ask, Change& change) {
    std::set<std::string> excepted(ask.excepted.begin(), ask.excepted.end());
    adopted = ask.epoch;
    change.entries.emplace_back("m/adopted", pack(adopted));
    for (auto& [key, value] : registers) {
        if (excepted.contains(key))
            keep_head(key, value, change);
        else
            value.epoch = adopted;
    }
}

// Returns false when what the entry builds on is not here.
bool Replica::take(const WriteEntry& entry, Change& change) {
    auto found = registers.find(entry.key);
    if (found != registers.end() &&
        std::tie(entry.epoch, entry.version) <= std::tie(found->second.epoch, found->second.version))
        return true;
    if (entry.carries == Carries::changes) {
        if (found == registers.end() || found->second.epoch != entry.epoch || found->second.version != entry.base)
            return false;
    } else if (found == registers.end()) {
        found = registers.try_emplace(entry.key).first;
    }
    Register& value = found->second;
    value.epoch = entry.epoch;
    value.version = entry.version;
    value.moving = entry.moving;
    bool replaces = entry.replaces || entry.carries == Carries::all;
    if (entry.carries == Carries::all && value.fixed != entry.fixed) {
        value.fixed = entry.fixed;
        change.entries.emplace_back("f/" + entry.key, entry.fixed.empty() ? std::nullopt : std::optional(entry.fixed));
    }
    keep_head(entry.key, value, change);
    if (replaces)
        for (const auto& [number, bytes] : value.parts)
            change.entries.emplace_back(part_name(entry.key, number), std::nullopt);
    for (const Part& part : entry.parts)
        change.entries.emplace_back(part_name(entry.key, part.number),
                                    part.bytes.empty() ? std::nullopt : std::optional(part.bytes));
    value.change(entry.parts, replaces);
    return true;
}

}  // namespace calicostall
