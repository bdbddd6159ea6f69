//! Asks other VMs where sessions are that this one does not know.

use std::net::SocketAddr;

use crate::call::Phase;
use crate::event::Effect;
use crate::id;
use crate::member::Member;
use crate::origin::{Answer, Key, Question, Search, Stage};
use crate::session::{ANSWER_TIMEOUT, ASKED};

use super::{knows_all_sessions, Reducer};

impl Reducer<'_> {
    /// Lets a call that begins a stream go on at the software version that has the prompts of its session, once that is known.
    pub(in crate::reduce) fn enter_session(&mut self, number: id::Call) {
        if self.ask_session(number) {
            return;
        }
        self.stay_with_session(number);
        self.admit(number);
    }

    /// Asks other VMs for the session of a call, if it matters and they may know more; returns whether it did.
    fn ask_session(&mut self, number: id::Call) -> bool {
        let Some(session) = self.session(number) else {
            return false;
        };
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let endpoint = call.endpoint.clone();
        let is_known = self.state.sessions.get(session, self.now).is_some();
        if is_known || !self.state.mixed_endpoints.contains(&endpoint) {
            return false;
        }
        let ranked = self.rank_members(session, Member::is_serving);
        if knows_all_sessions(ranked.len()) {
            return false;
        }
        let asked = ranked.into_iter().take(ASKED);
        let asked: Vec<SocketAddr> = asked.map(|member| member.descriptor.peer_address).collect();
        let deadline = self.now + ANSWER_TIMEOUT;
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at: deadline };
            call.search = Some(Search {
                stage: Stage::Session,
                awaited: asked.clone(),
                deadline,
                ..Search::new(None)
            });
        }
        let question = Question {
            key: Key::Session(session),
            endpoint,
        };
        for address in asked {
            self.emit(Effect::AskOrigin {
                address,
                call: number,
                question: question.clone(),
            });
        }
        true
    }

    /// Takes what a VM knows of the session of a call.
    pub(in crate::reduce) fn handle_session_answer(
        &mut self,
        number: id::Call,
        address: SocketAddr,
        answer: Answer,
    ) {
        let session = self.session(number);
        if let (Some(session), Answer::Known(origin)) = (session, answer) {
            self.state.sessions.insert(session, origin, self.now);
            return self.end_session_search(number);
        }
        let call = self.state.calls.get_mut(&number);
        let Some(search) = call.and_then(|call| call.search.as_mut()) else {
            return;
        };
        search.awaited.retain(|awaited| *awaited != address);
        if search.awaited.is_empty() {
            self.end_session_search(number);
        }
    }

    /// Goes on with a call whose session was asked for.
    pub(in crate::reduce) fn end_session_search(&mut self, number: id::Call) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.search = None;
            call.phase = Phase::Waiting {
                retry_at: call.arrived_at,
            };
        }
        self.stay_with_session(number);
        self.admit(number);
    }
}
