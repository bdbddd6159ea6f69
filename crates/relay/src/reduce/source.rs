//! Manifests and runners, as read from the configuration service or received from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::manifest::Manifest;
use crate::pool::{Descriptor, Status};
use crate::settings::Settings;

use super::Reducer;

/// How long a runner is remembered after it began to drain or its entry was removed.
const LEAVING_RETENTION: Duration = Duration::from_secs(30);
/// Least time between two VMs that are asked for a manifest.
const MANIFEST_ASK_INTERVAL: Duration = Duration::from_secs(1);

impl Reducer<'_> {
    /// Puts a manifest into effect if its version is higher than the current one.
    pub(super) fn handle_manifest(&mut self, manifest: Arc<Manifest>) {
        let known = self.state.manifest.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= manifest.version) {
            return;
        }
        let outcome = format!(
            "{} routes, {} endpoints, {} bytes",
            manifest.route_count(),
            manifest.endpoints.len(),
            manifest.source.len()
        );
        self.log(
            Entry::new(Kind::ManifestInForce)
                .version(manifest.version)
                .outcome(outcome),
        );
        let timeout_max = &mut self.state.stream_timeout_max;
        *timeout_max = manifest.stream_timeout_max.max(*timeout_max);
        self.state.manifest = Some(manifest);
    }

    /// Asks a VM that has a newer manifest than this one for it, unless one has just been asked. A large manifest that
    /// came from several at once would take the link for longer than any of them waits.
    pub(super) fn ask_manifest(&mut self, peer: &id::Vm) {
        let now = self.now;
        let asked_at = self.state.manifest_asked_at;
        if asked_at.is_some_and(|at| at + MANIFEST_ASK_INTERVAL > now) {
            return;
        }
        self.state.manifest_asked_at = Some(now);
        let vm = self.find_manifest_nearby().unwrap_or_else(|| peer.clone());
        self.publish_manifest_request(&vm);
    }

    /// A VM of this availability zone that has a newer manifest than this one.
    fn find_manifest_nearby(&mut self) -> Option<id::Vm> {
        let version = self.manifest_version();
        let zone = &self.state.local.zone;
        let members = self.state.members.iter();
        members
            .filter(|member| member.descriptor.zone == *zone && member.is_serving())
            .filter(|member| member.manifest_version > version && member.unacknowledged_views == 0)
            .map(|member| member.descriptor.vm.clone())
            .choose(&mut self.state.rng)
    }

    pub(super) fn handle_pool(&mut self, descriptors: Vec<Descriptor>, revision: id::Revision) {
        let count = descriptors.len();
        let changed = self.state.pool.replace(descriptors, revision, self.now);
        if changed {
            self.find_replaced();
        }
        self.note_versions();
        if changed || !self.state.pool_loaded {
            self.log(
                Entry::new(Kind::RunnerListed)
                    .version(revision)
                    .outcome(format!("{count} runners listed")),
            );
        }
        self.state.pool_loaded = true;
        self.update_list_knowledge();
    }

    fn update_list_knowledge(&mut self) {
        let is_known = self.state.pool_loaded && self.state.source_reached;
        let since = self.state.list_known_since.unwrap_or(self.now);
        self.state.list_known_since = is_known.then_some(since);
    }

    pub(super) fn handle_runner_update(&mut self, descriptor: Descriptor) {
        let runner = descriptor.runner.clone();
        let revision = descriptor.revision;
        let build = descriptor.build.clone();
        let state = if descriptor.draining {
            "draining"
        } else {
            "ready"
        };
        let role = descriptor
            .role
            .map_or("plain".into(), |role| role.to_string());
        self.state.pool.revision = self.state.pool.revision.max(revision);
        if self.state.pool.upsert(descriptor, self.now) {
            self.log(
                Entry::new(Kind::RunnerListed)
                    .runner(&runner)
                    .version(revision)
                    .build(&build)
                    .outcome(format!("{role}, {state}")),
            );
            self.find_replaced();
            self.note_versions();
        }
    }

    pub(super) fn handle_runner_removal(&mut self, runner: &id::Runner, revision: id::Revision) {
        self.state.pool.revision = self.state.pool.revision.max(revision);
        if self.state.pool.mark_removed(runner, revision, self.now) {
            self.log(
                Entry::new(Kind::RunnerListed)
                    .runner(runner)
                    .version(revision)
                    .outcome("gone"),
            );
            self.note_versions();
        }
    }

    pub(super) fn handle_source_reached(&mut self, reached: bool) {
        if reached {
            self.state.manifest_confirmed_at = self.now;
        }
        if std::mem::replace(&mut self.state.source_reached, reached) == reached {
            return;
        }
        self.update_list_knowledge();
        let outcome = if reached { "regained" } else { "lost" };
        let version = self
            .state
            .manifest
            .as_ref()
            .map_or(0, |known| known.version);
        self.log(Entry::new(Kind::Source).outcome(outcome).version(version));
    }

    /// Applies new settings. The name and the zone of this VM stay as they were at the start.
    pub(super) fn handle_settings(&mut self, settings: Settings, seeds: Vec<SocketAddr>) {
        let settings = Settings {
            vm: self.state.settings.vm.clone(),
            zone: self.state.settings.zone.clone(),
            ..settings
        };
        let mut changed = Vec::new();
        if self.state.settings != settings {
            changed.push("bounds");
        }
        if self.state.seeds != seeds {
            changed.push("seeds");
        }
        let outcome = match changed.as_slice() {
            [] => "nothing changed".to_owned(),
            changed => format!("changed: {}", changed.join(", ")),
        };
        self.log(Entry::new(Kind::Reloaded).outcome(outcome));
        for budget in self.state.budgets.values_mut() {
            budget.reconfigure(
                self.now,
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
            );
        }
        self.state.settings = settings;
        self.state.seeds = seeds;
    }

    /// Version of the manifest in force; 0 for none.
    pub(super) fn manifest_version(&self) -> id::Version {
        let manifest = self.state.manifest.as_ref();
        manifest.map_or(0, |manifest| manifest.version)
    }

    pub(super) fn tick_pool(&mut self) {
        self.state.pool.settle_doubts(self.now);
        self.state.pool.evict_leaving(self.now, LEAVING_RETENTION);
        let oldest = self.now.saturating_sub(self.state.origin_lifetime());
        self.state.pool.forget_builds(oldest);
    }

    /// The list of runners, for a peer that has an older one.
    pub(super) fn runner_list(&self) -> Vec<Descriptor> {
        self.state
            .pool
            .iter()
            .filter(|runner| runner.status == Status::Ready || runner.descriptor.draining)
            .map(|runner| runner.descriptor.clone())
            .collect()
    }
}
