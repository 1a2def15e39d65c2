//! Scalars and voter table of this coordinator's replication group.

use curlewdeck_snmp::registry::{Group, Syntax, Table};
use curlewdeck_snmp::tree::Value;

use super::instances::{gauge, text, Instances};
use super::object;
use crate::replication::driver::{MemberStatus, Role};

const GROUP_ARC: u32 = 5;
const VOTER_TABLE_ARC: u32 = 6;

/// Labels of `cdGroupRole`; [`role_number`] maps roles to these numbers.
const ROLES: &[(&str, i32)] =
    &[("none", 1), ("withoutLeader", 2), ("follower", 3), ("leader", 4), ("gone", 5)];

fn role_number(role: Option<Role>) -> i32 {
    match role {
        None => 1,
        Some(Role::NoLeader) => 2,
        Some(Role::Follower) => 3,
        Some(Role::Leader) => 4,
        Some(Role::Stopped) => 5,
    }
}

/// Defines the scalars of the replication group.
pub(super) fn scalars() -> Group {
    use Syntax::{Counter64, DisplayString, Enum, Gauge32};
    let objects = vec![
        object(1, "cdGroupRole", Enum(ROLES), "", "What this process is in its group of coordinators: none where it is in none; gone where it was removed, or has stopped after an error."),
        object(2, "cdGroupMember", DisplayString, "", "Its number there. They do not fit 32 bits."),
        object(3, "cdGroupTerm", Counter64, "terms", "The term of its log: it grows with each election."),
        object(4, "cdGroupLeader", DisplayString, "", "The number of the leader that it knows; 0 where it knows none."),
        object(5, "cdGroupApplied", Counter64, "entries", "The last entry of the log that it has applied. On one that stays behind it is below the others'."),
        object(6, "cdGroupSnapshot", Counter64, "entries", "The last entry that its snapshot covers."),
        object(7, "cdGroupLog", Gauge32, "entries", "Entries of its log since then."),
        object(8, "cdGroupKeys", Gauge32, "keys", "Keys that are held."),
        object(9, "cdGroupWaiting", Gauge32, "calls", "Proposals and reads that wait for the log."),
    ];
    Group { name: "cdGroup", arc: GROUP_ARC, conformance: "cdGroupGroup", objects }
}

/// Defines the table of the group's voters.
pub(super) fn voter_table() -> Table {
    Table {
        name: "cdGroupVoter",
        arc: VOTER_TABLE_ARC,
        description: "Members of the group, as of the last change that this one has applied.",
        index: vec!["cdGroupVoterIndex"],
        columns: vec![
            object(
                1,
                "cdGroupVoterIndex",
                Syntax::Unsigned32,
                "",
                "The row's number; rows move when members go.",
            ),
            object(2, "cdGroupVoterMember", Syntax::DisplayString, "", "The member's number."),
        ],
    }
}

/// Member ids are served as text because they do not fit 32 bits.
fn member_id(id: u64) -> Value {
    text(&id.to_string())
}

/// Adds the values of [`scalars`], in the same order; `status` is `None` if the process is not in a group.
pub(super) fn scalar_values(instances: &mut Instances, status: Option<&MemberStatus>) {
    let role = role_number(status.map(|s| s.role));
    let no_group = MemberStatus::default();
    let status = status.unwrap_or(&no_group);
    let values = [
        Value::Integer(role),
        member_id(status.id),
        Value::Counter64(status.term),
        member_id(status.leader),
        Value::Counter64(status.applied),
        Value::Counter64(status.snapshot),
        gauge(status.log),
        gauge(status.keys),
        gauge(status.pending_requests),
    ];
    instances.scalars(GROUP_ARC, values);
}

/// Adds the rows of [`voter_table`], indexed from 1 in the order of `status.voters`.
pub(super) fn voter_rows(instances: &mut Instances, status: &MemberStatus) {
    for (index, &id) in (1..).zip(&status.voters) {
        instances.row(VOTER_TABLE_ARC, &[index], [member_id(id)]);
    }
}
