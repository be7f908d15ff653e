/// The registers of a leader: the value of each key, which keys are tombstones, and how many proposals there were.
///
/// Owned by one `Leader`, which sends what is in here to its peers. Pure: no time, no messages.
#pragma once
#include "common.hpp"
#include "control/store/member_backlog.hpp"
#include "control/store/register.hpp"

namespace calicostall {

/// Example:
///   table.begin_term(term, chosen);
///   const Version version = table.apply("job/1", std::nullopt, Mutation{head, {{7, task}}});
class RegisterTable {
public:
    const std::map<std::string, Register>& registers() const { return registers_; }
    const std::set<std::string>& tombstones() const { return tombstones_; }
    /// The value of the key; null when the leader holds none.
    const Register* find(const std::string& key) const;
    bool contains(const std::string& key) const { return registers_.contains(key); }
    bool is_tombstone(const std::string& key) const { return tombstones_.contains(key); }

    /// The term that `registers` belong to.
    Term term() const { return term_; }
    /// The number of the last proposal, over all keys and terms.
    Sequence sequence() const { return sequence_; }
    /// The sequence that stands for everything the last election chose.
    Sequence election_sequence() const { return election_sequence_; }

    /// Takes over what an election chose: from here on these are values of `term`.
    void begin_term(Term term, std::map<std::string, Register> chosen);
    /// Forgets all values; sequences go on counting.
    void clear();

    /// Makes the next version of the key. `immutable` replaces the immutable part, where it is given.
    /// @return the new version
    Version apply(const std::string& key, std::optional<std::string> immutable, Mutation mutation);
    /// Marks the key, whose value has just been emptied, as one to be collected.
    void mark_tombstone(const std::string& key) { tombstones_.insert(key); }
    /// Drops the key. Should it ever be proposed again, its versions go on above the dropped one.
    void collect(const std::string& key);

    /// Whether somebody who holds the key in this revision holds the value that the election chose, or the present one.
    bool matches(const std::string& key, const Revision& revision) const;

private:
    Term term_;
    Version version_floor_;  // of the keys that were collected in this term
    Sequence sequence_ = 0;  // of the last proposal
    Sequence election_sequence_ = 0;
    std::map<std::string, Register> registers_;
    std::map<std::string, Revision> chosen_revisions_;  // which contents the election chose
    std::set<std::string> tombstones_;
};

}  // namespace calicostall
