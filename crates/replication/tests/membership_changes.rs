//! A model check of membership changes in small groups, over every order of elections, log replication, proposals,
//! commits and a disk loss. The model follows raft-rs: only one change is pending at a time, a configuration takes
//! effect once it is committed, and a leader proposes a change only after it has committed an entry of its own term. A
//! member whose disk is lost never rejoins under its old id.
//!
//! Steps are atomic: an election collects all its votes at once, and a replication copies the leader's entire log. The
//! tests over simulated networks and over TCP cover the intermediate states.

use stateright::{Checker, Model, Property};

/// A set of members as a bit mask.
type Members = u8;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    term: u8,
    /// Whether it is the leader of its term.
    is_leader: bool,
    /// The entries: the term of each, and the membership that applies after it.
    log: Vec<(u8, Members)>,
    commit: usize,
    disk_lost: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    disks_lost: u8,
    /// The longest log that any member has committed.
    committed: Vec<(u8, Members)>,
    /// Set once a member has committed a different entry at an index that was already committed.
    conflicting_commit: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    Elect(usize, Members),
    Replicate(usize, usize),
    Propose(usize, Members),
    Commit(usize),
    LoseDisk(usize),
}

/// The bounds of the model.
struct Group {
    founders: usize,
    /// The founders and the members that may join later.
    max_members: usize,
    max_terms: u8,
    max_entries: usize,
    /// Whether a member whose disk is lost rejoins under a new id, as a new member.
    rejoins_with_new_id: bool,
    max_disk_losses: u8,
}

fn has(members: Members, node: usize) -> bool {
    members >> node & 1 == 1
}

fn is_majority(of: Members, members: Members) -> bool {
    2 * (of & members).count_ones() > members.count_ones()
}

impl Group {
    fn members(&self, node: &Node) -> Members {
        node.log[..node.commit].last().map_or((1 << self.founders) - 1, |e| e.1)
    }

    fn newest(log: &[(u8, Members)]) -> (u8, usize) {
        (log.last().map_or(0, |e| e.0), log.len())
    }
}

impl Model for Group {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = Node { term: 0, is_leader: false, log: Vec::new(), commit: 0, disk_lost: false };
        vec![State {
            nodes: vec![node; self.max_members],
            disks_lost: 0,
            committed: Vec::new(),
            conflicting_commit: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for (n, node) in state.nodes.iter().enumerate().filter(|(_, node)| !node.disk_lost) {
            let members = self.members(node);
            let term = node.term + 1;
            if term <= self.max_terms && has(members, n) {
                // Only minimal majorities: additional votes would only raise the terms of more members.
                let votes = |v: usize| {
                    let voter = &state.nodes[v];
                    v == n || voter.term < term && Self::newest(&voter.log) <= Self::newest(&node.log)
                };
                let sets = (0..1_u8 << self.max_members)
                    .filter(|&of| of & !members == 0 && has(of, n) && is_majority(of, members));
                let least = |of: &Members| 2 * (of.count_ones() - 1) <= members.count_ones();
                let given = |of: &Members| {
                    (0..self.max_members)
                        .filter(|&v| has(*of, v))
                        .all(|v| votes(v) && !state.nodes[v].disk_lost)
                };
                steps.extend(sets.filter(least).filter(given).map(|of| Step::Elect(n, of)));
            }
            if !node.is_leader {
                continue;
            }
            steps.extend(
                (0..self.max_members)
                    .filter(|&to| {
                        let other = &state.nodes[to];
                        to != n
                            && !other.disk_lost
                            && other.term <= node.term
                            && (other.log != node.log || other.term < node.term || other.commit < node.commit)
                    })
                    .map(|to| Step::Replicate(n, to)),
            );
            steps.push(Step::Commit(n));
            let last_change = (0..node.log.len()).rev().find(|&i| {
                i > 0 && node.log[i].1 != node.log[i - 1].1
                    || i == 0 && node.log[0].1 != (1 << self.founders) - 1
            });
            let change_is_committed = last_change.is_none_or(|i| node.commit > i);
            let own_term_is_committed = node.log[..node.commit].iter().any(|e| e.0 == node.term);
            if node.log.len() < self.max_entries && change_is_committed && own_term_is_committed {
                let one = (0..self.max_members).map(|m| members ^ 1 << m).filter(|m| m.count_ones() > 1);
                steps.extend(one.map(|to| Step::Propose(n, to)));
            }
        }
        if state.disks_lost < self.max_disk_losses {
            steps.extend(
                (0..self.max_members).filter(|&n| !state.nodes[n].log.is_empty()).map(Step::LoseDisk),
            );
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Elect(n, of) => {
                let term = state.nodes[n].term + 1;
                for v in (0..self.max_members).filter(|&v| has(of, v)) {
                    (state.nodes[v].term, state.nodes[v].is_leader) = (term, false);
                }
                let members = state.nodes[n].log.last().map_or((1 << self.founders) - 1, |e| e.1);
                if state.nodes[n].log.len() >= self.max_entries {
                    return None;
                }
                state.nodes[n].is_leader = true;
                state.nodes[n].log.push((term, members));
            }
            Step::Replicate(n, to) => {
                let leader = state.nodes[n].clone();
                let other = &mut state.nodes[to];
                let commit = leader.commit.max(other.commit).min(leader.log.len());
                *other = Node { is_leader: false, commit, ..leader };
            }
            Step::Propose(n, members) => {
                let term = state.nodes[n].term;
                state.nodes[n].log.push((term, members));
            }
            Step::Commit(n) => {
                let leader = &state.nodes[n];
                let members = self.members(leader);
                let holders = |upto: usize| {
                    let holds = |o: &Node| {
                        !o.disk_lost
                            && o.term == leader.term
                            && o.log.len() >= upto
                            && o.log[..upto] == leader.log[..upto]
                    };
                    (0..self.max_members)
                        .filter(|&o| holds(&state.nodes[o]))
                        .fold(0, |all: Members, o| all | 1 << o)
                };
                // Stops at the first membership change, which determines the majority for all later entries.
                let next = leader.commit + 1;
                let upto = (next..=leader.log.len()).find(|&i| leader.log[i - 1].0 == leader.term)?;
                let first_change = (next..=upto).find(|&i| leader.log[i - 1].1 != members).unwrap_or(upto);
                if !is_majority(holders(upto), members) {
                    return None;
                }
                let commit = first_change.max(next);
                state.nodes[n].commit = commit;
                let log = state.nodes[n].log[..commit].to_vec();
                let common = log.len().min(state.committed.len());
                state.conflicting_commit |= log[..common] != state.committed[..common];
                if log.len() > state.committed.len() {
                    state.committed = log;
                }
            }
            Step::LoseDisk(n) => {
                state.disks_lost += 1;
                state.nodes[n] = Node {
                    term: 0,
                    is_leader: false,
                    log: Vec::new(),
                    commit: 0,
                    disk_lost: self.rejoins_with_new_id,
                };
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("committed entries are never replaced", |_: &Self, state: &State| {
                !state.conflicting_commit
            }),
            Property::always("at most one leader per term", |_: &Self, state: &State| {
                let leads = |term: u8| state.nodes.iter().filter(|n| n.is_leader && n.term == term).count();
                state.nodes.iter().all(|n| leads(n.term) <= 1)
            }),
            Property::sometimes("a membership change is committed", |group: &Self, state: &State| {
                state.committed.iter().any(|e| e.1 != (1 << group.founders) - 1)
            }),
        ]
    }
}

fn check(group: Group) -> Vec<&'static str> {
    let checker = group.checker().threads(4).spawn_bfs().join();
    let mut found: Vec<&str> = checker.discoveries().into_keys().collect();
    found.sort_unstable();
    found
}

const SMALL: Group = Group {
    founders: 3,
    max_members: 4,
    max_terms: 3,
    max_entries: 3,
    rejoins_with_new_id: true,
    max_disk_losses: 1,
};

/// In every order of steps no committed entry is replaced, and in some order a membership change is committed.
#[test]
fn single_membership_changes_never_lose_committed_entries() {
    assert_eq!(check(SMALL), ["a membership change is committed"]);
}

/// Checks the model itself: it finds a violation if a member rejoins under its old id after losing its disk.
#[test]
fn model_detects_a_member_rejoining_under_its_old_id_without_its_disk() {
    let found = check(Group { rejoins_with_new_id: false, ..SMALL });
    assert!(
        found.contains(&"committed entries are never replaced")
            || found.contains(&"at most one leader per term"),
        "{found:?}"
    );
}
