//! Passes the outputs of routers and agents to the other parts of the simulation, through the faulty network and table.

use teaselhall::endpoint::{AgentOutput, Forward};
use teaselhall::request::{
    ClaimResult, KeyPlan, RouterOutput, key_row_key, plan_claim, plan_finish,
};
use teaselhall::store::{Error, OperationId};
use teaselhall::wire::{AnswerChunk, EndpointSpec};

use super::*;

const MAX_DELAY_MS: u64 = 15;

impl World {
    pub(super) fn handle_router_input(&mut self, entry: usize, input: RouterInput) {
        let outputs = self.entries[entry].router.handle(self.now_ms, input, &mut self.random);
        for output in outputs {
            self.perform_router_output(entry, output);
        }
    }

    fn perform_router_output(&mut self, entry: usize, output: RouterOutput) {
        match output {
            RouterOutput::Send { connection, message } => {
                self.send_to_agent(entry, connection, message);
            }
            RouterOutput::Close { connection } => {
                self.entries[entry].connections.remove(&connection);
                for agent in 0..AGENTS {
                    self.schedule_within(MAX_DELAY_MS, Event::BreakAtAgent(agent, connection));
                }
            }
            RouterOutput::Claim { request, claim } => {
                self.schedule_key_call(entry, request, claim, None)
            }
            RouterOutput::Finish { request, claim, outcome } => {
                self.schedule_key_call(entry, request, claim, Some(outcome));
            }
            RouterOutput::StreamHead { request, .. } => {
                self.call_of(entry, request).streamed = Some(Vec::new());
            }
            RouterOutput::StreamChunk { request, bytes } => {
                let streamed = &mut self.call_of(entry, request).streamed;
                streamed.as_mut().expect("the head precedes each part").extend(bytes);
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
        self.totals.record(match &end {
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
                self.totals.record("retry");
            }
            if self.chance(3) {
                let attempt = request.attempt;
                return self.handle_router_input(entry, RouterInput::NotSent { attempt });
            }
        }
        for _ in 0..self.draw_copies() {
            self.schedule_within(MAX_DELAY_MS, Event::ToAgent(agent, connection, message.clone()));
        }
    }

    /// Draws how many copies of a message arrive: none, one or two.
    fn draw_copies(&mut self) -> u32 {
        let copies = match self.random.random_range(0..100) {
            0..4 => 0,
            4..12 => 2,
            _ => 1,
        };
        match copies {
            0 => self.totals.record("lost"),
            2 => self.totals.record("duplicated"),
            _ => {}
        }
        copies
    }

    pub(super) fn handle_agent_input(&mut self, number: usize, input: AgentInput) {
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
                    let execution = usize::MAX;
                    self.schedule_within(3, Event::Endpoint(number, incarnation, execution, input));
                }
                AgentOutput::Drained => {
                    self.totals.record("drained");
                    if !self.agents[number].forwards.is_empty() {
                        self.violations.push("drained while a request was in flight".to_owned());
                    }
                }
            }
        }
    }

    fn send_to_entry(&mut self, agent: usize, connection: ConnectionId, message: AgentMessage) {
        let entry = self.agents[agent].connections[&connection];
        match &message {
            AgentMessage::Tombstoned { .. } => self.totals.record("tombstoned"),
            AgentMessage::AlreadyStarted { .. } => self.totals.record("already started"),
            AgentMessage::NotRun { .. } => self.totals.record("refused"),
            _ => {}
        }
        // An agent sends its announcement on each new connection, so the simulation does not lose it.
        let is_announcement = matches!(message, AgentMessage::Announce(_));
        let copies = if is_announcement { 1 } else { self.draw_copies() };
        // Most parts of answers keep their order, as on a real connection; otherwise no answer would arrive complete.
        let ordered = matches!(message, AgentMessage::Answer { .. }) && !self.chance(3);
        for _ in 0..copies {
            let message = self.draw_alteration(message.clone());
            if ordered {
                self.schedule_at(
                    self.now_ms + MAX_DELAY_MS,
                    Event::ToEntry(entry, connection, message),
                );
            } else {
                self.schedule_within(MAX_DELAY_MS, Event::ToEntry(entry, connection, message));
            }
        }
    }

    fn draw_alteration(&mut self, mut message: AgentMessage) -> AgentMessage {
        if let AgentMessage::Answer { chunk: AnswerChunk::Data { bytes, .. }, .. } = &mut message
            && self.random.random_range(0..100) < 2
        {
            self.totals.record("altered");
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
        for (is_violated, violation) in [
            (agent.draining, "a request started while its endpoint was draining"),
            (agent.data_centre_out, "a request started while its data centre was out"),
            (
                agent.forwards.len() > SLOTS as usize,
                "more requests run than the endpoint has slots",
            ),
        ] {
            if is_violated {
                self.violations.push(format!("{violation}: {}", forward.attempt));
            }
        }
        let incarnation = agent.incarnation;
        let attempt = forward.attempt;
        if self.chance(5) {
            let input = AgentInput::Unreachable { attempt };
            return self
                .schedule_at(self.now_ms, Event::Endpoint(number, incarnation, usize::MAX, input));
        }
        let token = String::from_utf8(forward.body).unwrap().parse().unwrap();
        let execution = self.executions.len();
        self.executions.push(Execution { token, attempt, answered: false });
        for (delay_ms, input) in self.draw_answer(token, attempt) {
            let at_ms = self.now_ms + delay_ms;
            self.schedule_at(at_ms, Event::Endpoint(number, incarnation, execution, input));
        }
    }

    /// Draws the answer of an endpoint to a request: a complete one, one that fails, or one that stops without an end.
    fn draw_answer(&mut self, token: u64, attempt: AttemptId) -> Vec<(u64, AgentInput)> {
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
            let reason = "the endpoint closed the connection".to_owned();
            inputs.push((at_ms, AgentInput::Failed { attempt, reason }));
        } else if self.chance(3) {
            inputs.truncate(self.random.random_range(0..inputs.len()));
        }
        inputs
    }

    pub(super) fn on_endpoint_event(
        &mut self,
        number: usize,
        incarnation: Incarnation,
        execution: usize,
        input: AgentInput,
    ) {
        let agent = &mut self.agents[number];
        if agent.incarnation != incarnation {
            return;
        }
        match &input {
            AgentInput::End { attempt } => {
                self.executions[execution].answered |= agent.forwards.remove(attempt);
            }
            AgentInput::Failed { attempt, .. } | AgentInput::Unreachable { attempt } => {
                agent.forwards.remove(attempt);
            }
            _ => {}
        }
        self.handle_agent_input(number, input);
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

    fn schedule_key_call(
        &mut self,
        entry: usize,
        request: u64,
        claim: KeyClaim,
        outcome: Option<Outcome>,
    ) {
        let incarnation = self.entries[entry].incarnation;
        let call = KeyCall { entry, incarnation, request, claim, outcome };
        self.schedule_within(MAX_DELAY_MS, Event::Key(call));
    }

    pub(super) fn read_key(&mut self, call: KeyCall) {
        if self.table_down {
            return self.send_claim_result(&call, ClaimResult::Unavailable);
        }
        let row = self.table.read_row(&key_row_key(&call.claim));
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
            KeyPlan::Settled(result) => self.send_claim_result(&call, result),
            KeyPlan::Write(commit) => {
                self.schedule_within(MAX_DELAY_MS, Event::KeyWrite(call, commit))
            }
        }
    }

    /// Writes a key's row. While the table is down, and at random, the answer is lost and the write is applied at once,
    /// later or never.
    pub(super) fn write_key(&mut self, call: KeyCall, commit: &Commit) {
        if self.table_down || self.chance(8) {
            self.totals.record("claim lost");
            match self.random.random_range(0..3) {
                0 => drop(self.table.apply(commit)),
                1 => self.schedule_within(100, Event::LateWrite(commit.clone())),
                _ => {}
            }
            return self.send_claim_result(&call, ClaimResult::Unavailable);
        }
        match self.table.apply(commit) {
            Ok(_) => self.send_claim_result(&call, ClaimResult::Claimed),
            Err(Error::Conflict { .. }) => self.read_key(call),
            Err(error) => self.violations.push(format!("table refused a write: {error}")),
        }
    }

    fn send_claim_result(&mut self, call: &KeyCall, result: ClaimResult) {
        let is_running = self.entries[call.entry].incarnation == call.incarnation;
        if call.outcome.is_none() && is_running {
            self.handle_router_input(
                call.entry,
                RouterInput::Claim { request: call.request, result },
            );
        }
    }
}
