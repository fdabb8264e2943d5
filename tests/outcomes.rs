//! What an agent says became of its grants, also of those that it has forgotten.

use guavacove::{
    agent::{Admission, Capacity, Decision, Fate},
    control::command::{GrantId, Outcome, RecordedAnswer},
    units::*,
    wire::Reserve,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// More dispatches than an agent keeps outcomes of.
const MANY: u64 = 5000;
/// Fills what an agent keeps after a few dispatches.
const LONG_ANSWER_BYTES: usize = 1024 * 1024;

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

    /// Grants a place and uses it.
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
            insist: true,
            push: false,
        };
        let decisions = self.admission.reserve(reserve, 1);
        let [Decision::Grant { grant, .. }] = decisions[..] else {
            panic!("no grant: {decisions:?}");
        };
        self.admission.start(request, grant, 1).expect("it is free");
        grant
    }

    fn finish(&mut self, grant: GrantId, answer_bytes: usize) {
        let outcome = Outcome::Answered(RecordedAnswer {
            status: 201,
            headers: Vec::new(),
            body: vec![0; answer_bytes],
        });
        self.admission.finish(grant, outcome, None, 1);
    }
}

/// A dispatch that takes longer than thousands of later ones ends last: it does
/// not make the agent take an earlier forgotten outcome for one that never was.
fn a_slow_dispatch_ends_last() {
    let mut agent = Agent::new();
    let slow = agent.start();
    let early = agent.start();
    agent.finish(early, 1);
    for _ in 0..MANY {
        let grant = agent.start();
        agent.finish(grant, 1);
    }
    agent.finish(slow, 1);
    assert_eq!(agent.admission.fence(early), Fate::Unknown);
    assert!(matches!(agent.admission.fence(slow), Fate::Finished(_)));
}

/// What happens at an agent: a dispatch starts, or one that runs ends.
#[derive(Clone, Debug)]
enum Happening {
    Starts,
    Ends { position: usize },
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        match bool::arbitrary(g) {
            true => Self::Starts,
            false => Self::Ends {
                position: usize::arbitrary(g),
            },
        }
    }
}

/// In whichever order dispatches end, the agent never says of one that was
/// started that it did not run.
fn no_started_dispatch_is_not_run(happenings: Vec<Happening>) -> bool {
    let mut agent = Agent::new();
    let (mut started, mut running) = (Vec::new(), Vec::new());
    for happening in happenings {
        match happening {
            Happening::Starts => {
                let grant = agent.start();
                started.push(grant);
                running.push(grant);
            }
            Happening::Ends { position } if !running.is_empty() => {
                let grant = running.swap_remove(position % running.len());
                agent.finish(grant, LONG_ANSWER_BYTES);
            }
            Happening::Ends { .. } => {}
        }
    }
    started
        .into_iter()
        .all(|grant| agent.admission.fence(grant) != Fate::NotRun)
}

#[test]
fn a_slow_dispatch_hides_no_forgotten_one() {
    a_slow_dispatch_ends_last();
}

#[test]
fn a_started_dispatch_is_never_told_as_not_run() {
    let generator = Gen::from_size_and_seed(60, 7);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(no_started_dispatch_is_not_run as fn(Vec<Happening>) -> bool);
}
