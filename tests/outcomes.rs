//! Status of grants whose outcome an agent has evicted from its bounded store.

use guavacove::{
    agent::{Admission, Capacity, Decision, GrantStatus},
    control::command::{GrantId, Outcome, RecordedResponse},
    units::*,
    wire::Reserve,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// More dispatches than the maximum number of outcomes that an agent keeps.
const EVICTING_DISPATCHES: u64 = 5000;
/// Response size that exceeds the store of an agent after a few dispatches.
const LARGE_RESPONSE_BYTES: usize = 1024 * 1024;

struct Agent {
    admission: Admission,
    next_request: u64,
}

impl Agent {
    fn new() -> Self {
        let capacity = Capacity {
            slots: usize::MAX / 4,
            tokens: TokenCount(u64::MAX / 4),
        };
        let admission = Admission::new(Incarnation(1), capacity, 1);
        Self {
            admission,
            next_request: 0,
        }
    }

    /// Reserves a grant and uses it.
    fn start(&mut self) -> GrantId {
        self.next_request += 1;
        let request = RequestId(0, self.next_request);
        let reserve = Reserve {
            request,
            tier: TierRank(0),
            service: "filings".into(),
            prompt_tokens: TokenCount(0),
            total_tokens: TokenCount(0),
            deadline_ms: 1000,
            document_version: DocumentVersion(1),
            accept_late: true,
            push: false,
        };
        let decisions = self.admission.reserve(reserve, 1);
        let [Decision::Grant { grant, .. }] = decisions[..] else {
            panic!("no grant: {decisions:?}");
        };
        self.admission
            .start(request, grant, 1)
            .expect("the grant is unused");
        grant
    }

    fn finish(&mut self, grant: GrantId, response_bytes: usize) {
        let outcome = Outcome::Answered(RecordedResponse {
            status: 201,
            headers: Vec::new(),
            body: vec![0; response_bytes],
        });
        self.admission.finish(grant, outcome, None, 1);
    }
}

/// Guards against reporting an evicted outcome as "not run". A dispatch that outlasts thousands
/// of later ones is stored last, although its grant number is lower than those of evicted ones.
fn a_slow_dispatch_ends_last() {
    let mut agent = Agent::new();
    let slow = agent.start();
    let early = agent.start();
    agent.finish(early, 1);
    for _ in 0..EVICTING_DISPATCHES {
        let grant = agent.start();
        agent.finish(grant, 1);
    }
    agent.finish(slow, 1);
    assert_eq!(agent.admission.fence_grant(early), GrantStatus::Unknown);
    assert!(matches!(
        agent.admission.fence_grant(slow),
        GrantStatus::Finished(_)
    ));
}

/// An event at an agent: a dispatch starts, or a running one ends.
#[derive(Clone, Debug)]
enum Event {
    Start,
    End { position: usize },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match bool::arbitrary(g) {
            true => Self::Start,
            false => Self::End {
                position: usize::arbitrary(g),
            },
        }
    }
}

/// For any order in which dispatches end, the agent never reports a started one as not run.
fn started_dispatches_are_never_not_run(events: Vec<Event>) -> bool {
    let mut agent = Agent::new();
    let (mut started, mut running) = (Vec::new(), Vec::new());
    for event in events {
        match event {
            Event::Start => {
                let grant = agent.start();
                started.push(grant);
                running.push(grant);
            }
            Event::End { position } if !running.is_empty() => {
                let grant = running.swap_remove(position % running.len());
                agent.finish(grant, LARGE_RESPONSE_BYTES);
            }
            Event::End { .. } => {}
        }
    }
    started
        .into_iter()
        .all(|grant| agent.admission.fence_grant(grant) != GrantStatus::NotRun)
}

#[test]
fn a_slow_dispatch_does_not_hide_an_evicted_outcome() {
    a_slow_dispatch_ends_last();
}

#[test]
fn a_started_dispatch_is_never_reported_as_not_run() {
    let generator = Gen::from_size_and_seed(60, 7);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(started_dispatches_are_never_not_run as fn(Vec<Event>) -> bool);
}
