//! Tells other VMs where sessions are, and learns it from what engines hold.

use std::collections::{BTreeMap, BTreeSet};

use crate::event::Effect;
use crate::id;
use crate::member::Member;
use crate::origin::{self, Origin, Record};
use crate::pool::{Role, Status};

use super::{knows_all_sessions, Reducer};

impl Reducer<'_> {
    /// Notes at which endpoints several software versions accept requests. Where that begins, the VMs of a large fleet tell
    /// those that rank highest for a session what they know of it, as these are asked from now on.
    pub(in crate::reduce) fn note_versions(&mut self) {
        let mut builds: BTreeMap<&id::Endpoint, BTreeSet<&id::Build>> = BTreeMap::new();
        let engines = self.state.pool.iter().filter(|engine| {
            engine.status == Status::Ready && engine.descriptor.role == Some(Role::Decode)
        });
        for engine in engines {
            let descriptor = &engine.descriptor;
            let known = builds.entry(&descriptor.endpoint).or_default();
            known.insert(&descriptor.build);
        }
        let mixed = builds.into_iter().filter(|(_, builds)| builds.len() > 1);
        let mixed: BTreeSet<id::Endpoint> = mixed.map(|(endpoint, _)| endpoint.clone()).collect();
        let before = std::mem::replace(&mut self.state.mixed_endpoints, mixed);
        let opened: Vec<id::Endpoint> = self
            .state
            .mixed_endpoints
            .difference(&before)
            .cloned()
            .collect();
        for endpoint in opened {
            let own: Vec<Record> = self
                .state
                .sessions
                .own(&endpoint, self.now)
                .map(|(session, origin)| self.session_record(session, origin))
                .collect();
            self.spread_sessions(&own);
        }
    }

    /// Tells the VMs of a large fleet that rank highest for the sessions of these records, while several versions serve. In a small
    /// one all are told with the streams.
    pub(in crate::reduce) fn spread_sessions(&mut self, records: &[Record]) {
        // This is called each tick, mostly with nothing to tell.
        if records.is_empty() || self.state.mixed_endpoints.is_empty() {
            return;
        }
        let members = self.state.members.iter();
        let others = members.filter(|member| member.is_serving()).count();
        if knows_all_sessions(others) {
            return;
        }
        let is_mixed = |record: &&Record| {
            let endpoint = &record.origin.endpoint;
            record.session.is_some() && self.state.mixed_endpoints.contains(endpoint)
        };
        let sessions = records.iter().filter(is_mixed).map(|record| Record {
            stream: origin::NO_STREAM,
            ..record.clone()
        });
        let sessions = sessions.collect();
        self.spread_origins(sessions, origin::replicas);
    }

    /// Tells a VM that has just started the latest sessions, if all VMs of the fleet know them and this is the one to tell.
    pub(in crate::reduce) fn tell_sessions(&mut self, vm: &id::Vm) {
        let is_other = |member: &Member| member.is_serving() && member.descriptor.vm != *vm;
        let others = self
            .state
            .members
            .iter()
            .filter(|member| is_other(member))
            .count();
        if !knows_all_sessions(others) {
            return;
        }
        let is_ready = self.state.is_ready();
        let teller = self.highest_ranked(origin::name_key(vm), is_other, is_ready);
        if teller.is_none_or(|teller| teller.vm != self.state.local.vm) {
            return;
        }
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        let address = member.descriptor.peer_address;
        let records = self.session_records();
        if !records.is_empty() {
            self.emit(Effect::TellOrigins {
                address,
                records,
                is_retold: true,
            });
        }
    }

    /// Records of the latest sessions, which are no origins of streams.
    pub(in crate::reduce) fn session_records(&self) -> Vec<Record> {
        let sessions = self.state.sessions.latest(self.now);
        let records = sessions.map(|(session, origin)| self.session_record(session, origin));
        records.collect()
    }

    fn session_record(&self, session: id::Part, origin: &Origin) -> Record {
        Record {
            stream: origin::NO_STREAM,
            session: Some(session),
            origin: origin.clone(),
            lifetime: self.state.origin_lifetime(),
        }
    }

    /// Takes the parts that an engine holds for sessions of its version, as far as none of them is known, and tells other VMs.
    pub(in crate::reduce) fn learn_sessions(&mut self, origin: &Origin, parts: &[id::Part]) {
        for part in parts {
            let is_known = self.state.sessions.get(*part, self.now).is_some();
            let is_held = self.state.cache_index.find(*part, self.now).is_some();
            if is_known || !is_held {
                continue;
            }
            let sessions = &mut self.state.sessions;
            sessions.insert(*part, origin.clone(), self.now);
            let record = self.session_record(*part, origin);
            self.state.untold_origins.push(record);
        }
    }
}
