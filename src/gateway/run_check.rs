//! Asks the address of a target which run is there, after a response that ended with its connection.

use super::{
    attempts::Attempts,
    connections::{self, Connection},
    dialect::{ForwardedMetadata, TrafficDialect},
    incoming_request::IncomingRequest,
    targets::SlotGuard,
};
use crate::{
    clock,
    control::directory::TargetEntry,
    control_view::catch_up::MAX_RENEWAL_AGE_MS,
    metrics,
    response_end::{self, ContentEnd, EndVerdict, Framing},
    target_run::{self, AddressCheck, Listing, RunAfter, RunStatement, TargetRun},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, header};
use std::{io, time::Duration};
use tokio::time::{sleep, timeout};

/// Timeout of all questions after one response. Targets answer health checks like any other request,
/// so the answer may have to wait for a slot.
const CHECK_TIMEOUT_MS: u64 = 1000;
/// Age from which the directory is not relied on without a confirmation; a leader confirms it more
/// often.
const MAX_DIRECTORY_AGE_MS: u64 = MAX_RENEWAL_AGE_MS;
/// Maximum time that a response waits for that: a leader that has news replies within round trips.
const DIRECTORY_WAIT_MS: u64 = 300;
/// Interval at which the age of the directory is checked.
const DIRECTORY_POLL_MS: u64 = 10;
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

impl<D: TrafficDialect> Attempts<D> {
    /// Returns whether a response that has ended is whole; asks which run is at the address of its
    /// target if that matters.
    pub async fn judge_end(
        &self,
        incoming: &IncomingRequest,
        slot: &SlotGuard,
        framing: Framing,
        content: ContentEnd,
    ) -> EndVerdict {
        if !response_end::depends_on_run(framing, content) {
            return response_end::judge(framing, content, RunAfter::Unknown);
        }
        let asked_ms = clock::boot_ms();
        let check = self.check_address(incoming, &slot.target).await;
        if check.needs_directory() {
            self.wait_for_directory(slot).await;
        }
        let run = TargetRun::of(&slot.target);
        let listing = slot.listing();
        let run_after = target_run::judge(&run, &check, listing);
        let took_ms = clock::boot_ms() - asked_ms;
        metrics::gateway_run_checked(&incoming.service, run_after.label(), took_ms);
        if run_after != RunAfter::Present {
            tracing::info!(
                request = incoming.id, %run, ?check, ?listing, took_ms,
                "gateway: the run that wrote a response is not known to be there"
            );
        }
        response_end::judge(framing, content, run_after)
    }

    /// Waits until the directory lists a later run, or a leader has confirmed it recently: after a
    /// freeze of this process it may list the run for which another one has come since.
    async fn wait_for_directory(&self, slot: &SlotGuard) {
        let mut waited_ms = 0;
        while waited_ms < DIRECTORY_WAIT_MS {
            let view_age_ms = self.view.load().age_ms(clock::boot_ms());
            let is_recent = view_age_ms.is_none_or(|age_ms| age_ms <= MAX_DIRECTORY_AGE_MS);
            if is_recent || slot.listing() == Listing::LaterRun {
                return;
            }
            sleep(Duration::from_millis(DIRECTORY_POLL_MS)).await;
            waited_ms += DIRECTORY_POLL_MS;
        }
        tracing::info!(target = %slot.target.name, "gateway: directory not confirmed after a response");
    }

    async fn check_address(
        &self,
        incoming: &IncomingRequest,
        target: &TargetEntry,
    ) -> AddressCheck {
        let timeout_ms = CHECK_TIMEOUT_MS.min(incoming.left_ms());
        let check = self.ask_run(incoming, target);
        let checked = timeout(Duration::from_millis(timeout_ms), check).await;
        match checked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(check) => check,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => AddressCheck::Refused,
            Err(error) => {
                tracing::info!(target = %target.name, %error, "gateway: target not reached after its response");
                AddressCheck::NotReached
            }
        }
    }

    /// Asks at each identity path of the service until an answer tells a name or a start.
    async fn ask_run(
        &self,
        incoming: &IncomingRequest,
        target: &TargetEntry,
    ) -> io::Result<AddressCheck> {
        let mut connection = connections::open(target.address).await?;
        let view = self.view.load();
        let service = view.policy.service(&incoming.service);
        let paths = service.map_or(&[][..], |service| &service.identity_paths);
        let mut check = AddressCheck::Accepted;
        for path in paths {
            let Some(question) = self.build_question(incoming, target, path) else {
                tracing::debug!(path, "gateway: this is no path to ask a target at");
                continue;
            };
            if !connection.can_be_reused() {
                connection = connections::open(target.address).await?;
            }
            check = self.ask(target, &mut connection, question).await?;
            let is_empty = |statement: &RunStatement| statement.is_empty();
            if !matches!(&check, AddressCheck::Answered(statement) if is_empty(statement)) {
                break;
            }
        }
        match paths {
            [] => self.connections.keep(target, connection),
            _ if check != AddressCheck::IsAnother && connection.can_be_reused() => {
                self.connections.release(target, connection);
            }
            _ => {}
        }
        Ok(check)
    }

    async fn ask(
        &self,
        target: &TargetEntry,
        connection: &mut Connection,
        question: Request<Full<Bytes>>,
    ) -> io::Result<AddressCheck> {
        let response = connection.send(question).await.map_err(io::Error::other)?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        let metadata = self.dialect.decode_response(parts.status, &parts.headers);
        let statement = self.dialect.decode_run(&parts.headers, &body);
        Ok(match metadata.is_another {
            true => AddressCheck::IsAnother,
            // Any other target would have said that the question is not for it.
            false if metadata.not_run && statement.is_empty() => {
                AddressCheck::Answered(RunStatement {
                    name: Some(target.name.clone()),
                    started_unix_ms: None,
                })
            }
            false => AddressCheck::Answered(statement),
        })
    }

    /// Builds a question to a target; `None` if its path is malformed.
    fn build_question(
        &self,
        incoming: &IncomingRequest,
        target: &TargetEntry,
        path: &str,
    ) -> Option<Request<Full<Bytes>>> {
        let mut headers = HeaderMap::new();
        let forwarded = ForwardedMetadata {
            target: &target.name,
            customer: None,
            deadline_ms: CHECK_TIMEOUT_MS.min(incoming.left_ms()).max(1),
            resume_after: None,
        };
        self.dialect.encode_request(&mut headers, &forwarded);
        let host = target.address.to_string().parse().ok()?;
        headers.insert(header::HOST, host);
        let question = Request::builder().method(Method::GET).uri(path);
        let mut question = question.body(Full::default()).ok()?;
        *question.headers_mut() = headers;
        Some(question)
    }
}
