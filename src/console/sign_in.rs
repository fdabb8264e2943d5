//! Who is signed in to the console: a token from the settings, then a cookie.

use crate::units::RequestId;
use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};
use subtle::ConstantTimeEq;

/// The cookie's name.
const COOKIE: &str = "guavacove-console";
/// How long a sign-in lasts.
const SIGN_IN_S: u64 = 8 * 60 * 60;
/// How many sign-ins are known at one time; the oldest go first.
const SIGN_INS: usize = 64;

/// The sign-ins of one console.
pub struct SignIns {
    token: String,
    until: Mutex<HashMap<RequestId, Instant>>,
}

impl SignIns {
    /// Nobody is signed in yet.
    pub fn new(token: String) -> Self {
        Self {
            token,
            until: Mutex::default(),
        }
    }

    /// Signs in; returns the cookie to set, or `None` if the token is wrong.
    pub fn sign_in(&self, token: &str) -> Option<String> {
        if !bool::from(token.as_bytes().ct_eq(self.token.as_bytes())) {
            return None;
        }
        let id = RequestId::random();
        let now = Instant::now();
        let mut until = self.until.lock().expect("no holder panics");
        until.retain(|_, until| *until > now);
        if until.len() >= SIGN_INS {
            let oldest = until.iter().min_by_key(|(_, until)| **until);
            let oldest = oldest.map(|(id, _)| *id);
            oldest.map(|id| until.remove(&id));
        }
        until.insert(id, now + Duration::from_secs(SIGN_IN_S));
        Some(cookie(&id.to_string(), SIGN_IN_S))
    }

    /// Signs out; returns the cookie to set.
    pub fn sign_out(&self, cookies: &str) -> String {
        if let Some(id) = id_in(cookies) {
            self.until.lock().expect("no holder panics").remove(&id);
        }
        cookie("", 0)
    }

    /// Whether the cookies are of somebody who is signed in.
    pub fn knows(&self, cookies: &str) -> bool {
        let until = self.until.lock().expect("no holder panics");
        let known = id_in(cookies).and_then(|id| until.get(&id));
        known.is_some_and(|until| *until > Instant::now())
    }
}

fn cookie(value: &str, max_age_s: u64) -> String {
    format!("{COOKIE}={value}; Path=/; Max-Age={max_age_s}; HttpOnly; SameSite=Strict")
}

fn id_in(cookies: &str) -> Option<RequestId> {
    let mut pairs = cookies
        .split(';')
        .filter_map(|pair| pair.trim().split_once('='));
    let value = pairs.find(|(name, _)| *name == COOKIE)?.1;
    value.parse().ok()
}
