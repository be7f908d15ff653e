#include "preview/snapshot.hpp"

#include <boost/algorithm/hex.hpp>

namespace calicostall {

bool SnapshotTasks::same_state(const SnapshotTasks& other) const {
    return done == other.done && saved == other.saved && failures == other.failures;
}

std::string pack_snapshot(const Snapshot& snapshot) {
    CborWriter writer;
    writer.put(snapshot_mark);
    writer.put(snapshot_format);
    writer.put(snapshot);
    return std::move(writer.bytes);
}

std::vector<std::string> snapshot_lines(const std::string& bytes, Micros number, size_t bytes_each) {
    std::vector<std::string> lines;
    size_t parts = (bytes.size() + bytes_each - 1) / bytes_each;
    for (size_t part = 0; part < parts; ++part)
        lines.push_back(fmt::format("{} {} {} {}", number, part, parts,
                                    boost::algorithm::hex(bytes.substr(part * bytes_each, bytes_each))));
    return lines;
}

void check_snapshot(const Snapshot& snapshot, Findings& findings) {
    auto not_negative = [&](std::string place, std::int64_t value) {
        if (value < 0) findings.add(std::move(place), "must not be negative");
    };
    if (!snapshot.config.empty()) {
        Findings inner;
        parse_config(snapshot.config, inner);
        for (const Finding& finding : inner.list())
            findings.add("config." + finding.place, finding.text);
    }
    PlannerSettings planner;
    for (size_t place = 0; place < snapshot.planner.size(); ++place)
        if (!set_planner_field(planner, snapshot.planner[place].name,
                               double(snapshot.planner[place].thousandths) / 1000))
            findings.add(fmt::format("planner[{}]", place),
                         fmt::format("'{}' is unknown", snapshot.planner[place].name));
    planner.check(findings);
    not_negative("lapse", snapshot.lapse);
    std::map<std::string, size_t> jobs, lives;
    for (size_t place = 0; place < snapshot.jobs.size(); ++place) {
        const SnapshotJob& job = snapshot.jobs[place];
        std::string where = fmt::format("jobs[{}]", place);
        if (!valid_job_id(job.id)) findings.add(where + ".id", "must be 16 hex digits");
        if (auto [other, fresh] = jobs.emplace(job.id, place); !fresh)
            findings.add(where + ".id", fmt::format("is that of jobs[{}]", other->second));
        not_negative(where + ".target", job.target);
        not_negative(where + ".interval", job.interval);
        if (job.repeats > 1000000) findings.add(where + ".repeats", "is out of range");
        if (job.steps.empty() || job.steps.size() > 1000) findings.add(where + ".steps", "must hold 1 to 1000 steps");
        for (size_t step = 0; step < job.steps.size(); ++step) {
            const SnapshotStep& each = job.steps[step];
            std::string at = fmt::format("{}.steps[{}]", where, step);
            if (each.wanted.count < 1 || each.wanted.count > 10000) findings.add(at + ".count", "is out of range");
            not_negative(at + ".cpu", each.wanted.cpu), not_negative(at + ".memory", each.wanted.memory),
                not_negative(at + ".gpu", each.wanted.gpu);
            if (each.expected < 0 || each.expected > seconds(1000000))
                findings.add(at + ".expected", "is out of range");
            for (std::uint32_t earlier : each.wanted.depends)
                if (earlier >= step) findings.add(at + ".depends_on", "must name earlier steps only");
        }
        for (size_t place = 0; place < job.failed.size(); ++place) {
            const SnapshotFailed& each = job.failed[place];
            if (each.step >= job.steps.size() || each.index >= job.steps[each.step].wanted.count)
                findings.add(fmt::format("{}.failed[{}]", where, place), "names none of its tasks");
        }
        for (size_t time = 0; time < job.times.size(); ++time) {
            const SnapshotTime& each = job.times[time];
            std::string at = fmt::format("{}.times[{}]", where, time);
            if (each.steps.size() != job.steps.size()) {
                findings.add(at + ".steps",
                             fmt::format("holds {}, the job has {}", each.steps.size(), job.steps.size()));
                continue;
            }
            for (size_t step = 0; step < each.steps.size(); ++step) {
                std::uint64_t tasks = 0;
                for (const SnapshotTasks& range : each.steps[step])
                    tasks += range.count;
                if (tasks != job.steps[step].wanted.count)
                    findings.add(fmt::format("{}.steps[{}]", at, step),
                                 fmt::format("holds {} tasks, the step has {}", tasks, job.steps[step].wanted.count));
            }
        }
    }
    for (size_t place = 0; place < snapshot.workers.size(); ++place) {
        const SnapshotWorker& worker = snapshot.workers[place];
        std::string where = fmt::format("workers[{}]", place);
        if (worker.life.empty()) findings.add(where + ".life", "must not be empty");
        if (auto [other, fresh] = lives.emplace(worker.life, place); !fresh)
            findings.add(where + ".life", fmt::format("is that of workers[{}]", other->second));
        not_negative(where + ".cpu", worker.cpu), not_negative(where + ".memory", worker.memory),
            not_negative(where + ".gpu", worker.gpu);
        if (worker.pace_thousandths < 1 || worker.pace_thousandths > 1000000)
            findings.add(where + ".pace", "is out of range");
        for (size_t run = 0; run < worker.runs.size(); ++run) {
            const SnapshotRun& each = worker.runs[run];
            std::string at = fmt::format("{}.runs[{}]", where, run);
            not_negative(at + ".cpu", each.cpu), not_negative(at + ".memory", each.memory),
                not_negative(at + ".gpu", each.gpu);
            if (each.state < SnapshotRunState::intended || each.state > SnapshotRunState::stopping)
                findings.add(at + ".state", "is unknown");
            if (each.percent < 0 || each.percent > 100) findings.add(at + ".percent", "must lie between 0 and 100");
            auto job = jobs.find(each.job);
            if (job == jobs.end()) continue;  // the room of an ended job's run
            const SnapshotJob& owner = snapshot.jobs[job->second];
            if (each.step >= owner.steps.size())
                findings.add(at + ".step", "is none of its job's");
            else if (each.index >= owner.steps[each.step].wanted.count)
                findings.add(at + ".index", "is none of its step's");
        }
    }
}

std::optional<Snapshot> unpack_snapshot(std::string_view bytes, const std::string& name, Findings& findings) {
    size_t at = 0;
    struct Free {
        void operator()(cbor_item_t* item) const { cbor_decref(&item); }
    };
    using Item = std::unique_ptr<cbor_item_t, Free>;
    auto next = [&]() -> Item {
        cbor_load_result result{};
        Item item(cbor_load(reinterpret_cast<const unsigned char*>(bytes.data()) + at, bytes.size() - at, &result));
        if (!item)
            findings.add(fmt::format("{}:byte {}", name, at + result.error.position),
                         result.error.code == CBOR_ERR_NOTENOUGHDATA || result.error.code == CBOR_ERR_NODATA
                             ? "is cut short"
                             : "is no snapshot");
        at += result.read;
        return item;
    };
    Item mark = next();
    if (!mark) return std::nullopt;
    if (!cbor_isa_bytestring(mark.get()) ||
        std::string_view(reinterpret_cast<char*>(cbor_bytestring_handle(mark.get())),
                         cbor_bytestring_length(mark.get())) != snapshot_mark) {
        findings.add(name + ":byte 0", "is no snapshot");
        return std::nullopt;
    }
    size_t format_at = at;
    Item format = next();
    if (!format) return std::nullopt;
    if (!cbor_isa_uint(format.get()) || cbor_get_int(format.get()) != snapshot_format) {
        findings.add(
            fmt::format("{}:byte {}", name, format_at),
            fmt::format("is of format {}, this program reads format {}",
                        cbor_isa_uint(format.get()) ? fmt::format("{}", cbor_get_int(format.get())) : "unknown",
                        snapshot_format));
        return std::nullopt;
    }
    size_t body_at = at;
    Item body = next();
    if (!body) return std::nullopt;
    CborReader reader(bytes.substr(body_at, at - body_at));
    Snapshot snapshot;
    reader.read(snapshot);
    if (!reader.sound)
        findings.add(fmt::format("{}:byte {}", name, body_at),
                     fmt::format("has other fields than format {}", snapshot_format));
    if (at != bytes.size())
        findings.add(fmt::format("{}:byte {}", name, at), fmt::format("{} bytes too many", bytes.size() - at));
    if (reader.sound) {
        Findings inner;
        check_snapshot(snapshot, inner);
        for (const Finding& finding : inner.list())
            findings.add(name + ":" + finding.place, finding.text);
    }
    if (!findings.empty()) return std::nullopt;
    return snapshot;
}

}  // namespace calicostall
