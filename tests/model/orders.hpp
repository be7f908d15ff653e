// Configuration orders of operators, decided by the project's own code: Scheduler::put_config over a recording ledger.
#pragma once
#include "control/store/register.hpp"
#include "model/digest.hpp"

namespace calicostall::model {

// One order as an operator sends it, and sends it again, word for word.
struct ConfigOrder {
    std::uint64_t base = 0, revision = 0;
    std::string text;
};
// Example: ConfigOrder order = make_order(1, 2, "left");
ConfigOrder make_order(std::uint64_t base, std::uint64_t revision, const std::string& mark);

// What an order asked of the ledger. The answer waits for it; none was asked when the answer came at once.
struct LedgerCall {
    bool proposes = false;  // else it confirms
    std::string key;
    std::optional<std::string> fixed;
    Patch patch;
};

// 200, 400, 412 or nothing: a clear answer, or none (503, 504, another daemon's matter).
using Reply = std::optional<int>;

struct Placed {
    std::optional<LedgerCall> call;
    Reply reply;           // without a call
    std::string in_force;  // what the owner acts by afterwards; empty: no configuration
};

// The scheduler of one acting owner, as far as orders go. It holds no callbacks, so that it can be copied: whatever is
// asked is answered by building the scheduler anew and placing all orders again, in their order.
class OrderDesk {
public:
    OrderDesk() = default;
    // `config`: the register with which the owner began.
    OrderDesk(Epoch epoch, std::optional<Register> config) : epoch_(epoch), config_(std::move(config)) {}

    Placed place(const ConfigOrder& order);
    // The answer to the order placed as number `index`, once its ledger call has ended.
    Reply reply(size_t index, bool committed) const;
    void digest(Digester& digester) const;
    size_t placed() const { return orders_.size(); }
    const std::vector<ConfigOrder>& orders() const { return orders_; }

private:
    Epoch epoch_;
    std::optional<Register> config_;
    std::vector<ConfigOrder> orders_;
};

}  // namespace calicostall::model
