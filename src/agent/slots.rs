//! The places of one target and the requests that wait for them: a pure decision.
//!
//! | input | use |
//! |---|---|
//! | slots of the target | how many requests hold a place at one time |
//! | the line, see [`WaitingLine`] | who is next |
//! | run times of late | the target's pace, and from it every expected wait |
//! | deadlines | who would not be answered in time is refused at once |
//!
//! Outputs: grants, expected waits, refusals with the wait that they would have had.

use crate::{
    gateway::waiting_line::{Ticket, Waiting, WaitingLine},
    grants::Ask,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The time for one unit of work before any was measured, in microseconds.
const ASSUMED_UNIT_MICROS: u64 = 5000;
/// The part of a new measurement in the pace: one of so many.
const PACE_SAMPLES: u64 = 16;

/// How many refused requests are remembered.
const REMEMBERED_REFUSALS: usize = 512;

/// Names a request over all links of the agent: the link, then the ticket on it.
pub type Holder = (u64, u64);

/// What is to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A place is free.
    Granted(Holder),
    /// It waits, likely so many milliseconds.
    Queued(Holder, u64),
    /// It would wait so many milliseconds, which is too long.
    Refused(Holder, u64),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    holder: Holder,
    units: u64,
    copies: u64,
    fingerprint: u64,
}

/// See the module.
#[derive(Debug)]
pub struct Slots {
    slots: u64,
    line: WaitingLine,
    waiting: BTreeMap<Ticket, (Entry, Waiting)>,
    tickets: BTreeMap<Holder, Ticket>,
    holding: BTreeMap<Holder, u64>,
    unit_micros: u64,
    refused: VecDeque<u64>,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            slots: 1,
            line: WaitingLine::default(),
            waiting: BTreeMap::new(),
            tickets: BTreeMap::new(),
            holding: BTreeMap::new(),
            unit_micros: ASSUMED_UNIT_MICROS,
            refused: VecDeque::new(),
        }
    }
}

impl Slots {
    /// Takes a request for a place.
    pub fn ask(&mut self, holder: Holder, ask: &Ask, now_ms: u64) -> Vec<Outcome> {
        self.slots = u64::from(ask.slots).max(1);
        let work_ms = self.work_ms(ask.work_units);
        let wait_ms = self.expected_wait_ms(ask);
        if wait_ms + work_ms > ask.deadline_left_ms {
            self.remember(ask.fingerprint);
            return vec![Outcome::Refused(holder, wait_ms)];
        }
        let waiting = Waiting {
            rank: ask.rank,
            arrived_ms: now_ms.saturating_sub(ask.waited_ms),
            objective_at_ms: now_ms + ask.objective_left_ms,
            deadline_at_ms: now_ms + ask.deadline_left_ms,
            work_ms,
            came_back: self.refused.contains(&ask.fingerprint),
        };
        let ticket = self.line.join(waiting);
        let entry = Entry {
            holder,
            units: ask.work_units,
            copies: ask.copies.max(1),
            fingerprint: ask.fingerprint,
        };
        self.waiting.insert(ticket, (entry, waiting));
        self.tickets.insert(holder, ticket);
        let mut outcomes = self.grant(now_ms);
        if self.tickets.contains_key(&holder) {
            outcomes.push(Outcome::Queued(holder, wait_ms));
        }
        outcomes
    }

    /// Gives up a place in the line, or one that is held.
    pub fn give_up(&mut self, holder: Holder, ran_ms: Option<u64>, now_ms: u64) -> Vec<Outcome> {
        if let Some(ticket) = self.tickets.remove(&holder) {
            self.waiting.remove(&ticket);
            self.line.leave(ticket);
        }
        if let (Some(units), Some(ran_ms)) = (self.holding.remove(&holder), ran_ms) {
            let measured = ran_ms * 1000 / units.max(1);
            self.unit_micros = (self.unit_micros * (PACE_SAMPLES - 1) + measured) / PACE_SAMPLES;
        }
        self.grant(now_ms)
    }

    /// Gives up everything of one link.
    pub fn close(&mut self, link: u64, now_ms: u64) -> Vec<Outcome> {
        let waiting = self.tickets.keys().chain(self.holding.keys());
        let gone: BTreeSet<Holder> = waiting.filter(|holder| holder.0 == link).copied().collect();
        let outcomes: Vec<Vec<Outcome>> = gone
            .into_iter()
            .map(|holder| self.give_up(holder, None, now_ms))
            .collect();
        let granted = |outcome: &Outcome| !matches!(outcome, Outcome::Granted(h) if h.0 == link);
        outcomes.into_iter().flatten().filter(granted).collect()
    }

    /// Refuses those that can no longer be answered in time.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outcome> {
        let hopeless = |waiting: &Waiting| now_ms + waiting.work_ms > waiting.deadline_at_ms;
        let late: Vec<(Ticket, Entry)> = self
            .waiting
            .iter()
            .filter(|(_, (_, waiting))| hopeless(waiting))
            .map(|(ticket, (entry, _))| (*ticket, *entry))
            .collect();
        let mut outcomes = Vec::new();
        for (ticket, entry) in late {
            self.waiting.remove(&ticket);
            self.tickets.remove(&entry.holder);
            self.line.leave(ticket);
            self.remember(entry.fingerprint);
            outcomes.push(Outcome::Refused(entry.holder, self.drain_ms()));
        }
        outcomes.extend(self.grant(now_ms));
        outcomes
    }

    /// How many hold a place, and how many wait.
    pub fn load(&self) -> (usize, usize) {
        (self.holding.len(), self.waiting.len())
    }

    fn grant(&mut self, now_ms: u64) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        while (self.holding.len() as u64) < self.slots {
            let Some(ticket) = self.line.next(now_ms) else {
                break;
            };
            if let Some((entry, _)) = self.waiting.remove(&ticket) {
                self.tickets.remove(&entry.holder);
                self.holding.insert(entry.holder, entry.units);
                outcomes.push(Outcome::Granted(entry.holder));
            }
        }
        outcomes
    }

    fn remember(&mut self, fingerprint: u64) {
        self.refused.push_back(fingerprint);
        if self.refused.len() > REMEMBERED_REFUSALS {
            self.refused.pop_front();
        }
    }

    fn work_ms(&self, units: u64) -> u64 {
        units * self.unit_micros / 1000
    }

    /// How long a request would wait here behind what goes before it.
    fn expected_wait_ms(&self, ask: &Ask) -> u64 {
        if (self.holding.len() as u64) < self.slots {
            return 0;
        }
        let running: u64 = self.holding.values().sum();
        let ahead = self
            .waiting
            .values()
            .filter(|(_, waiting)| waiting.rank <= ask.rank);
        // A request that waits at several agents is served by one of them.
        let ahead: u64 = ahead.map(|(entry, _)| entry.units / entry.copies).sum();
        // Those that run are half done, on average.
        self.work_ms(running / 2 + ahead) / self.slots
    }

    /// How long it takes until nothing waits.
    fn drain_ms(&self) -> u64 {
        let all = self
            .waiting
            .values()
            .map(|(entry, _)| entry.units / entry.copies);
        self.work_ms(all.sum()) / self.slots
    }
}
