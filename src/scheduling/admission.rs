//! Admission under overload: whether a request waits for a slot or is refused, and which wait a
//! refused one is told. Written for demand that exceeds the slots for many seconds, where callers
//! that are refused return once.
//!
//! An agent decides for its own queue ([`Forecast`]):
//!
//! | input | use |
//! |---|---|
//! | requests that are served before it, and the rate at which requests leave the queue | wait behind all of them |
//! | those of its precedence (with fair shares, of its customer), and the rate at which these leave while some are queued | wait while higher tiers take most slots |
//! | those past their objective, and the rate at which these leave | wait once the objective has passed, as requests within theirs go first |
//! | time for which its class has got no slot | the wait is at least as long |
//! | limit that the target states | wait until it allows the request |
//! | a free slot | no wait in the queue |
//! | requests that kept their positions and were refused late nevertheless | margin of the expected wait |
//! | its objective, and how long it has waited | it is judged until a fifth of the objective has passed, then it keeps its position |
//!
//! A gateway decides from the replies of the agents ([`Reports`]):
//!
//! | input | decision |
//! |---|---|
//! | an agent has it queued | it waits |
//! | no agent has it queued, fewer than [`REFUSAL_LIMIT`] refused it, and agents are left | the next agent is asked |
//! | no agent has it queued, and that many refused it, or none is left and one refused it | it is refused with the shortest wait that was reported |
//! | no agent has it queued and none refused it: all are unreachable or draining | it is sent without a grant |
//! | the time to start it has passed | it is refused likewise, or with the shortest wait of an agent that queued it |
//!
//! A wait that a caller is told is at least the time that it waited in vain, and never 0.

use crate::gateway::request_queue::QueuedRequest;

/// Number of refusals after which no further agent is asked: the queues of a service's agents
/// have about the same length, because requests wait in several of them.
pub const REFUSAL_LIMIT: usize = 4;
/// A request that ends refused is refused within its objective divided by this.
const REFUSAL_OBJECTIVE_DIVISOR: u64 = 5;
/// Bounds of `Retry-After`.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=5000;
/// Shortest time with queued requests from which the rate of a class is used.
const MIN_BACKLOG_MS: u64 = 300;
/// Time with queued requests after which the counts of a class are halved, so that recent ones
/// dominate.
const HALVING_BACKLOG_MS: u64 = 2000;
/// Steps of the [`Margin`]. It is steady when one in 50 requests is refused late.
const MARGIN_INCREASE_PERCENT: u64 = 50;
const MARGIN_DECREASE_PERCENT: u64 = 1;
const MAX_MARGIN_PERCENT: u64 = 800;
/// Time without queued requests after which the counts of a class are halved. A class of which all
/// requests are refused at their arrival has no queue; its rate must not be forgotten at once.
const HALVING_IDLE_MS: u64 = 2000;

/// Returns the `Retry-After` of a request that is refused with this expected wait.
pub fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.clamp(*RETRY_AFTER_RANGE_MS.start(), *RETRY_AFTER_RANGE_MS.end())
}

/// Returns until when a request may be refused because its wait is expected to be too long.
/// Later it is refused only if it can no longer be answered in time.
pub fn refusable_until_ms(waiting: &QueuedRequest) -> u64 {
    let objective_ms = waiting.objective_at_ms.saturating_sub(waiting.arrived_ms);
    let patience_ms = objective_ms / REFUSAL_OBJECTIVE_DIVISOR;
    waiting.arrived_ms.saturating_add(patience_ms)
}

/// Rate at which requests of one class get slots while some of them are queued.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassRate {
    departures_milli: u64,
    backlog_ms: u64,
    last_queued_ms: u64,
}

impl ClassRate {
    /// Records that requests of the class have been queued for this long.
    pub fn record_backlog(&mut self, elapsed_ms: u64, now_ms: u64) {
        self.backlog_ms += elapsed_ms;
        self.last_queued_ms = now_ms;
        if self.backlog_ms > HALVING_BACKLOG_MS {
            self.backlog_ms /= 2;
            self.departures_milli /= 2;
        }
    }

    /// Records a request that got a slot, here or at another target.
    pub fn record_departure(&mut self) {
        self.departures_milli += 1000;
    }

    /// Halves the counts after a while without queued requests.
    pub fn age(&mut self, now_ms: u64) {
        if now_ms >= self.last_queued_ms.saturating_add(HALVING_IDLE_MS) {
            self.last_queued_ms = now_ms;
            self.backlog_ms /= 2;
            self.departures_milli /= 2;
        }
    }

    /// Returns whether enough is known to tell the rate.
    pub fn is_known(&self) -> bool {
        self.backlog_ms >= MIN_BACKLOG_MS
    }

    /// Expected time until `count` requests of the class have got slots; `None` if requests of the
    /// class were hardly queued.
    pub fn wait_ms(&self, count: u64) -> Option<u64> {
        // Without a departure the next one is expected after twice the time observed.
        let wait_ms = || {
            count.saturating_mul(1000).saturating_mul(self.backlog_ms)
                / self.departures_milli.max(500)
        };
        self.is_known().then(wait_ms)
    }
}

/// Margin of the expected waits of one precedence (with fair shares, of one customer), corrected by what became of the requests that
/// kept their positions. New requests of higher tiers and returns go before them, which no count of
/// the queue shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Margin {
    percent: u64,
}

impl Default for Margin {
    fn default() -> Self {
        Self { percent: 100 }
    }
}

impl Margin {
    /// Records a request that got a slot.
    pub fn record_served(&mut self) {
        self.percent = (self.percent - MARGIN_DECREASE_PERCENT).max(100);
    }

    /// Records a request that was refused after it had kept its position.
    pub fn record_late_refusal(&mut self) {
        self.percent = (self.percent + MARGIN_INCREASE_PERCENT).min(MAX_MARGIN_PERCENT);
    }

    /// Returns a wait with the margin.
    pub fn of(self, wait_ms: u64) -> u64 {
        wait_ms.saturating_mul(self.percent) / 100
    }
}

/// What an agent knows of its queue when it judges a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    /// Wait behind all requests that are served before it.
    pub queue_wait_ms: u64,
    /// Wait by the rate of its precedence, or of its customer; `None` if unknown.
    pub precedence_wait_ms: Option<u64>,
    /// Wait by the rate of those among them that are past their objective; `None` if
    /// unknown.
    pub past_objective_wait_ms: Option<u64>,
    /// Time for which its class has got no slot although requests of it were queued.
    pub starved_ms: u64,
    /// Time until the target's limit allows the request.
    pub limit_wait_ms: u64,
    /// Whether the target has a free slot.
    pub has_free_slot: bool,
    /// Margin of its precedence, or of its customer.
    pub margin: Margin,
}

impl Forecast {
    /// Expected wait of the request; 0 if it gets a slot at once.
    pub fn wait_ms(&self, waiting: &QueuedRequest, now_ms: u64) -> u64 {
        let slot_wait_ms = match self.has_free_slot {
            true => 0,
            false => self.slot_wait_ms(waiting, now_ms),
        };
        slot_wait_ms.max(self.limit_wait_ms)
    }

    /// Wait that the gateway of a refused request is told, at least 1 ms. A request that would end
    /// too late even with a slot now is told by how much, or the time until the next slot.
    pub fn refused_wait_ms(&self, waiting: &QueuedRequest, now_ms: u64) -> u64 {
        let ends_ms = now_ms.saturating_add(waiting.expected_run_ms);
        let excess_ms = ends_ms.saturating_sub(waiting.deadline_at_ms);
        let wait_ms = match self.wait_ms(waiting, now_ms) {
            0 => excess_ms.max(self.queue_wait_ms),
            wait_ms => wait_ms,
        };
        wait_ms.max(1)
    }

    fn slot_wait_ms(&self, waiting: &QueuedRequest, now_ms: u64) -> u64 {
        let objective_left_ms = waiting.objective_at_ms.saturating_sub(now_ms);
        let wait_ms = self.queue_wait_ms.max(self.starved_ms);
        let wait_ms = wait_ms.max(self.precedence_wait_ms.unwrap_or(0));
        match self.past_objective_wait_ms {
            Some(past_wait_ms) if wait_ms > objective_left_ms => {
                wait_ms.max(objective_left_ms.saturating_add(past_wait_ms))
            }
            _ => wait_ms,
        }
    }

    /// Returns whether the request is expected to get its slot too late for its caller.
    pub fn misses(&self, waiting: &QueuedRequest, now_ms: u64) -> bool {
        // One that waited for longer, such as a stream to be resumed, is refused without a margin.
        let wait_ms = match self.wait_ms(waiting, now_ms) {
            wait_ms if now_ms <= refusable_until_ms(waiting) => self.margin.of(wait_ms),
            wait_ms => wait_ms,
        };
        waiting.misses_deadline(now_ms.saturating_add(wait_ms))
    }
}

/// What a gateway does next with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It waits in the queues that it has joined.
    Wait,
    /// It asks the next agent.
    Ask,
    /// It is refused with this expected wait in milliseconds.
    Refuse(u64),
    /// It is sent to the best target without a grant.
    SendUngranted,
}

/// Replies of agents to the request of one search.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports {
    refusals: usize,
    shortest_refused_ms: Option<u64>,
    shortest_queued_ms: Option<u64>,
}

impl Reports {
    /// Records that an agent queued the request with this expected wait.
    pub fn record_queued(&mut self, wait_ms: u64) {
        self.shortest_queued_ms = Some(shorter(self.shortest_queued_ms, wait_ms));
    }

    /// Records that an agent refused the request with this expected wait.
    pub fn record_refused(&mut self, wait_ms: u64) {
        self.refusals += 1;
        self.shortest_refused_ms = Some(shorter(self.shortest_refused_ms, wait_ms));
    }

    /// Records that a target's limit allows the request too late. It tells nothing about the queues
    /// of the other targets.
    pub fn record_limited(&mut self, wait_ms: u64) {
        self.shortest_refused_ms = Some(shorter(self.shortest_refused_ms, wait_ms));
    }

    /// Returns whether enough agents refused the request.
    pub fn is_refused_by_enough(&self) -> bool {
        self.refusals >= REFUSAL_LIMIT
    }

    /// Begins to count anew for a group of targets whose queues tell nothing about the others.
    pub fn begin_group(&mut self) {
        self.refusals = 0;
    }

    /// Wait that an agent expected when it first queued the request; `None` if none did.
    pub fn queued_wait_ms(&self) -> Option<u64> {
        self.shortest_queued_ms
    }

    /// Decides what to do next with a request that has waited for `waited_ms` and must start within
    /// `left_ms`.
    pub fn decide(&self, is_queued: bool, has_next: bool, waited_ms: u64, left_ms: u64) -> Step {
        let may_ask = has_next && !self.is_refused_by_enough();
        let told = |wait_ms: u64| wait_ms.max(waited_ms).max(1);
        match self.shortest_refused_ms {
            _ if left_ms == 0 => {
                let reported_ms = self.shortest_refused_ms.or(self.shortest_queued_ms);
                Step::Refuse(told(reported_ms.unwrap_or(0)))
            }
            _ if is_queued => Step::Wait,
            _ if may_ask => Step::Ask,
            Some(wait_ms) => Step::Refuse(told(wait_ms)),
            None => Step::SendUngranted,
        }
    }
}

fn shorter(known_ms: Option<u64>, wait_ms: u64) -> u64 {
    known_ms.unwrap_or(u64::MAX).min(wait_ms)
}
