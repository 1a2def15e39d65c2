//! A model check of membership changes, over every order of elections, replication of the log, proposals, commits and a
//! lost disk in small groups: one change at a time, as raft-rs has it (a configuration holds once it is committed, and a
//! leader proposes one only after an entry of its own term is). A member whose disk is lost never comes back under its id.
//!
//! Steps are atomic: an election takes all its votes at once, a replication all of the leader's log. The tests over
//! scripted networks and over TCP cover what comes between.

use stateright::{Checker, Model, Property};

/// Members as bits.
type Members = u8;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    term: u8,
    /// Leads in its term.
    leads: bool,
    /// Each entry: its term, and the members from it on.
    log: Vec<(u8, Members)>,
    commit: usize,
    lost: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    disks_lost: u8,
    /// What was ever committed, by any.
    committed: Vec<(u8, Members)>,
    /// Somebody committed another entry at a place where one was committed.
    broken: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    Elect(usize, Members),
    Replicate(usize, usize),
    Propose(usize, Members),
    Commit(usize),
    LoseDisk(usize),
}

/// A group of founders, which further ones may join, up to these bounds.
struct Group {
    founders: usize,
    all: usize,
    terms: u8,
    entries: usize,
    /// One whose disk is lost is another member from then on.
    gets_new_id: bool,
    losses: u8,
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
        let node = Node { term: 0, leads: false, log: Vec::new(), commit: 0, lost: false };
        vec![State { nodes: vec![node; self.all], disks_lost: 0, committed: Vec::new(), broken: false }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for (n, node) in state.nodes.iter().enumerate().filter(|(_, node)| !node.lost) {
            let members = self.members(node);
            let term = node.term + 1;
            if term <= self.terms && has(members, n) {
                // The least that elects it: more votes only raise more terms.
                let votes = |v: usize| {
                    let voter = &state.nodes[v];
                    v == n || voter.term < term && Self::newest(&voter.log) <= Self::newest(&node.log)
                };
                let sets = (0..1_u8 << self.all)
                    .filter(|&of| of & !members == 0 && has(of, n) && is_majority(of, members));
                let least = |of: &Members| 2 * (of.count_ones() - 1) <= members.count_ones();
                let given = |of: &Members| {
                    (0..self.all).filter(|&v| has(*of, v)).all(|v| votes(v) && !state.nodes[v].lost)
                };
                steps.extend(sets.filter(least).filter(given).map(|of| Step::Elect(n, of)));
            }
            if !node.leads {
                continue;
            }
            steps.extend(
                (0..self.all)
                    .filter(|&to| {
                        let other = &state.nodes[to];
                        to != n
                            && !other.lost
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
            let settled = last_change.is_none_or(|i| node.commit > i);
            let own = node.log[..node.commit].iter().any(|e| e.0 == node.term);
            if node.log.len() < self.entries && settled && own {
                let one = (0..self.all).map(|m| members ^ 1 << m).filter(|m| m.count_ones() > 1);
                steps.extend(one.map(|to| Step::Propose(n, to)));
            }
        }
        if state.disks_lost < self.losses {
            steps.extend((0..self.all).filter(|&n| !state.nodes[n].log.is_empty()).map(Step::LoseDisk));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Elect(n, of) => {
                let term = state.nodes[n].term + 1;
                for v in (0..self.all).filter(|&v| has(of, v)) {
                    (state.nodes[v].term, state.nodes[v].leads) = (term, false);
                }
                let members = state.nodes[n].log.last().map_or((1 << self.founders) - 1, |e| e.1);
                if state.nodes[n].log.len() >= self.entries {
                    return None;
                }
                state.nodes[n].leads = true;
                state.nodes[n].log.push((term, members));
            }
            Step::Replicate(n, to) => {
                let leader = state.nodes[n].clone();
                let other = &mut state.nodes[to];
                let commit = leader.commit.max(other.commit).min(leader.log.len());
                *other = Node { leads: false, commit, ..leader };
            }
            Step::Propose(n, members) => {
                let term = state.nodes[n].term;
                state.nodes[n].log.push((term, members));
            }
            Step::Commit(n) => {
                let leader = &state.nodes[n];
                let members = self.members(leader);
                let held = |upto: usize| {
                    let holds = |o: &Node| {
                        !o.lost
                            && o.term == leader.term
                            && o.log.len() >= upto
                            && o.log[..upto] == leader.log[..upto]
                    };
                    (0..self.all).filter(|&o| holds(&state.nodes[o])).fold(0, |all: Members, o| all | 1 << o)
                };
                // One entry at a time: a change holds for all that is committed after it.
                let next = leader.commit + 1;
                let upto = (next..=leader.log.len()).find(|&i| leader.log[i - 1].0 == leader.term)?;
                let first_change = (next..=upto).find(|&i| leader.log[i - 1].1 != members).unwrap_or(upto);
                if !is_majority(held(upto), members) {
                    return None;
                }
                let commit = first_change.max(next);
                state.nodes[n].commit = commit;
                let log = state.nodes[n].log[..commit].to_vec();
                let common = log.len().min(state.committed.len());
                state.broken |= log[..common] != state.committed[..common];
                if log.len() > state.committed.len() {
                    state.committed = log;
                }
            }
            Step::LoseDisk(n) => {
                state.disks_lost += 1;
                state.nodes[n] =
                    Node { term: 0, leads: false, log: Vec::new(), commit: 0, lost: self.gets_new_id };
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what was committed stays", |_: &Self, state: &State| !state.broken),
            Property::always("one leader a term", |_: &Self, state: &State| {
                let leads = |term: u8| state.nodes.iter().filter(|n| n.leads && n.term == term).count();
                state.nodes.iter().all(|n| leads(n.term) <= 1)
            }),
            Property::sometimes("a change is committed", |group: &Self, state: &State| {
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

const SMALL: Group = Group { founders: 3, all: 4, terms: 3, entries: 3, gets_new_id: true, losses: 1 };

/// Every order of steps: nothing committed is lost, and a change is committed in some.
#[test]
fn one_change_at_a_time_loses_nothing_that_was_committed() {
    assert_eq!(check(SMALL), ["a change is committed"]);
}

/// The model finds what the rules are there for: a member that comes back under its id without its disk.
#[test]
fn a_lost_disk_under_the_same_id_would_be_found() {
    let found = check(Group { gets_new_id: false, ..SMALL });
    assert!(found.contains(&"what was committed stays") || found.contains(&"one leader a term"), "{found:?}");
}
