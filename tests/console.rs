//! The operators' console: signing in, drafts, changes, lost races, keys.

mod support;

use guavacove::console::{Rebased, rebase};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use std::net::SocketAddr;
use support::*;

/// A browser that is signed in, or not yet.
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
        let answer = browser
            .post("/sign-in", &json!({"token": CONSOLE_TOKEN}))
            .await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let cookie = answer.header("set-cookie");
        assert!(cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"));
        browser.cookie = cookie.split(';').next().unwrap().to_string();
        browser
    }

    /// The same browser with one header changed, or left out if empty.
    fn with(&self, name: &'static str, value: &str) -> Self {
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

    async fn draw(&self) -> Value {
        self.get("/api/document").await.json()
    }

    async fn apply(&self, drawn: &Value, change: &str, document: &Value) -> Answer {
        let edit = json!({"expected": drawn["version"], "change": change, "document": document});
        self.post("/api/apply", &edit).await
    }
}

async fn system() -> System {
    System::builder().entries(1).plain(5).start().await
}

fn lines(diff: &Value, change: &str) -> Vec<String> {
    let all = diff.as_array().cloned().unwrap_or_default();
    let wanted = all.iter().filter(|line| line["change"] == change);
    wanted
        .map(|line| line["text"].as_str().unwrap_or_default().to_string())
        .collect()
}

/// The page is for everybody, everything else for those who signed in.
async fn signing_in() {
    let system = system().await;
    let console = system.controls[0].console;
    let stranger = Browser::new(console);
    let page = stranger.get("/").await;
    assert_eq!(page.status, 200);
    assert!(
        page.header("content-security-policy")
            .contains("frame-ancestors 'none'")
    );
    for part in ["/console.css", "/console.js"] {
        assert_eq!(stranger.get(part).await.status, 200, "{part}");
    }
    for path in ["/api/document", "/api/status", "/api/schema"] {
        assert_eq!(stranger.get(path).await.status, 401, "{path}");
    }
    for path in ["/api/apply", "/api/keys", "/api/check"] {
        assert_eq!(stranger.post(path, &json!({})).await.status, 401, "{path}");
    }
    let wrong = stranger.post("/sign-in", &json!({"token": "wrong"})).await;
    assert_eq!(wrong.status, 401, "{wrong:?}");
    let operator = Browser::signed_in(console).await;
    assert_eq!(operator.draw().await["version"], 1);
    assert_eq!(operator.post("/sign-out", &json!({})).await.status, 200);
    assert_eq!(operator.get("/api/document").await.status, 401);
}

/// A page of another site can change nothing, whatever cookie the browser sends.
async fn cross_site_posts() {
    let system = system().await;
    let operator = Browser::signed_in(system.controls[0].console).await;
    let refused = [
        operator.with("guavacove-console", ""),
        operator.with("origin", "http://elsewhere.example"),
        operator.with("sec-fetch-site", "cross-site"),
    ];
    for browser in refused {
        let answer = browser.post("/api/keys", &json!({})).await;
        assert_eq!(answer.status, 403, "{answer:?}");
    }
    assert_eq!(operator.post("/api/keys", &json!({})).await.status, 200);
}

/// A customer with a new key is added at a control instance that may not lead;
/// the key works, and is in no document.
async fn an_edit() {
    let system = system().await;
    let follower = (system.leader() + 1) % 3;
    let operator = Browser::signed_in(system.controls[follower].console).await;
    let drawn = operator.draw().await;
    let key = operator.post("/api/keys", &json!({})).await.json();
    let (api_key, hash) = (key["api_key"].as_str().unwrap(), &key["key_sha256"]);
    let mut document = drawn["document"].clone();
    let customer = json!({"name": "bakery-ghent", "key_sha256": hash, "tier": "batch"});
    document["customers"].as_array_mut().unwrap().push(customer);
    let checked = operator.post("/api/check", &document).await.json();
    assert_eq!(checked["faults"], json!([]), "{checked}");
    assert_eq!(lines(&checked["diff"], "removed"), Vec::<String>::new());
    let added = lines(&checked["diff"], "added");
    assert_eq!(added[0], "- name: bakery-ghent", "{added:?}");
    assert_eq!(added.len(), 3, "{added:?}");
    for _ in 0..2 {
        let applied = operator.apply(&drawn, "one", &document).await;
        assert_eq!(
            applied.json(),
            json!({"outcome": "applied", "version": 2}),
            "{applied:?}"
        );
    }
    let reused = operator.apply(&drawn, "one", &drawn["document"]).await;
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

/// Two operators draw the same version: one wins, the other is told by what, and
/// redoes the edit on top.
async fn a_lost_race() {
    let system = system().await;
    let first = Browser::signed_in(system.controls[0].console).await;
    let second = Browser::signed_in(system.controls[1].console).await;
    let drawn = first.draw().await;
    let edit = |path: &str, value: Value| {
        let mut document = drawn["document"].clone();
        *document.pointer_mut(path).unwrap() = value;
        document
    };
    let mine = edit("/tiers/1/deadline_ms", json!(45_000));
    let theirs = edit("/services/0/queue_requests", json!(32));
    assert_eq!(first.apply(&drawn, "theirs", &theirs).await.status, 200);
    let lost = second.apply(&drawn, "mine", &mine).await;
    assert_eq!(lost.status, 409, "{lost:?}");
    let lost = lost.json();
    assert_eq!(
        (&lost["outcome"], &lost["current"], &lost["winner"]),
        (&json!("lost"), &json!(2), &json!("theirs"))
    );
    let redo = json!({
        "base": drawn["document"], "mine": mine, "theirs": lost["in_force"]["document"],
    });
    let rebased = second.post("/api/rebase", &redo).await.json();
    assert_eq!(rebased["conflicts"], json!([]));
    let applied = second
        .apply(&lost["in_force"], "mine again", &rebased["document"])
        .await;
    assert_eq!(applied.status, 200, "{applied:?}");
    let both = first.draw().await;
    assert_eq!(both["version"], 3);
    let value = |path: &str| both["document"].pointer(path).cloned();
    assert_eq!(value("/tiers/1/deadline_ms"), Some(json!(45_000)));
    assert_eq!(value("/services/0/queue_requests"), Some(json!(32)));
}

/// The console, `check` and `apply` name a fault in the same words.
async fn faults() {
    let system = system().await;
    let operator = Browser::signed_in(system.controls[0].console).await;
    let drawn = operator.draw().await;
    let mut document = drawn["document"].clone();
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
    let applied = operator.apply(&drawn, "faulty", &document).await;
    assert_eq!(applied.status, 422, "{applied:?}");
    assert_eq!(applied.json()["faults"][0]["message"], message);
    let unreadable = operator.send("POST", "/api/apply", "{".into()).await;
    assert_eq!(unreadable.status, 400, "{unreadable:?}");
}

/// Without a leader the console says so, and what to do.
async fn no_leader() {
    let mut system = System::builder().entries(1).plain(5).start().await;
    let operator = Browser::signed_in(system.controls[0].console).await;
    let drawn = operator.draw().await;
    for control in &mut system.controls[1..] {
        control.process.kill();
    }
    let answer = operator.apply(&drawn, "alone", &drawn["document"]).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    let message = answer.json()["message"].to_string();
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
    named_items_are_told_apart_by_name:
        {"l": [{"name": "x", "v": 1}]},
        {"l": [{"name": "y"}, {"name": "x", "v": 2}]},
        {"l": [{"name": "x", "v": 1, "w": 1}, {"name": "z"}]}
        => {"l": [{"name": "y"}, {"name": "x", "v": 2, "w": 1}, {"name": "z"}]}, [];
    an_item_removed_by_one_is_gone:
        {"l": [{"name": "x"}, {"name": "y"}]}, {"l": [{"name": "y"}]}, {"l": [{"name": "x"}, {"name": "y", "v": 1}]}
        => {"l": [{"name": "y", "v": 1}]}, [];
    an_item_removed_by_the_other_and_edited_is_a_conflict:
        {"l": [{"name": "x", "v": 1}]}, {"l": [{"name": "x", "v": 2}]}, {"l": []}
        => {"l": [{"name": "x", "v": 2}]}, ["/l/x"];
    rules_without_names_are_told_apart_by_value:
        {"l": [{"s": 1}]}, {"l": [{"s": 1}, {"s": 2}]}, {"l": [{"s": 3}, {"s": 1}]}
        => {"l": [{"s": 3}, {"s": 2}, {"s": 1}]}, [];
}

cases! {
    only_those_who_signed_in_see_the_document => signing_in();
    a_cross_site_post_is_refused => cross_site_posts();
    an_edit_is_reviewed_and_put_in_force => an_edit();
    a_lost_race_is_told_and_redone => a_lost_race();
    faults_are_told_in_the_words_of_check => faults();
    without_a_leader_the_console_says_so => no_leader();
}
