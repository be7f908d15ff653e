#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

void AgentPollResponse::deduplicate_specs() {
    std::unordered_map<std::string_view, std::uint64_t> indexes;
    std::vector<std::string> texts;
    texts.reserve(orders.size());  // the views in `indexes` stay valid
    for (Order& order : orders) {
        if (order.spec.empty() || order.spec_index != 0) continue;
        auto found = indexes.find(order.spec);
        if (found == indexes.end()) {
            texts.push_back(std::move(order.spec));
            found = indexes.emplace(texts.back(), texts.size()).first;
        }
        order.spec.clear();
        order.spec_index = found->second;
    }
    specs = std::move(texts);
}

bool AgentPollResponse::expand_specs() {
    for (Order& order : orders) {
        if (order.spec_index > specs.size()) return false;
        if (order.spec_index > 0) order.spec = specs[order.spec_index - 1];
        order.spec_index = 0;
    }
    return true;
}

}  // namespace calicostall
