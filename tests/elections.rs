//! Elections between two replicas that are left of three, with the timing of production.

use guavacove::{
    consensus::*,
    control::replica::{TICK_MS, TIMING},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;

/// Pairs of replicas with random IDs that lose their leader in a random term.
const PAIRS: u64 = 20_000;
/// Time until one of them leads: five election timeouts at their longest.
const MAX_ELECTION_MS: u64 = 5 * (TIMING.election_ms + TIMING.spread_ms);
const MAX_TERM: u64 = 64;
const DELAY_MS: u64 = 5;

/// Time until one of two replicas leads that have lost their leader at the same moment.
fn election_ms(random: &mut SmallRng) -> Option<u64> {
    let ids: [ReplicaId; 3] = std::array::from_fn(|_| ReplicaId {
        number: 0,
        disk: random.random(),
    });
    let term = Term(random.random_range(0..MAX_TERM));
    let snapshot = Snapshot {
        index: LogIndex(1),
        membership: Membership {
            voters: ids.into_iter().collect(),
            ..Membership::default()
        },
        ..Snapshot::default()
    };
    let log = Log {
        snapshot,
        entries: Vec::new(),
    };
    let hard = HardState {
        term,
        voted_for: None,
    };
    let start = |id: &ReplicaId| (*id, Core::new(*id, TIMING, hard.clone(), log.clone(), 1));
    let mut cores: BTreeMap<ReplicaId, Core> = ids[..2].iter().map(start).collect();
    let mut network: Vec<(u64, ReplicaId, ReplicaId, Message)> = Vec::new();
    for now_ms in 1..MAX_ELECTION_MS {
        let mut inputs: Vec<(ReplicaId, Input)> = Vec::new();
        network.retain(|(due_ms, from, to, message)| {
            let (from, message) = (*from, message.clone());
            if *due_ms == now_ms {
                inputs.push((*to, Input::Receive { from, message }));
            }
            *due_ms > now_ms
        });
        if now_ms % TICK_MS == 0 {
            inputs.extend(ids[..2].iter().map(|id| (*id, Input::Tick)));
        }
        for (at, input) in inputs {
            let Some(core) = cores.get_mut(&at) else {
                continue;
            };
            let effects = core.step(now_ms, input);
            let sent = effects.messages.into_iter();
            network.extend(sent.map(|(to, message)| (now_ms + DELAY_MS, at, to, message)));
            if core.role() == RoleName::Leader {
                return Some(now_ms);
            }
        }
    }
    None
}

/// Guards against timeouts of two replicas that stay equal, so that their votes are split again and
/// again.
#[test]
fn split_votes_do_not_repeat() {
    let mut random = SmallRng::seed_from_u64(1);
    let elections = (0..PAIRS).map(|_| election_ms(&mut random));
    let undecided = elections.filter(Option::is_none).count();
    assert_eq!(undecided, 0, "of {PAIRS} elections");
}
