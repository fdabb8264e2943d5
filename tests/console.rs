//! Tests of the operators' console: sign-in, validation, changes, lost races, API keys.

mod support;

use guavacove::console::{Rebased, rebase};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use std::net::SocketAddr;
use support::*;

/// A browser, with or without a session.
struct Browser {
    console: SocketAddr,
    cookie: String,
    headers: Vec<(&'static str, String)>,
}

impl Browser {
    fn new(console: SocketAddr) -> Self {
        let headers = vec![
            ("guavacove-console", "1".into()),
            ("origin", format!("http://{console}")),
            ("sec-fetch-site", "same-origin".into()),
        ];
        Self {
            console,
            cookie: String::new(),
            headers,
        }
    }

    async fn signed_in(console: SocketAddr) -> Self {
        let mut browser = Self::new(console);
        let response = browser
            .post("/sign-in", &json!({"token": CONSOLE_TOKEN}))
            .await;
        assert_eq!(response.status, 200, "{response:?}");
        let cookie = response.header("set-cookie");
        assert!(cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"));
        browser.cookie = cookie.split(';').next().unwrap().to_string();
        browser
    }

    /// The same browser with one header changed, or omitted if `value` is empty.
    fn with_header(&self, name: &'static str, value: &str) -> Self {
        let others = self.headers.iter().filter(|(other, _)| *other != name);
        let mut headers: Vec<_> = others.cloned().collect();
        headers.push((name, value.to_string()));
        headers.retain(|(_, value)| !value.is_empty());
        Self {
            console: self.console,
            cookie: self.cookie.clone(),
            headers,
        }
    }

    async fn send(&self, method: &str, path: &str, body: String) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.console.to_string())
            .header("cookie", &self.cookie);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        fetch(self.console, request).await
    }

    async fn get(&self, path: &str) -> Answer {
        self.send("GET", path, String::new()).await
    }

    async fn post(&self, path: &str, body: &Value) -> Answer {
        self.send("POST", path, body.to_string()).await
    }

    async fn load_document(&self) -> Value {
        self.get("/api/document").await.json()
    }

    async fn apply(&self, loaded: &Value, change: &str, document: &Value) -> Answer {
        let edit = json!({"expected": loaded["version"], "change": change, "document": document});
        self.post("/api/apply", &edit).await
    }
}

async fn start_system() -> System {
    System::builder().entries(1).plain(5).start().await
}

fn lines(diff: &Value, change: &str) -> Vec<String> {
    let all = diff.as_array().cloned().unwrap_or_default();
    let wanted = all.iter().filter(|line| line["change"] == change);
    wanted
        .map(|line| line["text"].as_str().unwrap_or_default().to_string())
        .collect()
}

/// Guards against API calls without a session: only the page itself is public.
async fn only_signed_in_operators_can_call_the_api() {
    let system = start_system().await;
    let console = system.controls[0].console;
    let anonymous = Browser::new(console);
    let page = anonymous.get("/").await;
    assert_eq!(page.status, 200);
    assert!(
        page.header("content-security-policy")
            .contains("frame-ancestors 'none'")
    );
    for path in ["/console.css", "/console.js"] {
        assert_eq!(anonymous.get(path).await.status, 200, "{path}");
    }
    for path in ["/api/document", "/api/status", "/api/schema"] {
        assert_eq!(anonymous.get(path).await.status, 401, "{path}");
    }
    for path in ["/api/apply", "/api/keys", "/api/check"] {
        assert_eq!(anonymous.post(path, &json!({})).await.status, 401, "{path}");
    }
    let wrong = anonymous.post("/sign-in", &json!({"token": "wrong"})).await;
    assert_eq!(wrong.status, 401, "{wrong:?}");
    let operator = Browser::signed_in(console).await;
    assert_eq!(operator.load_document().await["version"], 1);
    assert_eq!(operator.post("/sign-out", &json!({})).await.status, 200);
    assert_eq!(operator.get("/api/document").await.status, 401);
}

/// Guards against cross-site request forgery: a page of another site makes the browser send a
/// POST with the session's cookie.
async fn cross_site_posts_are_refused() {
    let system = start_system().await;
    let operator = Browser::signed_in(system.controls[0].console).await;
    let browsers = [
        operator.with_header("guavacove-console", ""),
        operator.with_header("origin", "http://elsewhere.example"),
        operator.with_header("sec-fetch-site", "cross-site"),
    ];
    for browser in browsers {
        let response = browser.post("/api/keys", &json!({})).await;
        assert_eq!(response.status, 403, "{response:?}");
    }
    assert_eq!(operator.post("/api/keys", &json!({})).await.status, 200);
}

/// Adds a customer with a new key at a control instance that does not lead. Guards against an
/// API key that does not work or that the document reveals.
async fn an_edit_is_reviewed_and_applied() {
    let system = start_system().await;
    let follower = (system.leader() + 1) % 3;
    let operator = Browser::signed_in(system.controls[follower].console).await;
    let loaded = operator.load_document().await;
    let key = operator.post("/api/keys", &json!({})).await.json();
    let (api_key, hash) = (key["api_key"].as_str().unwrap(), &key["key_sha256"]);
    let mut document = loaded["document"].clone();
    let customer = json!({"name": "bakery-ghent", "key_sha256": hash, "tier": "batch"});
    document["customers"].as_array_mut().unwrap().push(customer);
    let checked = operator.post("/api/check", &document).await.json();
    assert_eq!(checked["faults"], json!([]), "{checked}");
    assert_eq!(lines(&checked["diff"], "removed"), Vec::<String>::new());
    let added = lines(&checked["diff"], "added");
    assert_eq!(added[0], "- name: bakery-ghent", "{added:?}");
    assert_eq!(added.len(), 3, "{added:?}");
    for _ in 0..2 {
        let applied = operator.apply(&loaded, "one", &document).await;
        assert_eq!(
            applied.json(),
            json!({"outcome": "applied", "version": 2}),
            "{applied:?}"
        );
    }
    let reused = operator.apply(&loaded, "one", &loaded["document"]).await;
    assert_eq!(reused.json()["reason"], "change-reused", "{reused:?}");
    let entry = system.entries[0].1;
    eventually("the key works", 4000, || async {
        let request = Request::get("/services/filings/x")
            .header("host", "guavacove")
            .header("authorization", format!("Bearer {api_key}"));
        let request = request.body(Full::default()).unwrap();
        fetch(entry, request).await.status == 200
    })
    .await;
    let in_force = String::from_utf8(system.command(&["get"]).stdout).unwrap();
    assert!(in_force.contains("bakery-ghent") && !in_force.contains(api_key));
}

/// Guards against lost updates: two operators edit the same version. The second learns which
/// change was applied first, and rebases its edit onto it.
async fn a_lost_race_is_reported_and_rebased() {
    let system = start_system().await;
    let first = Browser::signed_in(system.controls[0].console).await;
    let second = Browser::signed_in(system.controls[1].console).await;
    let loaded = first.load_document().await;
    let edit = |path: &str, value: Value| {
        let mut document = loaded["document"].clone();
        *document.pointer_mut(path).unwrap() = value;
        document
    };
    let mine = edit("/tiers/1/deadline_ms", json!(45_000));
    let theirs = edit("/services/0/queue_requests", json!(32));
    assert_eq!(first.apply(&loaded, "theirs", &theirs).await.status, 200);
    let lost = second.apply(&loaded, "mine", &mine).await;
    assert_eq!(lost.status, 409, "{lost:?}");
    let lost = lost.json();
    assert_eq!(
        (&lost["outcome"], &lost["current"], &lost["winner"]),
        (&json!("lost"), &json!(2), &json!("theirs"))
    );
    let edits = json!({
        "base": loaded["document"], "mine": mine, "theirs": lost["in_force"]["document"],
    });
    let rebased = second.post("/api/rebase", &edits).await.json();
    assert_eq!(rebased["conflicts"], json!([]));
    let applied = second
        .apply(&lost["in_force"], "mine again", &rebased["document"])
        .await;
    assert_eq!(applied.status, 200, "{applied:?}");
    let both = first.load_document().await;
    assert_eq!(both["version"], 3);
    let value = |path: &str| both["document"].pointer(path).cloned();
    assert_eq!(value("/tiers/1/deadline_ms"), Some(json!(45_000)));
    assert_eq!(value("/services/0/queue_requests"), Some(json!(32)));
}

/// Guards against validation errors worded differently by the console, `check` and `apply`.
async fn validation_errors_match_those_of_the_commands() {
    let system = start_system().await;
    let operator = Browser::signed_in(system.controls[0].console).await;
    let loaded = operator.load_document().await;
    let mut document = loaded["document"].clone();
    document["customers"][0]["tier"] = json!("drift");
    let checked = operator.post("/api/check", &document).await.json();
    let message = checked["faults"][0]["message"].as_str().unwrap();
    assert_eq!(checked["faults"][0]["path"], "/customers/0/tier");
    let file = system.write("faulty.yaml", checked["yaml"].as_str().unwrap());
    for command in ["check", "apply"] {
        let output = match command {
            "check" => guavacove(&["check", &file]),
            _ => system.command(&["apply", &file]),
        };
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(message), "{command}: {text}");
    }
    let applied = operator.apply(&loaded, "faulty", &document).await;
    assert_eq!(applied.status, 422, "{applied:?}");
    assert_eq!(applied.json()["faults"][0]["message"], message);
    let unreadable = operator.send("POST", "/api/apply", "{".into()).await;
    assert_eq!(unreadable.status, 400, "{unreadable:?}");
}

/// Guards against an unclear outcome without a leader: the change may have been accepted, so
/// the message says to send the same change again.
async fn a_missing_leader_is_reported() {
    let mut system = System::builder().entries(1).plain(5).start().await;
    let operator = Browser::signed_in(system.controls[0].console).await;
    let loaded = operator.load_document().await;
    for control in &mut system.controls[1..] {
        control.process.kill();
    }
    let response = operator.apply(&loaded, "alone", &loaded["document"]).await;
    assert_eq!(response.status, 503, "{response:?}");
    let message = response.json()["message"].to_string();
    assert!(message.contains("send the same one again"), "{message}");
}

macro_rules! rebases {
    ($($name:ident: $base:tt, $mine:tt, $theirs:tt => $document:tt, $conflicts:tt;)*) => {
        $(
            #[test]
            fn $name() {
                let rebased = rebase(&json!($base), &json!($mine), &json!($theirs));
                let conflicts: Vec<String> = serde_json::from_value(json!($conflicts)).unwrap();
                assert_eq!(rebased, Rebased { document: json!($document), conflicts });
            }
        )*
    };
}

rebases! {
    edits_of_different_members_are_both_kept:
        {"a": 1, "b": 1}, {"a": 2, "b": 1}, {"a": 1, "b": 3} => {"a": 2, "b": 3}, [];
    an_edit_of_the_same_value_is_a_conflict:
        {"a": 1}, {"a": 2}, {"a": 3} => {"a": 2}, ["/a"];
    equal_edits_are_no_conflict:
        {"a": 1}, {"a": 2}, {"a": 2} => {"a": 2}, [];
    named_items_are_identified_by_name:
        {"l": [{"name": "x", "v": 1}]},
        {"l": [{"name": "y"}, {"name": "x", "v": 2}]},
        {"l": [{"name": "x", "v": 1, "w": 1}, {"name": "z"}]}
        => {"l": [{"name": "y"}, {"name": "x", "v": 2, "w": 1}, {"name": "z"}]}, [];
    an_item_removed_by_one_side_is_removed:
        {"l": [{"name": "x"}, {"name": "y"}]}, {"l": [{"name": "y"}]}, {"l": [{"name": "x"}, {"name": "y", "v": 1}]}
        => {"l": [{"name": "y", "v": 1}]}, [];
    an_item_edited_here_and_removed_by_the_other_side_is_a_conflict:
        {"l": [{"name": "x", "v": 1}]}, {"l": [{"name": "x", "v": 2}]}, {"l": []}
        => {"l": [{"name": "x", "v": 2}]}, ["/l/x"];
    items_without_names_are_identified_by_value:
        {"l": [{"s": 1}]}, {"l": [{"s": 1}, {"s": 2}]}, {"l": [{"s": 3}, {"s": 1}]}
        => {"l": [{"s": 3}, {"s": 2}, {"s": 1}]}, [];
}

cases! {
    only_signed_in_operators_see_the_document => only_signed_in_operators_can_call_the_api();
    a_cross_site_post_is_refused => cross_site_posts_are_refused();
    an_edit_takes_effect => an_edit_is_reviewed_and_applied();
    a_lost_race_can_be_rebased => a_lost_race_is_reported_and_rebased();
    validation_errors_are_worded_like_those_of_check =>
        validation_errors_match_those_of_the_commands();
    a_change_without_a_leader_is_refused => a_missing_leader_is_reported();
}
