//! Batch of a stand-in engine: prompts are prefilled one at a time, then decoded concurrently.

use super::*;

struct Completion {
    id: String,
    prompt: Vec<u8>,
    prompt_tokens: u64,
    max_tokens: u64,
    is_stream: bool,
    is_chat: bool,
}

impl Shared {
    /// Runs a completion request in the batch and responds with its output.
    pub(super) async fn complete(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<EngineBody> {
        let is_chat = request.uri().path().ends_with("/chat/completions");
        let path = request.uri().path().to_string();
        let header = request
            .headers()
            .get(REQUEST_ID_HEADER)
            .and_then(|value| value.to_str().ok());
        let id = header.map_or_else(|| RequestId::random().to_string(), String::from);
        let body = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let parsed = body
            .ok()
            .and_then(|body| serde_json::from_slice::<Value>(&body).ok());
        let Some(parsed) = parsed else {
            let error = json!({"error": "the body is not JSON"});
            return json(StatusCode::BAD_REQUEST, &error).map(Either::Left);
        };
        *self
            .runs
            .lock()
            .expect("no holder panics")
            .entry(id.clone())
            .or_default() += 1;
        let text = match is_chat {
            true => parsed["messages"]
                .as_array()
                .map_or(String::new(), |messages| {
                    messages
                        .iter()
                        .filter_map(|message| message["content"].as_str())
                        .collect()
                }),
            false => parsed["prompt"].as_str().unwrap_or_default().to_string(),
        };
        let in_progress = self.open_requests.load(Ordering::Relaxed) as u64 + 1;
        if self.fault.apply(in_progress, &path).await == Some(FaultKind::Fail) {
            let error = json!({"error": "a fault of this version"});
            return json(StatusCode::INTERNAL_SERVER_ERROR, &error).map(Either::Left);
        }
        let completion = Completion {
            prompt_tokens: text.len() as u64 / 4 + 1,
            prompt: text.into_bytes(),
            max_tokens: parsed["max_tokens"].as_u64().unwrap_or(16),
            is_stream: parsed["stream"].as_bool().unwrap_or(false),
            is_chat,
            id,
        };
        let stream = Arc::new(EngineStream::new(completion.is_stream));
        let streams = &self.streams;
        streams
            .lock()
            .expect("no holder panics")
            .insert(completion.id.clone(), Arc::clone(&stream));
        let (shared, output) = (Arc::clone(self), Arc::clone(&stream));
        let is_stream = completion.is_stream;
        tokio::spawn(async move {
            let id = completion.id.clone();
            shared.open_requests.fetch_add(1, Ordering::Relaxed);
            shared.generate(completion, output).await;
            shared.open_requests.fetch_sub(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(KEPT_STREAM_MS)).await;
            shared.streams.lock().expect("no holder panics").remove(&id);
        });
        match is_stream {
            true => stream_response(stream, 0),
            false => {
                let bytes = stream.collect().await;
                let mut response = Response::new(Either::Left(Full::new(Bytes::from(bytes))));
                let json = hyper::header::HeaderValue::from_static("application/json");
                response.headers_mut().insert("content-type", json);
                response
            }
        }
    }

    /// Prefills the prompt, then decodes into the stream.
    async fn generate(&self, completion: Completion, stream: Arc<EngineStream>) {
        let _slot = self.slots.acquire().await;
        self.record_start(&completion.id);
        let counters = &self.counters;
        let cached = self
            .cache
            .lock()
            .expect("no holder panics")
            .lookup_and_insert(&completion.prompt)
            .0;
        let computed = completion.prompt_tokens.saturating_sub(cached);
        counters
            .prompt_tokens
            .fetch_add(completion.prompt_tokens, Ordering::Relaxed);
        counters
            .cached_tokens
            .fetch_add(completion.prompt_tokens - computed, Ordering::Relaxed);
        {
            let _prefill = self.prefill.lock().await;
            let micros = computed * 1_000_000 / self.settings.prefill_tokens_per_s.max(1);
            tokio::time::sleep(self.with_slowdown(Duration::from_micros(micros))).await;
        }
        counters
            .computed_tokens
            .fetch_add(computed, Ordering::Relaxed);
        self.decoding.fetch_add(1, Ordering::Relaxed);
        let finished = self.decode(&completion, &stream).await;
        self.decoding.fetch_sub(1, Ordering::Relaxed);
        if finished {
            counters.completed.fetch_add(1, Ordering::Relaxed);
        } else {
            counters.cancelled.fetch_add(1, Ordering::Relaxed);
            counters
                .cancelled_prompt_tokens
                .fetch_add(computed, Ordering::Relaxed);
        }
    }

    fn record_start(&self, id: &str) {
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let mut starts = self.starts.lock().expect("no holder panics");
        starts.insert(id.into(), started.as_millis() as u64);
    }

    fn with_slowdown(&self, duration: Duration) -> Duration {
        duration * self.slowdown_percent.load(Ordering::Relaxed) as u32 / 100
    }

    async fn decode(&self, completion: &Completion, stream: &EngineStream) -> bool {
        let mut position = 0;
        let mut due_tokens = 0.0;
        let mut last = Instant::now();
        let mut text = String::new();
        while position < completion.max_tokens {
            let concurrent = self.decoding.load(Ordering::Relaxed) as f64;
            let contention = (concurrent / self.settings.full_speed_requests as f64).max(1.0);
            let slowdown = self.slowdown_percent.load(Ordering::Relaxed) as f64 / 100.0;
            let per_s = self.settings.decode_tokens_per_s as f64 / contention / slowdown;
            let interval_ms = (1000.0 / per_s).max(EMIT_INTERVAL_MS as f64);
            tokio::time::sleep(Duration::from_secs_f64(interval_ms / 1000.0)).await;
            due_tokens += last.elapsed().as_secs_f64() * per_s;
            last = Instant::now();
            let mut chunk = String::new();
            while due_tokens >= 1.0 && position < completion.max_tokens {
                let token = token_text(&completion.id, position);
                match completion.is_stream {
                    true => chunk.push_str(&event(completion, &token)),
                    false => text.push_str(&token),
                }
                position += 1;
                due_tokens -= 1.0;
                self.counters
                    .generated_tokens
                    .fetch_add(1, Ordering::Relaxed);
            }
            if stream.append(chunk.as_bytes()) {
                return false;
            }
        }
        match completion.is_stream {
            true => stream.append(b"data: [DONE]\n\n"),
            false => stream.append(completion_body(completion, &text).as_bytes()),
        };
        stream.finish();
        true
    }
}

fn event(completion: &Completion, token: &str) -> String {
    let choice = match completion.is_chat {
        true => json!({"index": 0, "delta": {"content": token}, "finish_reason": null}),
        false => json!({"index": 0, "text": token, "finish_reason": null}),
    };
    format!(
        "data: {}\n\n",
        json!({"id": completion.id, "choices": [choice]})
    )
}

fn completion_body(completion: &Completion, text: &str) -> String {
    let choice = match completion.is_chat {
        true => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }),
        false => json!({"index": 0, "text": text, "finish_reason": "stop"}),
    };
    let usage = json!({
        "prompt_tokens": completion.prompt_tokens,
        "completion_tokens": completion.max_tokens,
    });
    json!({"id": completion.id, "choices": [choice], "usage": usage}).to_string()
}
