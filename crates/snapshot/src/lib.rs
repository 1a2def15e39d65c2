//! Small state that outlives a process: what is written, when, and what is believed of what is found.
//!
//! A file is written whole under another name, synced, renamed over the one before, and its folder synced: whenever the
//! process or the machine stops, the file is the one before or the new one. What is found is believed only with its
//! seal; anything else is put aside, never overwritten, and the process goes on from nothing.

pub mod plan;
pub mod record;
