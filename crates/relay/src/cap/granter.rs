//! Grants the cost of requests, for the organisations of which this VM is the granter.

use std::collections::HashMap;
use std::time::Duration;

use crate::backlog::{self, Backlog};
use crate::id;
use crate::organisation::Cap;
use crate::settings::Settings;

use super::{allowance, Bucket, Verdict};

/// Time without a tick after which this VM was stopped for so long that others may have granted in its place.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Part of the rate that a VM grants which is asked though another one is the granter: those that ask reach the granter
/// no more, while others still may.
const ACTING_PART: f64 = 0.25;
/// Part of what the fleet may exceed a cap by that is added to the depth of its bucket. Requests arrive at random, and a
/// burst of few requests would be refused at times though their organisation stays below its cap.
const DEPTH_PART: f64 = 0.15;
/// Part of the depth below which a bucket is nearly empty.
const SCARCE_PART: f64 = 0.1;
/// How long a bucket is kept that nobody asks and that another VM is the granter for.
const ACTING_RETENTION: Duration = Duration::from_secs(10);

/// For whom a VM grants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Scope {
    /// It is the granter, and reaches this part of the fleet.
    Fleet(f64),
    /// Another VM is the granter.
    Acting,
}

/// What a VM may grant for one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
    rate: f64,
    /// Depth of the bucket.
    depth: f64,
    /// How far reports may overdraw it: by what was spent in one window.
    debt_max: f64,
    is_acting: bool,
}

impl Quota {
    /// What a VM may grant of a cap.
    pub fn new(cap: &Cap, settings: &Settings, scope: Scope) -> Self {
        let part = match scope {
            Scope::Fleet(part) => part,
            Scope::Acting => ACTING_PART,
        };
        let depth = cap.burst + allowance(cap, settings) * DEPTH_PART;
        let is_acting = scope == Scope::Acting;
        Self {
            rate: cap.rate * part,
            depth: if is_acting {
                depth * ACTING_PART
            } else {
                depth
            },
            debt_max: cap.rate * settings.quota_window.as_secs_f64(),
            is_acting,
        }
    }
}

#[derive(Debug, Clone)]
struct Grantee {
    bucket: Bucket,
    is_acting: bool,
    /// The callers that were refused.
    backlog: Backlog,
    used_at: Duration,
}

/// The buckets of this VM.
#[derive(Debug, Clone, Default)]
pub struct Granter {
    grantees: HashMap<id::Organisation, Grantee>,
    ran_at: Duration,
}

impl Granter {
    /// Records that this VM runs. After a stall, all buckets start anew.
    pub fn mark_running(&mut self, now: Duration) {
        let is_stalled = self.ran_at + STALL_TIME < now;
        self.ran_at = now;
        if !is_stalled {
            return;
        }
        // The next fill finds a change of scope, and starts the bucket anew.
        for grantee in self.grantees.values_mut() {
            grantee.is_acting = true;
        }
    }

    /// Opens the bucket of an organisation, so that it has filled once it is asked.
    pub fn open(&mut self, organisation: &id::Organisation, quota: Quota, now: Duration) {
        self.fill(organisation, quota, now);
    }

    /// Fills the bucket of an organisation. When this VM becomes the granter or ceases to be, the bucket starts anew.
    fn fill(
        &mut self,
        organisation: &id::Organisation,
        quota: Quota,
        now: Duration,
    ) -> &mut Grantee {
        let create = || Grantee {
            bucket: Bucket::new(quota.depth, now),
            is_acting: quota.is_acting,
            backlog: Backlog::default(),
            used_at: now,
        };
        let grantee = self.grantees.entry(organisation.clone());
        let grantee = grantee.or_insert_with(create);
        if grantee.is_acting != quota.is_acting {
            grantee.bucket.restart(quota.depth, now);
            grantee.is_acting = quota.is_acting;
        }
        grantee.bucket.fill(quota.rate, quota.depth, now);
        grantee
    }

    /// Decides on a cost; returns the decision and whether the bucket is nearly empty.
    pub fn ask(
        &mut self,
        organisation: &id::Organisation,
        quota: Quota,
        cost: u64,
        now: Duration,
    ) -> (Verdict, bool) {
        let grantee = self.fill(organisation, quota, now);
        grantee.used_at = now;
        let verdict = match grantee.bucket.take(cost as f64, quota.depth) {
            Ok(()) => Verdict::Granted,
            Err(missing) => {
                let wait = backlog::time(missing, quota.rate);
                let own = backlog::time(cost as f64, quota.rate);
                let return_after = grantee.backlog.push(wait, own, now);
                Verdict::Refused { wait, return_after }
            }
        };
        let is_scarce = grantee.bucket.level() < quota.depth * SCARCE_PART;
        (verdict, is_scarce)
    }

    /// Counts what a VM has spent without an ask.
    pub fn record(
        &mut self,
        organisation: &id::Organisation,
        quota: Quota,
        spent: i64,
        now: Duration,
    ) {
        let grantee = self.fill(organisation, quota, now);
        grantee
            .bucket
            .record(spent as f64, quota.depth, quota.debt_max);
    }

    /// What a bucket has; none if this VM has no bucket for the organisation.
    pub fn level(&self, organisation: &id::Organisation) -> Option<f64> {
        let grantee = self.grantees.get(organisation)?;
        Some(grantee.bucket.level())
    }

    /// The organisations of which this VM is the granter.
    pub fn granted(&self) -> Vec<id::Organisation> {
        let grantees = self.grantees.iter();
        let granted = grantees.filter(|(_, grantee)| !grantee.is_acting);
        granted
            .map(|(organisation, _)| organisation.clone())
            .collect()
    }

    /// Number of organisations of which this VM is the granter.
    pub fn len(&self) -> usize {
        let grantees = self.grantees.values();
        grantees.filter(|grantee| !grantee.is_acting).count()
    }

    /// Whether this VM is the granter of no organisation.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Marks the organisations that do not pass the filter as those of another granter, and forgets them when nobody
    /// has asked for a while.
    pub fn retain(&mut self, now: Duration, is_granter: impl Fn(&id::Organisation) -> bool) {
        self.grantees.retain(|organisation, grantee| {
            let is_kept = is_granter(organisation);
            grantee.is_acting |= !is_kept;
            is_kept || grantee.used_at + ACTING_RETENTION > now
        });
    }
}
