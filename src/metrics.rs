//! The metrics of entries and agents.

use crate::{
    units::*,
    verdict::{Reason, Verdict},
};
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Histogram},
};
use std::sync::LazyLock;

static REQUESTS: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.requests")
        .with_description("Requests answered or refused, by tier, verdict and reason")
        .build()
});

static GOODPUT: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.goodput")
        .with_description("Requests whose answer was whole within their tier's deadline, by tier")
        .build()
});

static QUEUE_WAIT: LazyLock<Histogram<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_histogram("guavacove.queue_wait")
        .with_unit("ms")
        .with_description("How long requests waited for a place, by tier")
        .build()
});

static PROMPT_TOKENS: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.prompt_tokens")
        .with_unit("token")
        .with_description("Prompt tokens dispatched, by outcome: answered or wasted")
        .build()
});

/// Counts an answer of a target, and whether it came in time.
pub fn answered(tier: &TierName, in_time: bool) {
    let tier = KeyValue::new("tier", tier.0.clone());
    let verdict = KeyValue::new("verdict", Verdict::Ran.to_string());
    REQUESTS.add(1, &[tier.clone(), verdict]);
    GOODPUT.add(u64::from(in_time), &[tier]);
}

/// Counts a refusal.
pub fn refused(tier: &TierName, verdict: Verdict, reason: &Reason) {
    REQUESTS.add(
        1,
        &[
            KeyValue::new("tier", tier.0.clone()),
            KeyValue::new("verdict", verdict.to_string()),
            KeyValue::new("reason", reason.to_string()),
        ],
    );
}

/// Records how long a request waited for a place.
pub fn waited(tier: &TierName, wait_ms: u64) {
    QUEUE_WAIT.record(wait_ms, &[KeyValue::new("tier", tier.0.clone())]);
}

/// Counts the prompt of a dispatch that has ended.
pub fn prompt(tokens: TokenCount, answered: bool) {
    let outcome = if answered { "answered" } else { "wasted" };
    PROMPT_TOKENS.add(tokens.0, &[KeyValue::new("outcome", outcome)]);
}
