//! Merges random data of random ranges and replicas, with dead replicas, hedged attempts, corrupted values, changing
//! versions and page sizes, and compares every answer with the exact one.
//! Usage: `merge_check [--seeds N] [--first SEED] [--sabotage NAME]`.

#[allow(unreachable_pub)]
mod checker;
#[allow(unreachable_pub)]
mod run;
#[allow(unreachable_pub)]
mod stand_in;

use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut seeds, mut first, mut sabotage) = (200u64, 1u64, None);
    let mut arguments = std::env::args().skip(1);
    while let Some(flag) = arguments.next() {
        let value = arguments.next();
        let number = value.as_deref().and_then(|v| v.parse().ok());
        match (flag.as_str(), number) {
            ("--seeds", Some(n)) => seeds = n,
            ("--first", Some(n)) => first = n,
            ("--sabotage", _) => sabotage = value.as_deref().and_then(run::Sabotage::from_name),
            _ => {
                eprintln!("usage: merge_check [--seeds N] [--first SEED] [--sabotage NAME]");
                return ExitCode::FAILURE;
            }
        }
    }
    let failed = run::run_seeds(first, seeds, sabotage);
    for (seed, error) in &failed {
        println!("seed {seed}: {error}");
    }
    println!("{} passed, {} failed", seeds - failed.len() as u64, failed.len());
    ExitCode::from(u8::from(!failed.is_empty()))
}
