//! Combines attempts to the same data node into calls.

use std::collections::HashMap;

use super::attempt_table::AttemptId;
use super::command::Command;
use crate::api::ServerId;

/// Combines the attempts of one run to the same server into calls of up to `max_batch` parts, and drops attempts that
/// have already ended. A combined attempt moves to the position of the first one in its call; all other commands keep
/// their order.
pub(super) fn batch_calls(
    commands: impl ExactSizeIterator<Item = Command>,
    max_batch: usize,
    is_in_flight: impl Fn(AttemptId) -> bool,
) -> Vec<Command> {
    let mut batched: Vec<Command> = Vec::with_capacity(commands.len());
    // Index in `batched` of the last call to each server.
    let mut last_calls: HashMap<ServerId, usize> = HashMap::new();
    for command in commands {
        let Command::SendCall { server, call } = command else {
            batched.push(command);
            continue;
        };
        if !call.iter().all(|dispatch| is_in_flight(dispatch.attempt)) {
            continue;
        }
        let last_call = last_calls.get(&server).and_then(|&index| batched.get_mut(index));
        match last_call {
            Some(Command::SendCall { call: last, .. }) if last.len() + call.len() <= max_batch => {
                last.extend(call);
            }
            _ => {
                last_calls.insert(server, batched.len());
                batched.push(Command::SendCall { server, call });
            }
        }
    }
    batched
}
