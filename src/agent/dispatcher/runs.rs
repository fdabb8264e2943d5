//! Dispatches in progress: started once, resumed on new links, fenced.

use super::*;

impl Dispatcher {
    /// Uses a grant, once, and passes the answer on.
    pub(super) fn dispatch(
        self: &Arc<Self>,
        request: RequestId,
        attempt: Attempt,
        grant: GrantId,
        head: Dispatched,
        link: &LinkSender<FromAgent>,
    ) {
        let target = self.open_target(None);
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
        let answer = Arc::new(Answer::new(request));
        self.answers().insert(request, (grant, Arc::clone(&answer)));
        let span = tracing::info_span!("agent.dispatch", %request, %attempt, target = %self.name);
        telemetry::continue_trace(&span, head.traceparent.as_deref());
        let (pumped, link) = (Arc::clone(&answer), link.clone());
        tokio::spawn(async move { pumped.pump(link, 0).await });
        let dispatcher = Arc::clone(self);
        tokio::spawn(
            async move {
                dispatcher
                    .run(request, grant, announcement, head, answer)
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
        head: Dispatched,
        answer: Arc<Answer>,
    ) {
        let began = Instant::now();
        let call = tracing::info_span!("target.call", %request);
        let address = announcement.address;
        let message = call.in_scope(|| target::prepare(request, address, &head));
        let outcome = match message {
            Some(message) => {
                let run = target::run(&announcement, request, message, &head, &answer);
                let outcome = run.instrument(call).await;
                if outcome == Outcome::NotRun {
                    self.lose_target();
                }
                outcome
            }
            None => {
                answer.end(Ending::Failed(Verdict::NotRun, Reason::BadRequest));
                Outcome::NotRun
            }
        };
        let whole = matches!(outcome, Outcome::Answered(_) | Outcome::AnsweredLong);
        metrics::prompt(head.prompt_tokens, whole);
        let took_ms = whole.then(|| began.elapsed().as_millis() as u64);
        let outcome = match head.keep_outcome {
            true => outcome,
            false if outcome == Outcome::NotRun => Outcome::NotRun,
            false => Outcome::MayHaveRun,
        };
        let decisions = self
            .admission()
            .finish(grant, outcome, took_ms, self.now_ms());
        self.deliver(decisions);
        let fetched = answer.end_acknowledged();
        let _ = tokio::time::timeout(Duration::from_millis(UNFETCHED_MS), fetched).await;
        let mut answers = self.answers();
        if answers
            .get(&request)
            .is_some_and(|(held, _)| *held == grant)
        {
            answers.remove(&request);
        }
    }

    /// The target took no connection: it is gone until it announces itself again.
    fn lose_target(&self) {
        tracing::warn!("agent: the target of {} takes no connection", self.name);
        *self.target.lock().expect("no holder panics") = None;
        self.publish_target();
        let refused = self.admission().refuse_waiting(Reason::NoTarget);
        self.deliver(refused);
    }

    /// Continues an answer on a new link. A dispatch that never came is fenced.
    pub(super) fn resume(
        self: &Arc<Self>,
        request: RequestId,
        grant: GrantId,
        offset: u64,
        link: &LinkSender<FromAgent>,
    ) {
        if let Some(answer) = self.answer(request, grant) {
            let link = link.clone();
            tokio::spawn(async move { answer.pump(link, offset).await });
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

    /// What became of a grant; one that is unused is withdrawn.
    pub(super) fn fence(&self, grant: GrantId) -> Outcome {
        match self.admission().fence(grant) {
            Fate::NotRun => Outcome::NotRun,
            Fate::Running => Outcome::Open,
            Fate::Finished(outcome) => outcome,
            Fate::Unknown => Outcome::MayHaveRun,
        }
    }
}
