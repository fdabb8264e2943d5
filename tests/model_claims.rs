//! Exhaustive model check of claims, grants and fences within small bounds.
//!
//! The model combines the production admission queue of the agent and the state machine of
//! the control group with two entries that carry the same key, crashes, restarts and delayed
//! messages. It guards against a second run of a key, and against a run reported as not run.

use guavacove::{
    agent::{Admission, Capacity, Decision, GrantStatus},
    control::{command::*, state::ControlState},
    units::*,
    wire::Reserve,
};
use pathfinding::directed::bfs::bfs_reach;
use std::collections::BTreeSet;

/// Longer than any unused grant stays valid.
const GRANT_EXPIRY_MS: u64 = 10_000;

/// A fault injected into the model; each must lead to a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    FenceKeepsGrant,
    TakeoverWithoutFence,
    DispatchWithoutClaim,
    GrantsSurviveRestart,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum EntryPhase {
    Idle,
    Resolving(ClaimedAttempt),
    Ready(Option<(RequestId, Attempt)>),
    Granted(GrantId, Option<(RequestId, Attempt)>),
    Claimed(GrantId),
    Sent(GrantId),
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    request: RequestId,
    attempt: Attempt,
    phase: EntryPhase,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    control: ControlState,
    agent: Admission,
    incarnation: u64,
    now_ms: u64,
    entries: Vec<Entry>,
    dispatches: BTreeSet<(RequestId, GrantId)>,
    running: BTreeSet<GrantId>,
    ran: Vec<RequestId>,
    reported_not_run: BTreeSet<RequestId>,
    crashes_left: u8,
    restarts_left: u8,
    expiries_left: u8,
    mutation: Mutation,
}

fn agent(incarnation: u64) -> Admission {
    let capacity = Capacity {
        slots: 4,
        tokens: TokenCount(100),
    };
    Admission::new(Incarnation(incarnation), capacity, 4)
}

fn claim_key() -> ClaimKey {
    ClaimKey {
        customer: "c".into(),
        service: "s".into(),
        key: "k".into(),
    }
}

fn answered() -> Outcome {
    Outcome::Answered(RecordedResponse {
        status: 201,
        headers: Vec::new(),
        body: Vec::new(),
    })
}

impl ModelState {
    fn new(mutation: Mutation) -> Self {
        let entry = |number| Entry {
            request: RequestId(0, number),
            attempt: Attempt(1),
            phase: EntryPhase::Idle,
        };
        Self {
            control: ControlState::default(),
            agent: agent(1),
            incarnation: 1,
            now_ms: 1,
            entries: vec![entry(1), entry(2)],
            dispatches: BTreeSet::new(),
            running: BTreeSet::new(),
            ran: Vec::new(),
            reported_not_run: BTreeSet::new(),
            crashes_left: 2,
            restarts_left: 2,
            expiries_left: 2,
            mutation,
        }
    }

    fn is_safe(&self) -> bool {
        self.ran.len() <= 1
            && self
                .ran
                .iter()
                .all(|request| !self.reported_not_run.contains(request))
    }

    fn settle(&mut self, request: RequestId, attempt: Attempt, outcome: Outcome) {
        self.control.apply(Command::Settle {
            key: claim_key(),
            request,
            attempt,
            outcome,
        });
    }

    /// Takes the next step of one entry.
    fn advance(&mut self, index: usize) {
        let Entry {
            request,
            attempt,
            phase,
        } = self.entries[index].clone();
        let next = match phase {
            EntryPhase::Idle => match self.control.claim(&claim_key()) {
                None => EntryPhase::Ready(None),
                Some(claim) => self.resolve(claim.clone()),
            },
            EntryPhase::Resolving(claimed) => self.fence(&claimed),
            EntryPhase::Ready(replaces) => {
                let reserve = Reserve {
                    request,
                    tier: TierRank(0),
                    service: "s".into(),
                    prompt_tokens: TokenCount(0),
                    total_tokens: TokenCount(1),
                    deadline_ms: GRANT_EXPIRY_MS * 100,
                    document_version: DocumentVersion(1),
                    accept_late: true,
                    push: false,
                };
                let decisions = self.agent.reserve(reserve, self.now_ms);
                let granted = decisions.into_iter().find_map(|decision| match decision {
                    Decision::Grant { grant, .. } => Some(grant),
                    _ => None,
                });
                granted.map_or(EntryPhase::Ready(replaces), |grant| {
                    EntryPhase::Granted(grant, replaces)
                })
            }
            EntryPhase::Granted(grant, _) if self.mutation == Mutation::DispatchWithoutClaim => {
                EntryPhase::Claimed(grant)
            }
            EntryPhase::Granted(grant, replaces) => self.claim(request, attempt, grant, replaces),
            EntryPhase::Claimed(grant) => {
                self.dispatches.insert((request, grant));
                EntryPhase::Sent(grant)
            }
            EntryPhase::Sent(grant) => self.query_outcome(index, grant),
            EntryPhase::Ended => EntryPhase::Ended,
        };
        self.entries[index].phase = next;
    }

    fn resolve(&mut self, claim: Claim) -> EntryPhase {
        let holder = (claim.attempt.request, claim.attempt.attempt);
        match claim.outcome {
            Outcome::Open if self.mutation == Mutation::TakeoverWithoutFence => {
                EntryPhase::Ready(Some(holder))
            }
            Outcome::Open => EntryPhase::Resolving(claim.attempt),
            Outcome::NotRun => EntryPhase::Ready(Some(holder)),
            Outcome::Answered(_) | Outcome::AnsweredLong | Outcome::MayHaveRun => EntryPhase::Ended,
        }
    }

    fn fence(&mut self, claimed: &ClaimedAttempt) -> EntryPhase {
        let grant_status = match self.mutation {
            Mutation::FenceKeepsGrant => self.agent.clone().fence_grant(claimed.grant),
            _ => self.agent.fence_grant(claimed.grant),
        };
        let (request, attempt) = (claimed.request, claimed.attempt);
        match grant_status {
            GrantStatus::NotRun => EntryPhase::Ready(Some((request, attempt))),
            GrantStatus::Running => EntryPhase::Resolving(claimed.clone()),
            GrantStatus::Finished(outcome) => {
                self.settle(request, attempt, outcome);
                EntryPhase::Ended
            }
            GrantStatus::Unknown => {
                self.settle(request, attempt, Outcome::MayHaveRun);
                EntryPhase::Ended
            }
        }
    }

    fn claim(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        grant: GrantId,
        replaces: Option<(RequestId, Attempt)>,
    ) -> EntryPhase {
        let claimed = ClaimedAttempt {
            request,
            attempt,
            target: "t".into(),
            agent_address: String::new(),
            grant,
        };
        let command = Command::Claim {
            key: claim_key(),
            fingerprint: Vec::new(),
            attempt: claimed,
            replaces,
            now_unix_ms: 1,
        };
        match self.control.apply(command) {
            Reply::Held(claim) => {
                self.agent.release(request, self.now_ms);
                self.resolve(claim)
            }
            _ => EntryPhase::Claimed(grant),
        }
    }

    /// Queries the agent for the outcome of a dispatch and settles the claim.
    fn query_outcome(&mut self, index: usize, grant: GrantId) -> EntryPhase {
        let Entry {
            request, attempt, ..
        } = self.entries[index].clone();
        let in_flight = self.dispatches.contains(&(request, grant));
        match self.agent.fence_grant(grant) {
            GrantStatus::NotRun => {
                self.dispatches.remove(&(request, grant));
                self.settle(request, attempt, Outcome::NotRun);
                self.reported_not_run.insert(request);
                EntryPhase::Ended
            }
            GrantStatus::Running => EntryPhase::Sent(grant),
            GrantStatus::Finished(outcome) => {
                self.settle(request, attempt, outcome);
                EntryPhase::Ended
            }
            GrantStatus::Unknown if in_flight => EntryPhase::Sent(grant),
            GrantStatus::Unknown => {
                self.settle(request, attempt, Outcome::MayHaveRun);
                EntryPhase::Ended
            }
        }
    }

    fn deliver_dispatch(&mut self, request: RequestId, grant: GrantId) {
        self.dispatches.remove(&(request, grant));
        let accepts_old_grant = self.mutation == Mutation::GrantsSurviveRestart
            && grant.incarnation != Incarnation(self.incarnation);
        if accepts_old_grant || self.agent.start(request, grant, self.now_ms).is_ok() {
            self.ran.push(request);
            self.running.insert(grant);
        }
    }

    fn finish(&mut self, grant: GrantId) {
        self.running.remove(&grant);
        self.agent.finish(grant, answered(), Some(1), self.now_ms);
    }

    fn restart_agent(&mut self) {
        self.restarts_left -= 1;
        self.incarnation += 1;
        self.agent = agent(self.incarnation);
        self.running.clear();
    }

    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            successors.push(state);
        };
        for index in 0..self.entries.len() {
            add(&|state| state.advance(index));
            if self.crashes_left > 0 {
                add(&|state| {
                    state.crashes_left -= 1;
                    state.entries[index].phase = EntryPhase::Ended;
                });
            }
        }
        for (request, grant) in &self.dispatches {
            add(&|state| state.deliver_dispatch(*request, *grant));
        }
        for grant in &self.running {
            add(&|state| state.finish(*grant));
        }
        if self.restarts_left > 0 {
            add(&Self::restart_agent);
        }
        if self.expiries_left > 0 {
            add(&|state| {
                state.expiries_left -= 1;
                state.now_ms += GRANT_EXPIRY_MS;
                state.agent.tick(state.now_ms);
            });
        }
        successors
    }
}

/// Returns the number of states explored and whether one of them violates the invariant.
fn explore(mutation: Mutation) -> (usize, bool) {
    let mut states = 0;
    for state in bfs_reach(ModelState::new(mutation), ModelState::successors) {
        states += 1;
        if !state.is_safe() {
            return (states, true);
        }
    }
    (states, false)
}

macro_rules! mutations_are_caught {
    ($($name:ident => $mutation:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let (states, violated) = explore(Mutation::$mutation);
                println!("{}: {states} states, caught: {violated}", stringify!($name));
                assert!(violated);
            }
        )*
    };
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    let (states, violated) = explore(Mutation::None);
    println!("claims: {states} states, complete");
    assert!(!violated);
    assert!(states > 1000, "only {states} states");
}

mutations_are_caught! {
    a_fence_that_leaves_the_grant_is_caught => FenceKeepsGrant;
    a_take_over_without_a_fence_is_caught => TakeoverWithoutFence;
    a_dispatch_without_a_claim_is_caught => DispatchWithoutClaim;
    grants_that_survive_a_restart_are_caught => GrantsSurviveRestart;
}
