// The preview's code reaches no worker call and no write of the record: if one of its headers included one of these
// parts, the definitions below would be there twice and this would not compile.
#include "preview/command.hpp"
#include "preview/serve.hpp"

#include "check.hpp"

namespace calicostall {

struct Owner {
    int only_here;
};  // control/store/owner.hpp: proposals
struct Replica {
    int only_here;
};  // control/store/replica.hpp: promises and writes
struct Disk {
    int only_here;
};  // control/store/disk.hpp
struct Register {
    int only_here;
};  // control/store/register.hpp
struct Job {
    int only_here;
};  // control/jobs/job.hpp: changes of a job
struct Scheduler {
    int only_here;
};  // control/jobs/scheduler.hpp
struct Loop {
    int only_here;
};  // shared/http/loop.hpp: calls to anybody
struct Listener {
    int only_here;
};  // shared/http/listener.hpp
struct SideAnswer {
    int only_here;
};  // shared/wire/frames.hpp: orders
struct Side {
    int only_here;
};  // side.hpp: calls to workers

}  // namespace calicostall

using namespace calicostall;
using namespace calicostall::tests;

// What a record offers beside its reads; a window onto it has only the reads, whether the window is const or not.
struct Everything {
    int configured = 0;
    const int& config() const { return configured; }
    const int& workers() const { return configured; }
    const int& settings() const { return configured; }
    void call() {}
    void put_config() {}
    void take_side() {}
    void answer_side() {}
    void tick() {}
    void begin() {}
};
template <class View>
concept Changes = requires(View& view) {
    view.call();
}
|| requires(View& view) {
    view.put_config();
}
|| requires(View& view) {
    view.take_side();
}
|| requires(View& view) {
    view.answer_side();
}
|| requires(View& view) {
    view.tick();
}
|| requires(View& view) {
    view.begin();
};
template <class View>
concept HandsOutWritable = requires(View& view) {
    { view.config() } -> std::same_as<int&>;
}
|| requires(View& view) {
    { view.workers() } -> std::same_as<int&>;
};

static_assert(Changes<Everything>);
static_assert(!Changes<RecordView<Everything>>);
static_assert(!HandsOutWritable<RecordView<Everything>>);
static_assert(std::is_constructible_v<RecordView<Everything>, const Everything&>);

int main() {
    return result();
}
