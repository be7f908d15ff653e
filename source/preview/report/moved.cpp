#include "preview/report/moved.hpp"

#include "preview/report/summary.hpp"

namespace calicostall {

namespace {

using Table = QueueTable<Moved>;

void compare_task(Moved& moved, const TaskOutlook& was, const TaskOutlook& is) {
    const bool landed = was.landing == Landing::lands;
    const bool lands = is.landing == Landing::lands;
    if (lands && !landed) moved.lands_now++;
    if (!lands && landed) moved.lands_no_more++;
    if (!lands || !landed) return;
    if (is.at < was.at) moved.sooner++;
    if (is.at > was.at) moved.later++;
    if (is.worker != was.worker) moved.elsewhere++;
}

void compare_tasks(Table& table, const Outlook& stands, const Outlook& changed) {
    std::map<TaskKey, const TaskOutlook*> before;
    for (const TaskOutlook& task : stands.tasks)
        if (!task.copy) before[task.key] = &task;
    for (const TaskOutlook& task : changed.tasks) {
        auto was = before.find(task.key);
        if (!task.copy && was != before.end()) compare_task(table.of(task.key), *was->second, task);
    }
}

void compare_pushed(Table& table, const Outlook& stands, const Outlook& changed) {
    std::map<TaskKey, size_t> before;
    for (const PushedAside& pushed : stands.pushed)
        before[pushed.key]++;
    for (const PushedAside& pushed : changed.pushed) {
        auto was = before.find(pushed.key);
        if (was == before.end())
            table.of(pushed.key).pushed_more++;
        else if (--was->second == 0)
            before.erase(was);
    }
    for (const auto& [key, count] : before)
        table.of(key).pushed_less += count;
}

}  // namespace

std::vector<Moved> moved_between(const Snapshot& snapshot, const Config& changed_config, const Outlook& stands,
                                 const Outlook& changed) {
    Table table(snapshot, changed_config);
    compare_tasks(table, stands, changed);
    compare_pushed(table, stands, changed);
    return table.take();
}

}  // namespace calicostall
