//! How many cases property tests play, and from which seed.

use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Configuration of the property tests: a fixed seed, unless the environment sets another.
pub fn proptest_config(cases: u32) -> ProptestConfig {
    let parse_env = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    ProptestConfig {
        cases: parse_env("HORNBEAMTILLER_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(parse_env("HORNBEAMTILLER_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
