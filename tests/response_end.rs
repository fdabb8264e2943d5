//! Whether a response that has ended is whole.

use guavacove::{
    response_end::{ContentEnd, EndVerdict, Framing, depends_on_run, judge},
    response_head::check_status,
    target_run::RunAfter,
};
use hyper::{HeaderMap, Method, StatusCode, header::HeaderName};

#[test]
fn a_response_is_whole_only_if_its_framing_or_its_target_shows_it() {
    use ContentEnd::{AfterEvent, BeforeFirstEvent, BeforeResumedEvent, InsideEvent, NotEvents};
    use Framing::{Chunks, Connection, Length, NoBody};
    use RunAfter::{Gone, Present, Unknown};
    // 'w': whole, 'b': broken, for a run that is present, is gone, is unknown.
    let cases = [
        (NoBody, NotEvents, "www"),
        (Length, NotEvents, "www"),
        (Chunks, NotEvents, "www"),
        (Connection, NotEvents, "wbb"),
        (Length, BeforeFirstEvent, "www"),
        (Chunks, BeforeFirstEvent, "www"),
        (Connection, BeforeFirstEvent, "bbb"),
        (Length, BeforeResumedEvent, "bbb"),
        (Chunks, BeforeResumedEvent, "bbb"),
        (Connection, BeforeResumedEvent, "bbb"),
        (Length, AfterEvent, "www"),
        (Chunks, AfterEvent, "www"),
        (Connection, AfterEvent, "wbb"),
        (Length, InsideEvent, "bbb"),
        (Chunks, InsideEvent, "bbb"),
        (Connection, InsideEvent, "bbb"),
    ];
    for (framing, content, expected) in cases {
        let verdicts: Vec<EndVerdict> = [Present, Gone, Unknown]
            .map(|run| judge(framing, content, run))
            .to_vec();
        let letters = verdicts.iter().map(|verdict| match verdict {
            EndVerdict::Whole => 'w',
            EndVerdict::Broken(_) => 'b',
        });
        let letters: String = letters.collect();
        assert_eq!(letters, expected, "{framing} {content:?}");
        let differs = verdicts.iter().any(|verdict| *verdict != verdicts[0]);
        assert_eq!(depends_on_run(framing, content), differs);
    }
}

#[test]
fn the_head_tells_what_ends_the_body() {
    type Fields = &'static [(&'static str, &'static str)];
    let cases: [(Method, u16, Fields, Framing); 10] = [
        (Method::POST, 200, &[], Framing::Connection),
        (Method::POST, 500, &[], Framing::Connection),
        (
            Method::POST,
            200,
            &[("content-length", "7")],
            Framing::Length,
        ),
        (
            Method::POST,
            200,
            &[("transfer-encoding", "chunked")],
            Framing::Chunks,
        ),
        (
            Method::POST,
            200,
            &[("transfer-encoding", "gzip, Chunked")],
            Framing::Chunks,
        ),
        (
            Method::POST,
            200,
            &[("transfer-encoding", "gzip")],
            Framing::Connection,
        ),
        (
            Method::POST,
            200,
            &[("transfer-encoding", "chunked"), ("content-length", "7")],
            Framing::Chunks,
        ),
        (Method::HEAD, 200, &[], Framing::NoBody),
        (Method::GET, 204, &[], Framing::NoBody),
        (Method::GET, 304, &[], Framing::NoBody),
    ];
    for (method, status, fields, expected) in cases {
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            headers.insert(name.parse::<HeaderName>().unwrap(), value.parse().unwrap());
        }
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(
            Framing::of(&method, status, &headers),
            expected,
            "{method} {status} {fields:?}"
        );
    }
}

/// Guards against bytes that are no answer in the protocol and reach a caller as one.
#[test]
fn only_final_statuses_are_passed_on() {
    for (status, is_final) in [
        (100, false),
        (101, false),
        (199, false),
        (200, true),
        (404, true),
        (599, true),
        (600, false),
        (999, false),
    ] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(check_status(status).is_ok(), is_final, "{status}");
    }
}
