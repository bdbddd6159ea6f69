//! Engines that VMs do not want.
//!
//! An engine that has crashed is listed for seconds after, and each VM finds out by a request of its own that fails. The
//! asks of VMs name the engines that they do not want, so the allocator hears of the failures of all VMs.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// How long it counts that a VM excludes an engine.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// VMs that have to exclude an engine before others get none of its capacity: one may be cut off from it.
const EXCLUDING_VMS_MIN: usize = 2;
/// How long an engine is passed over then; one that crashed starts again or loses its entry within seconds.
const EXCLUSION_TIME: Duration = Duration::from_secs(1);

/// What is known of one engine.
#[derive(Debug, Clone, Default)]
struct Exclusion {
    /// When each VM last excluded it.
    reports: HashMap<id::Vm, Duration>,
    until: Duration,
}

impl Exclusion {
    fn record(&mut self, vm: &id::Vm, now: Duration) {
        self.reports.retain(|_, at| *at + REPORT_LIFETIME > now);
        self.reports.insert(vm.clone(), now);
        // After a first exclusion, one VM that has tried it again in vain is enough.
        let was_excluded = self.until > Duration::ZERO;
        if was_excluded || self.reports.len() >= EXCLUDING_VMS_MIN {
            self.until = now + EXCLUSION_TIME;
        }
    }

    fn is_known(&self, now: Duration) -> bool {
        let mut reports = self.reports.values();
        self.until + EXCLUSION_TIME > now || reports.any(|at| *at + REPORT_LIFETIME > now)
    }
}

/// The engines that VMs do not want.
#[derive(Debug, Clone, Default)]
pub(super) struct Exclusions(HashMap<id::Runner, Exclusion>);

impl Exclusions {
    /// Records the engines that a VM does not want.
    pub(super) fn record<'a>(
        &mut self,
        vm: &id::Vm,
        engines: impl Iterator<Item = &'a id::Runner>,
        now: Duration,
    ) {
        for engine in engines {
            let exclusion = self.0.entry(engine.clone()).or_default();
            exclusion.record(vm, now);
        }
    }

    /// Whether an engine is passed over.
    pub(super) fn contains(&self, engine: &id::Runner, now: Duration) -> bool {
        let exclusion = self.0.get(engine);
        exclusion.is_some_and(|exclusion| exclusion.until > now)
    }

    /// Forgets the engines of which nobody has said anything lately.
    pub(super) fn expire(&mut self, now: Duration) {
        self.0.retain(|_, exclusion| exclusion.is_known(now));
    }
}
