//! Routing, authentication and reading of a caller's request.

use super::{
    byte_budget::{ByteBudget, ByteReservation},
    connections::ConnectionKind,
    dialect::{PromptPart, RequestMetadata, TrafficDialect},
    request_body::{self, ReadBodyError},
};
use crate::{
    clock,
    control_view::View,
    document::{CustomerPolicy, RoutePolicy},
    entry::refusal::Refusal,
    grants, metrics,
    scheduling::fair_share::ShareHolder,
    units::*,
    verdict::Reason,
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Uri, body::Incoming, header};
use sha2::{Digest, Sha256};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

/// `Retry-After` of a gateway that has no document or possibly an outdated one.
const NO_DOCUMENT_RETRY_AFTER_MS: u64 = 500;

/// Estimated latency of a first event in the target and on the network.
const FIRST_EVENT_MARGIN_MS: u64 = 200;

/// A routed and authenticated request.
pub struct IncomingRequest {
    /// The caller's id of the request, or a random one.
    pub id: String,
    /// Metadata from the caller's headers.
    pub metadata: RequestMetadata,
    /// Route that the request matched.
    pub route: Arc<RoutePolicy>,
    /// Customer of the request; `None` on a public route.
    pub customer: Option<CustomerPolicy>,
    /// Whose slot time the request is charged to.
    pub share: ShareHolder,
    /// Service that the request goes to.
    pub service: ServiceName,
    /// Tier of the request.
    pub rank: TierRank,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    _body_reservation: ByteReservation,
    /// Time at which the head arrived.
    pub arrived_ms: u64,
    /// Deadline for the complete response: the caller's or the route's timeout, whichever is
    /// earlier.
    pub deadline_at_ms: u64,
    /// Version of the document that routed the request.
    pub version: DocumentVersion,
    /// See [`Self::digest`].
    digest: OnceLock<PartId>,
    may_have_run: AtomicBool,
}

impl IncomingRequest {
    /// Routes and authenticates a request and reads its body.
    ///
    /// # Errors
    /// Returns the request id and a refusal with the verdict "not run".
    pub async fn read<D: TrafficDialect>(
        request: Request<Incoming>,
        view: &View,
        dialect: D,
        budget: &ByteBudget,
    ) -> Result<Self, (String, Refusal)> {
        let arrived_ms = clock::boot_ms();
        let (parts, body) = request.into_parts();
        let metadata = dialect.decode_request(&parts.headers);
        let id = metadata
            .id
            .clone()
            .unwrap_or_else(|| RequestId::random().to_string());
        let with_id = |refusal: Refusal| (id.clone(), refusal);
        if view.policy.version == DocumentVersion(0) {
            let refusal =
                Refusal::not_run(Reason::ControlUnreachable, "no document is known here yet");
            return Err(with_id(refusal.retry_after(NO_DOCUMENT_RETRY_AFTER_MS)));
        }
        let host = parts
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
        let path = parts.uri.path();
        if !view.is_settled(host, path, metadata.api_key.as_deref()) {
            metrics::gateway_unsettled_request();
            let message = "a later document may be in force that handles the request differently";
            let refusal = Refusal::not_run(Reason::ControlUnreachable, message);
            return Err(with_id(refusal.retry_after(NO_DOCUMENT_RETRY_AFTER_MS)));
        }
        let route = view.policy.route(host, path).ok_or_else(|| {
            let message = format!("no route for {host}{path}");
            with_id(refusal_or_unavailable(
                view,
                Refusal::not_run(Reason::UnknownService, message),
            ))
        })?;
        let customer = authenticate(&metadata, route, view).map_err(with_id)?;
        let timeout_ms = metadata
            .deadline_ms
            .unwrap_or(u64::MAX)
            .min(route.timeout_ms);
        let limit_bytes = view.policy.caller_limits.body_bytes as usize;
        let is_announced = parts.headers.contains_key(header::EXPECT);
        let read = request_body::read(body, limit_bytes, timeout_ms, is_announced, budget).await;
        let body = read.map_err(|error| with_id(body_refusal(&error, budget)))?;
        Ok(Self {
            service: pick_service(route, &id),
            rank: view.policy.rank(customer.as_ref(), route),
            share: view.policy.share_holder(customer.as_ref()),
            route: Arc::clone(route),
            customer,
            id,
            metadata,
            method: parts.method,
            uri: parts.uri,
            headers: strip_hop_by_hop(parts.headers),
            body: body.bytes,
            _body_reservation: body.reservation,
            arrived_ms,
            deadline_at_ms: arrived_ms + timeout_ms,
            version: view.policy.version,
            digest: OnceLock::new(),
            may_have_run: AtomicBool::new(false),
        })
    }

    /// Returns whether a target may run the request, or has.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Records whether a target may run the request, or has.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }

    /// Returns the kind of connection that the request is sent on. Without an id its response cannot
    /// be told from other bytes on a connection that carried a request before.
    pub fn connection_kind(&self) -> ConnectionKind {
        match self.metadata.id {
            Some(_) => ConnectionKind::KeptOrNew,
            None => ConnectionKind::New,
        }
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(clock::boot_ms())
    }

    /// Returns the time by which a target must start the request, so that its first event
    /// arrives before the caller disconnects. A caller that has received an event waits as long
    /// for the next one.
    pub fn next_event_by_ms(&self, last_event_ms: Option<u64>) -> u64 {
        let event_timeout_ms = self.route.caller_event_timeout_ms.unwrap_or(u64::MAX);
        let waits_since_ms = last_event_ms.unwrap_or(self.arrived_ms);
        let silence_deadline_ms = waits_since_ms.saturating_add(event_timeout_ms);
        silence_deadline_ms
            .saturating_sub(FIRST_EVENT_MARGIN_MS)
            .min(self.deadline_at_ms)
    }

    /// Returns the number of quota units that the request costs.
    pub fn quota_units(&self) -> u64 {
        let quota = self.customer.as_ref().and_then(|customer| customer.quota);
        let stated = self.metadata.prompt_tokens.zip(self.metadata.answer_tokens);
        match quota {
            Some(quota) if quota.counts_tokens => stated
                .map_or(quota.default_tokens, |(prompt, answer)| {
                    prompt.saturating_add(answer)
                }),
            _ => 1,
        }
    }

    /// Estimates the work from the token counts that the caller declared.
    pub fn work_units(&self) -> u64 {
        self.work_units_after(0)
    }

    /// Estimates the work of a target that goes on with the request after this many units of output:
    /// the prompt, and the rest of the output.
    pub fn work_units_after(&self, done_units: u64) -> u64 {
        let max_tokens = self.metadata.answer_tokens.unwrap_or(0);
        let likely_tokens = self
            .metadata
            .likely_answer_tokens
            .unwrap_or(max_tokens)
            .min(max_tokens);
        grants::work_units(
            self.metadata.prompt_tokens.unwrap_or(0),
            likely_tokens.saturating_sub(done_units),
        )
    }

    /// Returns a hash of customer, route and content, which identifies a request that its caller
    /// retries.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.route.name.hash(&mut hasher);
        self.customer
            .as_ref()
            .map(|customer| &customer.name)
            .hash(&mut hasher);
        self.metadata.parts.hash(&mut hasher);
        self.body.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns a digest of the customer, method, path and body, by which all gateways recognise a
    /// request that is sent again. It is computed once, when it is first needed.
    pub fn digest(&self) -> PartId {
        *self.digest.get_or_init(|| {
            let customer = self.customer.as_ref();
            let customer = customer.map_or("", |customer| customer.name.0.as_str());
            let path = self.uri.path_and_query();
            let path = path.map_or("", |path| path.as_str());
            let mut hasher = Sha256::new();
            for text in [customer, self.method.as_str(), path] {
                hasher.update((text.len() as u64).to_le_bytes());
                hasher.update(text);
            }
            hasher.update(&self.body);
            let digest = hasher.finalize();
            let bytes = digest.first_chunk().expect("a digest has 32 bytes");
            PartId(u64::from_le_bytes(*bytes))
        })
    }

    /// Returns the parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> Vec<PartId> {
        let parts = self.metadata.parts.split_last();
        parts.map_or_else(Vec::new, |(_own, shared)| {
            shared.iter().map(|part| part.id).collect()
        })
    }

    /// Returns the parts of the prompt if other requests may share all but the last; none otherwise.
    pub fn prefix_parts(&self) -> &[PromptPart] {
        match self.route.shares_prefixes {
            true => &self.metadata.parts,
            false => &[],
        }
    }
}

/// Builds the refusal of a request whose body was not read.
fn body_refusal(error: &ReadBodyError, budget: &ByteBudget) -> Refusal {
    let refuse = |reason| Refusal::not_run(reason, error.to_string());
    match error {
        ReadBodyError::TooLong { .. } => refuse(Reason::TooLarge),
        ReadBodyError::Incomplete => refuse(Reason::BadRequest),
        ReadBodyError::Late => refuse(Reason::Expired).retry_after(NO_DOCUMENT_RETRY_AFTER_MS),
        ReadBodyError::NoRoom => {
            metrics::gateway_byte_budget_spent();
            refuse(Reason::Overloaded).retry_after(budget.retry_after_ms())
        }
    }
}

/// Returns the customer that the API key belongs to; `None` if the route needs no key.
fn authenticate(
    metadata: &RequestMetadata,
    route: &RoutePolicy,
    view: &View,
) -> Result<Option<CustomerPolicy>, Refusal> {
    if route.public || !view.policy.has_customers() {
        return Ok(None);
    }
    let key = metadata.api_key.as_deref();
    match key.and_then(|key| view.policy.customer(key)) {
        Some(customer) => Ok(Some(customer.clone())),
        None => {
            let message = "no customer has this API key";
            let refusal = Refusal::not_run(Reason::UnknownCustomer, message);
            Err(refusal_or_unavailable(view, refusal))
        }
    }
}

/// Returns the refusal if the document is current. An outdated document may lack the requested
/// entry, so the request is refused as unavailable instead.
fn refusal_or_unavailable(view: &View, refusal: Refusal) -> Refusal {
    match view.is_valid() {
        true => refusal,
        false => {
            let message = "the document known here may be out of date";
            Refusal::not_run(Reason::ControlUnreachable, message)
                .retry_after(NO_DOCUMENT_RETRY_AFTER_MS)
        }
    }
}

/// Picks one of the route's services by weight, consistently for a request id.
fn pick_service(route: &RoutePolicy, id: &str) -> ServiceName {
    let total: u64 = route.targets.iter().map(|(_, weight)| weight).sum();
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let mut remaining = hasher.finish() % total.max(1);
    for (service, weight) in &route.targets {
        match remaining.checked_sub(*weight) {
            Some(rest) => remaining = rest,
            None => return service.clone(),
        }
    }
    route.targets[0].0.clone()
}

/// Removes hop-by-hop headers.
pub fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(&name);
    }
    let hop_by_hop: Vec<header::HeaderName> = headers
        .keys()
        .filter(|name| crate::agent::is_hop_by_hop_header(name.as_str()))
        .cloned()
        .collect();
    for name in hop_by_hop {
        headers.remove(name);
    }
    headers
}
