//! What happened to the latest requests, for `guavacove explain`.

use crate::{derives::record, units::*, verdict::*};
use std::{
    collections::{HashMap, VecDeque},
    fmt,
    sync::Mutex,
    time::Instant,
};

/// How many requests are remembered.
const REMEMBERED_REQUESTS: usize = 4096;
/// How many steps of one request are remembered.
const REMEMBERED_STEPS: usize = 256;

record! {
    /// One step of a request's course.
    pub enum Step {
        /// It was read and checked.
        Arrived {
            /// Whose it is.
            customer: CustomerName,
            /// What is to run it.
            service: ServiceName,
            /// Its tier.
            tier: TierName,
            /// The tokens of prompt and longest answer, estimated.
            total_tokens: TokenCount,
        },
        /// An agent was asked for a place.
        Asked {
            /// The agent.
            agent: ProcessName,
            /// Whether its target likely holds the prompt's prefix.
            holds_prefix: bool,
        },
        /// It waits at an agent.
        Queued {
            /// The agent.
            agent: ProcessName,
            /// The tokens that are served before it.
            ahead_tokens: TokenCount,
            /// How long the agent expects that to take.
            wait_ms: u64,
        },
        /// An agent has no place for it.
        Refused(ProcessName, Reason),
        /// The link to an agent was lost.
        Lost(ProcessName),
        /// An agent granted a place; the others were given up.
        Granted(ProcessName),
        /// Its claim was committed.
        Claimed(Attempt),
        /// It was dispatched.
        Dispatched(Attempt, ProcessName),
        /// An attempt brought no answer.
        Failed(Attempt, Verdict, Reason),
        /// An earlier answer was on record.
        Replayed,
        /// Its answer began.
        Answered(u16),
        /// Its answer was passed on whole.
        Delivered,
        /// Its answer broke off.
        Broken(Verdict, Reason),
        /// The caller went away before its answer was whole.
        HungUp,
        /// It was refused.
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
            Self::HungUp => f.write_str("the caller went away before the answer was whole"),
            Self::Ended(verdict, reason) => write!(f, "refused: {reason} ({verdict})"),
        }
    }
}

struct Course {
    began: Instant,
    steps: Vec<(u64, Step)>,
}

#[derive(Default)]
struct Courses {
    by_request: HashMap<RequestId, Course>,
    order: VecDeque<RequestId>,
}

/// The courses of the latest requests of one entry.
#[derive(Default)]
pub struct Journal(Mutex<Courses>);

impl Journal {
    /// Notes a step; the first one of a request begins its course.
    pub fn note(&self, request: RequestId, step: Step) {
        let mut courses = self.0.lock().expect("no holder panics");
        let Courses { by_request, order } = &mut *courses;
        let course = by_request.entry(request).or_insert_with(|| {
            order.push_back(request);
            Course {
                began: Instant::now(),
                steps: Vec::new(),
            }
        });
        if course.steps.len() < REMEMBERED_STEPS {
            course
                .steps
                .push((course.began.elapsed().as_millis() as u64, step));
        }
        while order.len() > REMEMBERED_REQUESTS {
            if let Some(oldest) = order.pop_front() {
                by_request.remove(&oldest);
            }
        }
    }

    /// A request's course in plain lines; `None` if it is not remembered.
    pub fn explain(&self, request: RequestId) -> Option<String> {
        let courses = self.0.lock().expect("no holder panics");
        let course = courses.by_request.get(&request)?;
        let lines = course
            .steps
            .iter()
            .map(|(at_ms, step)| format!("{at_ms:>7} ms  {step}\n"));
        Some(format!("request {request}\n{}", lines.collect::<String>()))
    }
}
