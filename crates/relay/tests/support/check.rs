//! What must hold of a fleet under requests that crash runners.

use hornbeamtiller_relay::refusal::Reason;

use super::poison::{play, Play, Report};

/// Arrivals at runners that are allowed too late.
const LATE_MAX: usize = 3;

/// The check of one kind of such requests.
pub struct Check {
    /// Number of seeds of each play.
    pub seeds: u64,
    /// Why sound requests must not be refused.
    pub never: &'static [Reason],
}

impl Check {
    /// Plays, and checks that at most three requests are sent too late and that sound ones beside them are let through.
    pub fn play(&self, name: &str, play_: &Play) -> Report {
        let report = play(play_);
        let seed = play_.seed;
        for culprit in &play_.culprits {
            let late = report.sent_too_late(*culprit);
            let crashes = report.crashes_of(*culprit);
            println!("{name}, seed {seed}: {crashes} crashes, {late} late");
            assert!(
                late <= LATE_MAX,
                "{name}, seed {seed}: {late} reached runners too late, {crashes} crashes"
            );
        }
        let refused = report.refusals_of_sound();
        let is_refused = self.never.iter().any(|reason| refused.contains(reason));
        assert!(
            !is_refused,
            "{name}, seed {seed}: sound requests are refused"
        );
        report
    }

    /// Plays each seed.
    pub fn seeds(&self, name: &str, play_: impl Fn(u64) -> Play) {
        for seed in 1..=self.seeds {
            self.play(name, &play_(seed));
        }
    }
}
