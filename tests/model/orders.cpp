#include "model/orders.hpp"

#include "control/jobs/scheduler.hpp"

namespace calicostall::model {
namespace {

// Records what is asked of the record; the callbacks are called by the test.
struct RecordingLedger {
    struct Asked {
        LedgerCall call;
        std::function<void(bool)> callback;
    };
    std::vector<Asked> asked;

    void propose(const std::string& key, std::optional<std::string> fixed, Patch patch,
                 std::function<void(bool)> callback) {
        asked.push_back({{true, key, std::move(fixed), std::move(patch)}, std::move(callback)});
    }
    void confirm(const std::string& key, std::function<void(bool)> callback) {
        asked.push_back({{false, key, std::nullopt, {}}, std::move(callback)});
    }
    void bury(const std::string&) {}
};

// A scheduler that began with this configuration and was given these orders.
struct Replay {
    RecordingLedger ledger;
    Scheduler<RecordingLedger> scheduler{SchedulerSettings{}, ledger};
    std::vector<std::optional<RecordingLedger::Asked>> asked;  // by order
    std::vector<Reply> replies;

    Replay(Epoch epoch, const std::optional<Register>& config, const std::vector<ConfigOrder>& orders) {
        std::map<std::string, Register> registers;
        if (config) registers["config"] = *config;
        scheduler.begin(epoch, registers, seconds(1));
        replies.resize(orders.size());
        for (size_t index = 0; index < orders.size(); ++index)
            place(orders[index], index);
    }
    void place(const ConfigOrder& order, size_t index) {
        ledger.asked.clear();
        CallAsk ask{"PUT", {}, "/config", order.text, fmt::format("\"{}\"", order.base), false};
        scheduler.put_config(ask, [this, index](CallFate fate, Response response) {
            replies[index] = fate == CallFate::settled && response.code < 500 ? Reply(response.code) : std::nullopt;
        });
        if (ledger.asked.size() > 1) throw std::runtime_error("an order makes more than one call of the ledger");
        asked.push_back(ledger.asked.empty() ? std::nullopt : std::optional(std::move(ledger.asked.front())));
    }
};

}  // namespace

ConfigOrder make_order(std::uint64_t base, std::uint64_t revision, const std::string& mark) {
    std::string text = fmt::format(
        R"({{"revision":{},"services":[{{"name":"{}"}}],"routes":[{{"host":"a","path_prefix":"/","service":"{}"}}]}})",
        revision, mark, mark);
    return {base, revision, text};
}

Placed OrderDesk::place(const ConfigOrder& order) {
    orders_.push_back(order);
    Replay replay(epoch_, config_, orders_);
    const auto& asked = replay.asked.back();
    const std::string& in_force = replay.scheduler.config().text;
    if (!asked) return {std::nullopt, replay.replies.back(), in_force};
    return {asked->call, std::nullopt, in_force};
}

Reply OrderDesk::reply(size_t index, bool committed) const {
    Replay replay(epoch_, config_, orders_);
    if (!replay.asked[index]) return std::nullopt;
    replay.asked[index]->callback(committed);
    return replay.replies[index];
}

void OrderDesk::digest(Digester& digester) const {
    digester.add(epoch_).add(config_ ? pack(*config_) : std::string());
    for (const ConfigOrder& order : orders_)
        digester.add(order.base).add(order.text);
}

}  // namespace calicostall::model
