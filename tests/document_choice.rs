//! Which document a process serves by that no leader has confirmed.

use guavacove::{
    consensus::ReplicaId,
    control::rpc::DocumentHolding,
    control_view::document_choice::{DocumentChoice, choose},
    units::DocumentVersion,
};
use quickcheck::quickcheck;
use std::collections::BTreeSet;

fn replica(number: u8) -> ReplicaId {
    ReplicaId { number, disk: 1 }
}

/// What a replica of a group of so many voters holds; replicas with a higher number belong to none.
fn holding(number: u8, voters: u8, committed: u64, pending: &[u64]) -> DocumentHolding {
    let members = match number < voters {
        true => 0..voters,
        false => 0..0,
    };
    DocumentHolding {
        replica: replica(number),
        voters: members.map(replica).collect(),
        committed: DocumentVersion(committed),
        pending: pending.iter().copied().map(DocumentVersion).collect(),
    }
}

fn choice(committed: u64, possible: &[u64]) -> DocumentChoice {
    DocumentChoice {
        committed: DocumentVersion(committed),
        possible: possible.iter().copied().map(DocumentVersion).collect(),
    }
}

macro_rules! choices {
    ($($name:ident: $holdings:expr, $are_complete:expr => $choice:expr;)*) => {
        $(
            /// Guards against a document that is taken for the newest as it came first.
            #[test]
            fn $name() {
                assert_eq!(choose(&$holdings, $are_complete), $choice);
            }
        )*
    };
}

choices! {
    nobody_replied: [], true => None;
    nobody_has_a_document: [holding(0, 3, 0, &[]), holding(1, 3, 0, &[])], true => None;
    a_first_document_is_not_committed: [holding(0, 3, 0, &[1]), holding(1, 3, 0, &[1])], true => None;
    one_of_three_while_others_may_reply: [holding(0, 3, 4, &[])], false => None;
    one_of_three_is_all: [holding(0, 3, 4, &[])], true => Some(choice(4, &[]));
    one_of_three_with_a_later_one_is_all: [holding(0, 3, 4, &[5])], true => Some(choice(4, &[5]));
    one_of_one: [holding(0, 1, 4, &[])], false => Some(choice(4, &[]));
    two_of_three_agree: [holding(0, 3, 4, &[]), holding(2, 3, 4, &[])], false => Some(choice(4, &[]));
    two_of_three_differ: [holding(0, 3, 4, &[]), holding(2, 3, 5, &[])], false => Some(choice(5, &[]));
    two_of_three_with_a_later_one:
        [holding(0, 3, 4, &[5, 6]), holding(2, 3, 4, &[])], false => Some(choice(4, &[5, 6]));
    a_later_one_that_another_knows_to_be_committed:
        [holding(0, 3, 4, &[5, 6]), holding(2, 3, 5, &[])], false => Some(choice(5, &[6]));
    two_of_five: [holding(0, 5, 4, &[]), holding(1, 5, 5, &[])], false => None;
    instances_without_a_vote_do_not_count:
        [holding(0, 3, 4, &[]), holding(7, 3, 0, &[]), holding(8, 3, 0, &[])], false => None;
    an_earlier_group_of_voters_does_not_suffice:
        [holding(0, 1, 4, &[]), holding(1, 3, 4, &[])], true => Some(choice(4, &[]));
    only_instances_without_a_vote: [holding(7, 3, 4, &[])], false => None;
}

/// Guards against an earlier group of voters that counts as a majority of the later one.
#[test]
fn a_majority_of_an_earlier_group_is_not_enough() {
    let holdings = [holding(0, 1, 4, &[]), holding(1, 5, 4, &[])];
    assert_eq!(choose(&holdings, false), None);
}

quickcheck! {
    /// Guards against a choice that rules out an acknowledged document: whichever majority holds
    /// it, and whoever knows that it is committed, it is the chosen one, an earlier one than that,
    /// or one that may be in force.
    fn an_acknowledged_document_is_never_ruled_out(
        voters: u8, order: Vec<u8>, holders: BTreeSet<u8>, knowing: BTreeSet<u8>
    ) -> bool {
        let voters = voters % 7 + 1;
        let holders: BTreeSet<u8> = holders.into_iter().map(|number| number % voters).collect();
        if holders.len() <= usize::from(voters) / 2 {
            return true;
        }
        let acknowledged = 9;
        let of = |number: u8| match (holders.contains(&number), knowing.contains(&number)) {
            (true, true) => holding(number, voters, acknowledged, &[]),
            (true, false) => holding(number, voters, 8, &[acknowledged]),
            (false, _) => holding(number, voters, u64::from(number % 8) + 1, &[]),
        };
        let mut replied = Vec::new();
        for number in order {
            replied.push(of(number % voters));
            if let Some(choice) = choose(&replied, false) {
                let version = DocumentVersion(acknowledged);
                return choice.committed >= version || choice.possible.contains(&version);
            }
        }
        true
    }
}
