//! Which request a target's response belongs to.

use guavacove::gateway::response_origin::{ResponseOrigin, ResponseTraits, promises_not_run};
use hyper::StatusCode;

const OWN: Option<&str> = Some("own");
const EARLIER: Option<&str> = Some("earlier");

/// Guards against passing on, as the answer to a request, bytes that its target wrote after an
/// earlier response: without an id they prove nothing on a connection that is used again.
#[test]
fn a_response_belongs_to_the_request_whose_id_it_states() {
    use ResponseOrigin::{AnotherRequest, ThisRequest, Unknown};
    // Sent id, stated id, whether the connection is reused.
    let cases = [
        (OWN, OWN, false, ThisRequest),
        (OWN, OWN, true, ThisRequest),
        (OWN, EARLIER, false, AnotherRequest),
        (OWN, EARLIER, true, AnotherRequest),
        (OWN, None, false, ThisRequest),
        (OWN, None, true, Unknown),
        (None, EARLIER, false, AnotherRequest),
        (None, EARLIER, true, AnotherRequest),
        (None, None, false, ThisRequest),
        (None, None, true, Unknown),
    ];
    for (sent_id, stated_id, is_connection_reused, expected) in cases {
        let traits = ResponseTraits {
            sent_id,
            stated_id,
            is_connection_reused,
        };
        assert_eq!(traits.origin(), expected, "{traits:?}");
        let lacks_id = sent_id == OWN && stated_id.is_none();
        assert_eq!(traits.lacks_id(), lacks_id, "{traits:?}");
    }
}

#[test]
fn four_statuses_promise_that_a_request_has_not_run() {
    let promises = (100..=599).filter(|code| {
        let status = StatusCode::from_u16(*code).unwrap();
        promises_not_run(status)
    });
    assert_eq!(promises.collect::<Vec<u16>>(), [408, 421, 429, 503]);
}
