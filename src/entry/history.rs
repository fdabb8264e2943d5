//! The steps of recent requests, for `guavacove explain`.

use crate::{derives::record, units::*, verdict::*};
use std::{
    collections::{HashMap, VecDeque},
    fmt,
    sync::Mutex,
    time::Instant,
};

/// Maximum number of requests kept.
const MAX_REQUESTS: usize = 4096;
/// Maximum number of steps kept per request.
const MAX_STEPS_PER_REQUEST: usize = 256;

record! {
    /// One step in the processing of a request.
    pub enum Step {
        /// The request was read and validated.
        Arrived {
            /// The customer that sent it.
            customer: CustomerName,
            /// The requested service.
            service: ServiceName,
            /// The request's tier.
            tier: TierName,
            /// The estimated tokens of the prompt and the longest response.
            total_tokens: TokenCount,
        },
        /// An agent was asked for a slot.
        Asked {
            /// The agent.
            agent: ProcessName,
            /// Whether its target likely has the prompt prefix cached.
            holds_prefix: bool,
        },
        /// The request waits in an agent's queue.
        Queued {
            /// The agent.
            agent: ProcessName,
            /// The tokens of the requests ahead of it.
            ahead_tokens: TokenCount,
            /// The agent's estimate of the wait.
            wait_ms: u64,
        },
        /// An agent refused a slot.
        Refused(ProcessName, Reason),
        /// The link to an agent was lost.
        Lost(ProcessName),
        /// An agent granted a slot; the other reservations were released.
        Granted(ProcessName),
        /// The claim was committed.
        Claimed(Attempt),
        /// The request was dispatched.
        Dispatched(Attempt, ProcessName),
        /// An attempt got no response.
        Failed(Attempt, Verdict, Reason),
        /// A recorded response was sent.
        Replayed,
        /// The response began with this status.
        Answered(u16),
        /// The complete response was delivered.
        Delivered,
        /// The response failed midway.
        Broken(Verdict, Reason),
        /// The caller disconnected before the end of the response.
        #[serde(rename = "HungUp")]
        CallerDisconnected,
        /// The request was refused.
        Ended(Verdict, Reason),
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Arrived {
                customer,
                service,
                tier,
                total_tokens,
            } => write!(
                f,
                "arrived from {customer} for {service}, tier {tier}, {total_tokens} tokens at most"
            ),
            Self::Asked {
                agent,
                holds_prefix: true,
            } => write!(
                f,
                "asked {agent} for a place, as it likely holds the prompt's prefix"
            ),
            Self::Asked { agent, .. } => write!(f, "asked {agent} for a place"),
            Self::Queued {
                agent,
                ahead_tokens,
                wait_ms,
            } => write!(
                f,
                "waits at {agent} behind {ahead_tokens} tokens, about {wait_ms} ms"
            ),
            Self::Refused(agent, reason) => write!(f, "no place at {agent}: {reason}"),
            Self::Lost(agent) => write!(f, "the link to {agent} was lost"),
            Self::Granted(agent) => write!(f, "{agent} granted a place first"),
            Self::Claimed(attempt) => write!(f, "attempt {attempt}: the claim was committed"),
            Self::Dispatched(attempt, agent) => {
                write!(f, "attempt {attempt}: dispatched to {agent}")
            }
            Self::Failed(attempt, verdict, reason) => {
                write!(f, "attempt {attempt}: no answer: {reason} ({verdict})")
            }
            Self::Replayed => f.write_str("an earlier answer was on record and was passed on"),
            Self::Answered(status) => write!(f, "the answer began with status {status} (ran)"),
            Self::Delivered => f.write_str("the answer was passed on whole"),
            Self::Broken(verdict, reason) => {
                write!(f, "the answer broke off: {reason} ({verdict})")
            }
            Self::CallerDisconnected => {
                f.write_str("the caller went away before the answer was whole")
            }
            Self::Ended(verdict, reason) => write!(f, "refused: {reason} ({verdict})"),
        }
    }
}

struct Timeline {
    started_at: Instant,
    steps: Vec<(u64, Step)>,
}

#[derive(Default)]
struct Timelines {
    by_request: HashMap<RequestId, Timeline>,
    order: VecDeque<RequestId>,
}

/// The timelines of an entry's most recent requests.
#[derive(Default)]
pub struct RequestHistory(Mutex<Timelines>);

impl RequestHistory {
    /// Records a step; the first step of a request starts its timeline.
    pub fn record(&self, request: RequestId, step: Step) {
        let mut timelines = self.0.lock().expect("no holder panics");
        let Timelines { by_request, order } = &mut *timelines;
        let timeline = by_request.entry(request).or_insert_with(|| {
            order.push_back(request);
            Timeline {
                started_at: Instant::now(),
                steps: Vec::new(),
            }
        });
        if timeline.steps.len() < MAX_STEPS_PER_REQUEST {
            timeline
                .steps
                .push((timeline.started_at.elapsed().as_millis() as u64, step));
        }
        while order.len() > MAX_REQUESTS {
            if let Some(oldest) = order.pop_front() {
                by_request.remove(&oldest);
            }
        }
    }

    /// Formats a request's timeline as text; `None` if it is no longer kept.
    pub fn explain(&self, request: RequestId) -> Option<String> {
        let timelines = self.0.lock().expect("no holder panics");
        let timeline = timelines.by_request.get(&request)?;
        let lines = timeline
            .steps
            .iter()
            .map(|(at_ms, step)| format!("{at_ms:>7} ms  {step}\n"));
        Some(format!("request {request}\n{}", lines.collect::<String>()))
    }
}
