//! Notifications of CURLEWDECK-MIB.

use curlewdeck_snmp::registry::Notification;

/// Defines all notifications, in the order of their numbers.
pub(super) fn all() -> Vec<Notification> {
    let notification = |arc, name, objects, description| Notification { name, arc, objects, description };
    vec![
        notification(1, "cdNodeDraining", vec!["cdNodeName"], "The list says that a data node drains: it gets nothing new. Look whether that is planned."),
        notification(2, "cdNodeLost", vec!["cdNodeName"], "A data node has left the list."),
        notification(3, "cdListSilent", vec!["cdListOverdue"], "The list's service was silent for longer than the settings allow. Look at it: drains may come late."),
        notification(4, "cdRefusalsHigh", vec!["cdQueriesRefused", "cdQueriesFull"], "Of the queries of the last seconds more than the set share were refused or turned away. Look for nodes in trouble, or more load than there are nodes for."),
        notification(5, "cdDescriptorsLow", vec![], "The process holds more than nine tenths of the descriptors that it may. Look at who connects."),
        notification(6, "cdSecurityFailure", vec!["cdSnmpDenied"], "A management request of version 3 was not served for its security: a wrong secret, user or level, or one that was replayed."),
        notification(7, "cdStarted", vec![], "The process serves."),
        notification(8, "cdStopping", vec![], "The process was told to end, and finishes what it holds."),
    ]
}
