// The door: which new jobs are refused, and when a refused one may come again.
#include "control/jobs/admission/admission.hpp"

#include "check.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

constexpr Micros late = seconds(100);  // long after the owner began

Load load_of(std::int64_t cpu) {
    Load load;
    load.whole_cpu = cpu, load.whole_memory = 1000000;
    return load;
}
// A backlog of one queue that keeps the whole service busy for `busy`.
Backlog backlog_of(const Load& load, Micros busy) {
    QueueBacklog queue;
    queue.service = "match", queue.tasks = 10, queue.ready = 10;
    queue.cpu = double(busy) / 1e6 * double(load.whole_cpu) * ServiceRate().filled();
    return {{"a|/", queue}};
}
NewJob job_of(Micros chain, Micros aim) {
    return {"a|/", "match", 0, chain, aim, false};
}

void tables() {
    Admission admission{SchedulerSettings{}};
    admission.begin(0);
    const Load load = load_of(100000);
    const NewJob job = job_of(milliseconds(300), milliseconds(1000));
    EXPECT(admission.admit(job, 0, load, {}, late) == Admitted::yes);
    EXPECT(admission.admit(job, 0, load, backlog_of(load, milliseconds(1600)), late) == Admitted::yes);
    EXPECT(admission.admit(job, 0, load, backlog_of(load, milliseconds(1800)), late) == Admitted::no_room);
    EXPECT(admission.admit(job, 20000, load, {}, late) == Admitted::full);
    // A new owner doesn't know its workers yet.
    EXPECT(admission.admit(job, 0, load, backlog_of(load, seconds(9)), seconds(1)) == Admitted::yes);
    // What has nothing of its own waiting isn't shut out, and what lasts earns by being handed in.
    NewJob other = job;
    other.queue = "b|/";
    EXPECT(admission.admit(other, 0, load, backlog_of(load, seconds(9)), late) == Admitted::yes);
    NewJob lasting = job;
    lasting.lasting = true;
    EXPECT(admission.admit(lasting, 0, load, backlog_of(load, seconds(9)), late) == Admitted::yes);
}

void come_again_in_time() {
    property("a refused job's Retry-After is when the estimate says that it could earn", rc::check([] {
                 Admission admission{SchedulerSettings{}};
                 admission.begin(0);
                 const Load load = load_of(*rc::gen::inRange(1000, 1000000));
                 const Micros chain = milliseconds(*rc::gen::inRange(1, 2000));
                 const NewJob job = job_of(chain, chain + milliseconds(*rc::gen::inRange(1, 2000)));
                 const Micros busy = milliseconds(*rc::gen::inRange(0, 9000));
                 const Backlog backlog = backlog_of(load, busy);
                 if (admission.admit(job, 0, load, backlog, late) == Admitted::yes) return;
                 const Micros after = admission.retry_after(job, load, backlog);
                 RC_ASSERT(after >= seconds(1) && after <= seconds(3));
                 const Micros then = std::max<Micros>(0, busy - after - milliseconds(1));
                 const bool taken = admission.admit(job, 0, load, backlog_of(load, then), late) == Admitted::yes;
                 RC_ASSERT(taken || after == seconds(3));
             }));
}

}  // namespace

int main() {
    tables();
    come_again_in_time();
    return result();
}
