//! Random data over random ranges and replicas, with deaths, twins, spoilt values, versions and page sizes: every
//! answer is held against the exact one. `merge_check [--seeds N] [--first SEED] [--sabotage NAME]`.

#[allow(unreachable_pub)]
mod checker;
#[allow(unreachable_pub)]
mod run;
#[allow(unreachable_pub)]
mod stand_in;

use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut seeds, mut first, mut sabotage) = (200u64, 1u64, None);
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        let value = words.next();
        let number = value.as_deref().and_then(|v| v.parse().ok());
        match (word.as_str(), number) {
            ("--seeds", Some(n)) => seeds = n,
            ("--first", Some(n)) => first = n,
            ("--sabotage", _) => sabotage = value.as_deref().and_then(run::Sabotage::named),
            _ => {
                eprintln!("usage: merge_check [--seeds N] [--first SEED] [--sabotage NAME]");
                return ExitCode::FAILURE;
            }
        }
    }
    let failed = run::seeds(first, seeds, sabotage);
    for (seed, why) in &failed {
        println!("seed {seed}: {why}");
    }
    println!("{} passed, {} failed", seeds - failed.len() as u64, failed.len());
    ExitCode::from(u8::from(!failed.is_empty()))
}
