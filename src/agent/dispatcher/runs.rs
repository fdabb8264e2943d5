//! Dispatches in progress: at-most-once start, resumption on a new link, and fencing.

use super::*;

impl Dispatcher {
    /// Uses a grant to dispatch a request, and forwards the response to the entry.
    pub(super) fn dispatch(
        self: &Arc<Self>,
        request: RequestId,
        attempt: Attempt,
        grant: GrantId,
        head: DispatchedRequest,
        link: &LinkSender<FromAgent>,
    ) {
        let target = self.accepting_target(None);
        let started = match &target {
            Ok(_) => self
                .admission()
                .start(request, grant, self.now_ms())
                .map_err(|_| Reason::GrantUnknown),
            Err(reason) => {
                self.release(request);
                Err(reason.clone())
            }
        };
        let announcement = match (target, started) {
            (Ok(announcement), Ok(())) => announcement,
            (_, Err(reason)) | (Err(reason), _) => {
                let verdict = Verdict::NotRun;
                let _ = link.try_send(FromAgent::Failed {
                    request,
                    verdict,
                    reason,
                });
                return;
            }
        };
        let response = Arc::new(BufferedResponse::new(request));
        self.responses()
            .insert(request, (grant, Arc::clone(&response)));
        let span = tracing::info_span!("agent.dispatch", %request, %attempt, target = %self.name);
        telemetry::continue_trace(&span, head.traceparent.as_deref());
        let (forwarded, link) = (Arc::clone(&response), link.clone());
        tokio::spawn(async move { forwarded.send_to(link, 0).await });
        let dispatcher = Arc::clone(self);
        tokio::spawn(
            async move {
                dispatcher
                    .run(request, grant, announcement, head, response)
                    .await;
            }
            .instrument(span),
        );
    }

    async fn run(
        &self,
        request: RequestId,
        grant: GrantId,
        announcement: Arc<Announcement>,
        head: DispatchedRequest,
        response: Arc<BufferedResponse>,
    ) {
        let started_at = Instant::now();
        let call = tracing::info_span!("target.call", %request);
        let address = announcement.address;
        let message = call.in_scope(|| target::build_request(request, address, &head));
        let outcome = match message {
            Some(message) => {
                let run = target::run(
                    &announcement,
                    || self.announced(),
                    request,
                    message,
                    &head,
                    &response,
                );
                let outcome = run.instrument(call).await;
                if outcome == Outcome::NotRun {
                    self.mark_unreachable();
                }
                outcome
            }
            None => {
                response.end(Ending::Failed(Verdict::NotRun, Reason::BadRequest));
                Outcome::NotRun
            }
        };
        let completed = matches!(outcome, Outcome::Answered(_) | Outcome::AnsweredLong);
        metrics::record_prompt_tokens(head.prompt_tokens, completed);
        let took_ms = completed.then(|| started_at.elapsed().as_millis() as u64);
        let outcome = match head.keep_outcome {
            true => outcome,
            false if outcome == Outcome::NotRun => Outcome::NotRun,
            false => Outcome::MayHaveRun,
        };
        let decisions = self
            .admission()
            .finish(grant, outcome, took_ms, self.now_ms());
        self.deliver(decisions);
        let acknowledged = response.end_acknowledged();
        let _ =
            tokio::time::timeout(Duration::from_millis(UNACKNOWLEDGED_TTL_MS), acknowledged).await;
        let mut responses = self.responses();
        if responses
            .get(&request)
            .is_some_and(|(stored, _)| *stored == grant)
        {
            responses.remove(&request);
        }
    }

    /// Treats the target as unavailable until its next announcement, as it could not be connected to.
    fn mark_unreachable(&self) {
        tracing::warn!("agent: cannot connect to the target of {}", self.name);
        *self.target.lock().expect("no holder panics") = None;
        self.publish_target();
        let refused = self.admission().refuse_waiting(Reason::NoTarget);
        self.deliver(refused);
    }

    /// Resumes a response on a new link. If the dispatch never arrived, its grant is fenced.
    pub(super) fn resume(
        self: &Arc<Self>,
        request: RequestId,
        grant: GrantId,
        offset: u64,
        link: &LinkSender<FromAgent>,
    ) {
        if let Some(response) = self.response(request, grant) {
            let link = link.clone();
            tokio::spawn(async move { response.send_to(link, offset).await });
            return;
        }
        let verdict = match self.fence(grant) {
            Outcome::NotRun => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        let reason = Reason::LinkLost;
        let _ = link.try_send(FromAgent::Failed {
            request,
            verdict,
            reason,
        });
    }

    /// The outcome of a grant; an unused one is withdrawn.
    pub(super) fn fence(&self, grant: GrantId) -> Outcome {
        match self.admission().fence_grant(grant) {
            GrantStatus::NotRun => Outcome::NotRun,
            GrantStatus::Running => Outcome::Open,
            GrantStatus::Finished(outcome) => outcome,
            GrantStatus::Unknown => Outcome::MayHaveRun,
        }
    }
}
