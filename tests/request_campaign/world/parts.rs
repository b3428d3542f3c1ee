//! What the parts of the world do with each other's outputs.

use teaselhall::endpoint::{AgentOutput, Forward};
use teaselhall::request::{ClaimResult, KeyPlan, RouterOutput, key_of, plan_claim, plan_finish};
use teaselhall::store::{Error, OperationId};
use teaselhall::wire::{AnswerChunk, EndpointSpec};

use super::*;

const LONGEST_DELAY_MS: u64 = 15;

impl World {
    pub(super) fn router(&mut self, entry: usize, input: RouterInput) {
        let outputs = self.entries[entry].router.handle(self.now_ms, input, &mut self.random);
        for output in outputs {
            self.router_output(entry, output);
        }
    }

    fn router_output(&mut self, entry: usize, output: RouterOutput) {
        match output {
            RouterOutput::Send { connection, message } => {
                self.send_to_agent(entry, connection, message);
            }
            RouterOutput::Close { connection } => {
                self.entries[entry].connections.remove(&connection);
                for agent in 0..AGENTS {
                    self.after(LONGEST_DELAY_MS, Event::BreakAtAgent(agent, connection));
                }
            }
            RouterOutput::Claim { request, claim } => self.key_call(entry, request, claim, None),
            RouterOutput::Finish { request, claim, outcome } => {
                self.key_call(entry, request, claim, Some(outcome));
            }
            RouterOutput::StreamHead { request, .. } => {
                self.call_of(entry, request).streamed = Some(Vec::new());
            }
            RouterOutput::StreamChunk { request, bytes } => {
                let streamed = &mut self.call_of(entry, request).streamed;
                streamed.as_mut().expect("a part precedes the head").extend(bytes);
            }
            RouterOutput::End { request, end } => self.end(entry, request, end),
        }
    }

    fn call_of(&mut self, entry: usize, request: u64) -> &mut Call {
        let number = self.entries[entry].requests[&request];
        &mut self.calls[number]
    }

    fn end(&mut self, entry: usize, request: u64, end: RequestEnd) {
        let streamed = self.call_of(entry, request).streamed.is_some();
        self.totals.note(match &end {
            RequestEnd::Whole { .. } => "whole",
            RequestEnd::Streamed => "streamed",
            RequestEnd::NotRun(_) => "not_run",
            RequestEnd::Unknown { .. } if streamed => "broken after stream",
            RequestEnd::Unknown { .. } => "unknown",
            RequestEnd::Recorded(_) => "recorded",
        });
        self.call_of(entry, request).ends.push(end);
    }

    fn send_to_agent(&mut self, entry: usize, connection: ConnectionId, message: EntryMessage) {
        let Some(agent) =
            (0..AGENTS).find(|a| self.agents[*a].connections.contains_key(&connection))
        else {
            return;
        };
        if let EntryMessage::Attempt(request) = &message {
            if request.attempt.number > 1 {
                self.totals.note("retry");
            }
            if self.chance(3) {
                let attempt = request.attempt;
                return self.router(entry, RouterInput::NotSent { attempt });
            }
        }
        for _ in 0..self.copies() {
            self.after(LONGEST_DELAY_MS, Event::ToAgent(agent, connection, message.clone()));
        }
    }

    /// Draws how many copies of a message arrive.
    fn copies(&mut self) -> u32 {
        let copies = match self.random.random_range(0..100) {
            0..4 => 0,
            4..12 => 2,
            _ => 1,
        };
        match copies {
            0 => self.totals.note("lost"),
            2 => self.totals.note("duplicated"),
            _ => {}
        }
        copies
    }

    pub(super) fn agent(&mut self, number: usize, input: AgentInput) {
        let outputs = self.agents[number].agent.handle(self.now_ms, input);
        for output in outputs {
            match output {
                AgentOutput::Send { connection, message } => {
                    self.send_to_entry(number, connection, message);
                }
                AgentOutput::Forward(forward) => self.forward(number, forward),
                AgentOutput::Abort { attempt } => {
                    let incarnation = self.agents[number].incarnation;
                    let input = AgentInput::Failed { attempt, reason: "aborted".to_owned() };
                    let run = usize::MAX;
                    self.after(3, Event::Endpoint(number, incarnation, run, input));
                }
                AgentOutput::Drained => {
                    self.totals.note("drained");
                    if !self.agents[number].forwards.is_empty() {
                        self.faults.push("drained while a request was in flight".to_owned());
                    }
                }
            }
        }
    }

    fn send_to_entry(&mut self, agent: usize, connection: ConnectionId, message: AgentMessage) {
        let entry = self.agents[agent].connections[&connection];
        match &message {
            AgentMessage::Tombstoned { .. } => self.totals.note("tombstoned"),
            AgentMessage::AlreadyStarted { .. } => self.totals.note("already started"),
            AgentMessage::NotRun { .. } => self.totals.note("refused"),
            _ => {}
        }
        // An agent repeats its announcement in each new connection, so the campaign does not lose it.
        let is_announcement = matches!(message, AgentMessage::Announce(_));
        let copies = if is_announcement { 1 } else { self.copies() };
        // Most parts of answers keep their order, as on a real connection; otherwise no answer would become whole.
        let ordered = matches!(message, AgentMessage::Answer { .. }) && !self.chance(3);
        for _ in 0..copies {
            let message = self.altered(message.clone());
            if ordered {
                self.at(self.now_ms + LONGEST_DELAY_MS, Event::ToEntry(entry, connection, message));
            } else {
                self.after(LONGEST_DELAY_MS, Event::ToEntry(entry, connection, message));
            }
        }
    }

    fn altered(&mut self, mut message: AgentMessage) -> AgentMessage {
        if let AgentMessage::Answer { chunk: AnswerChunk::Data { bytes, .. }, .. } = &mut message
            && self.random.random_range(0..100) < 2
        {
            self.totals.note("altered");
            match self.random.random_range(0..2) {
                0 => bytes[0] ^= 1,
                _ => drop(bytes.pop()),
            }
        }
        message
    }

    fn forward(&mut self, number: usize, forward: Forward) {
        let agent = &mut self.agents[number];
        agent.forwards.insert(forward.attempt);
        for (wrong, fault) in [
            (agent.draining, "a request started while its endpoint was draining"),
            (agent.out, "a request started while its data centre was out"),
            (
                agent.forwards.len() > SLOTS as usize,
                "more requests run than the endpoint has slots",
            ),
        ] {
            if wrong {
                self.faults.push(format!("{fault}: {}", forward.attempt));
            }
        }
        let incarnation = agent.incarnation;
        let attempt = forward.attempt;
        if self.chance(5) {
            let input = AgentInput::Unreachable { attempt };
            return self.at(self.now_ms, Event::Endpoint(number, incarnation, usize::MAX, input));
        }
        let token = String::from_utf8(forward.body).unwrap().parse().unwrap();
        let run = self.runs.len();
        self.runs.push(Run { token, attempt, answered: false });
        for (delay_ms, input) in self.answer(token, attempt) {
            let at_ms = self.now_ms + delay_ms;
            self.at(at_ms, Event::Endpoint(number, incarnation, run, input));
        }
    }

    /// Draws what an endpoint does with a request: a whole answer, a broken one, or none.
    fn answer(&mut self, token: u64, attempt: AttemptId) -> Vec<(u64, AgentInput)> {
        let mut at_ms = self.random.random_range(1..30);
        let length = self.random.random_range(10..120);
        let mut inputs = vec![(at_ms, AgentInput::Head { attempt, status: 200 })];
        for bytes in answer_of(token, length).chunks(40) {
            at_ms += self.random.random_range(0..10);
            inputs.push((at_ms, AgentInput::Data { attempt, bytes: bytes.to_vec() }));
        }
        inputs.push((at_ms, AgentInput::End { attempt }));
        if self.chance(10) {
            inputs.truncate(self.random.random_range(0..inputs.len()));
            let reason = "the endpoint broke off".to_owned();
            inputs.push((at_ms, AgentInput::Failed { attempt, reason }));
        } else if self.chance(3) {
            inputs.truncate(self.random.random_range(0..inputs.len()));
        }
        inputs
    }

    pub(super) fn endpoint_answers(
        &mut self,
        number: usize,
        incarnation: Incarnation,
        run: usize,
        input: AgentInput,
    ) {
        let agent = &mut self.agents[number];
        if agent.incarnation != incarnation {
            return;
        }
        match &input {
            AgentInput::End { attempt } => {
                self.runs[run].answered |= agent.forwards.remove(attempt);
            }
            AgentInput::Failed { attempt, .. } | AgentInput::Unreachable { attempt } => {
                agent.forwards.remove(attempt);
            }
            _ => {}
        }
        self.agent(number, input);
    }

    pub(super) fn spec(&self, agent: usize) -> EndpointSpec {
        EndpointSpec {
            id: format!("endpoint-{agent}").as_str().into(),
            incarnation: self.agents[agent].incarnation,
            data_centre: "one".into(),
            slots: SLOTS,
            connections: 64,
            kinds: Vec::new(),
        }
    }

    fn key_call(&mut self, entry: usize, request: u64, claim: KeyClaim, outcome: Option<Outcome>) {
        let incarnation = self.entries[entry].incarnation;
        let call = KeyCall { entry, incarnation, request, claim, outcome };
        self.after(LONGEST_DELAY_MS, Event::Key(call));
    }

    pub(super) fn read_key(&mut self, call: KeyCall) {
        if self.table_down {
            return self.settle(&call, ClaimResult::Unavailable);
        }
        let row = self.table.read_row(&key_of(&call.claim));
        let operation = OperationId::random(&mut self.random);
        let KeyCall { claim, incarnation, request, .. } = &call;
        let plan = match call.outcome {
            None => plan_claim(claim, *incarnation, *request, row.as_ref(), operation),
            Some(outcome) => {
                match plan_finish(claim, *incarnation, *request, outcome, row.as_ref(), operation) {
                    Some(commit) => KeyPlan::Write(commit),
                    None => return,
                }
            }
        };
        match plan {
            KeyPlan::Settled(result) => self.settle(&call, result),
            KeyPlan::Write(commit) => self.after(LONGEST_DELAY_MS, Event::KeyWrite(call, commit)),
        }
    }

    /// Writes a key's row; the answer may be lost, and the write may take effect now, later or never.
    pub(super) fn write_key(&mut self, call: KeyCall, commit: &Commit) {
        if self.table_down || self.chance(8) {
            self.totals.note("claim lost");
            match self.random.random_range(0..3) {
                0 => drop(self.table.apply(commit)),
                1 => self.after(100, Event::LateWrite(commit.clone())),
                _ => {}
            }
            return self.settle(&call, ClaimResult::Unavailable);
        }
        match self.table.apply(commit) {
            Ok(_) => self.settle(&call, ClaimResult::Claimed),
            Err(Error::Conflict { .. }) => self.read_key(call),
            Err(error) => self.faults.push(format!("table refused a write: {error}")),
        }
    }

    fn settle(&mut self, call: &KeyCall, result: ClaimResult) {
        let alive = self.entries[call.entry].incarnation == call.incarnation;
        if call.outcome.is_none() && alive {
            self.router(call.entry, RouterInput::Claim { request: call.request, result });
        }
    }
}
