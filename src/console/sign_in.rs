//! Sessions of the console: operators sign in with the token from the settings and are
//! identified by a cookie afterwards.

use crate::units::RequestId;
use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};
use subtle::ConstantTimeEq;

/// Name of the session cookie.
const COOKIE_NAME: &str = "guavacove-console";
/// Lifetime of a session.
const SESSION_LIFETIME_S: u64 = 8 * 60 * 60;
/// Maximum number of sessions; a further sign-in evicts the oldest.
const MAX_SESSIONS: usize = 64;

/// The sessions of one console.
pub struct Sessions {
    token: String,
    /// The expiry time of each session.
    expiries: Mutex<HashMap<RequestId, Instant>>,
}

impl Sessions {
    /// Creates an empty set of sessions that are opened with `token`.
    pub fn new(token: String) -> Self {
        Self {
            token,
            expiries: Mutex::default(),
        }
    }

    /// Opens a session; returns the cookie to set, or `None` if the token is wrong.
    pub fn sign_in(&self, token: &str) -> Option<String> {
        if !bool::from(token.as_bytes().ct_eq(self.token.as_bytes())) {
            return None;
        }
        let id = RequestId::random();
        let now = Instant::now();
        let mut expiries = self.expiries.lock().expect("no holder panics");
        expiries.retain(|_, expiry| *expiry > now);
        if expiries.len() >= MAX_SESSIONS {
            let oldest = expiries.iter().min_by_key(|(_, expiry)| **expiry);
            let oldest = oldest.map(|(id, _)| *id);
            oldest.map(|id| expiries.remove(&id));
        }
        expiries.insert(id, now + Duration::from_secs(SESSION_LIFETIME_S));
        Some(session_cookie(&id.to_string(), SESSION_LIFETIME_S))
    }

    /// Closes the session; returns the cookie that deletes the browser's.
    pub fn sign_out(&self, cookies: &str) -> String {
        if let Some(id) = session_id(cookies) {
            self.expiries.lock().expect("no holder panics").remove(&id);
        }
        session_cookie("", 0)
    }

    /// Whether the cookies contain that of an open session.
    pub fn is_signed_in(&self, cookies: &str) -> bool {
        let expiries = self.expiries.lock().expect("no holder panics");
        let expiry = session_id(cookies).and_then(|id| expiries.get(&id));
        expiry.is_some_and(|expiry| *expiry > Instant::now())
    }
}

fn session_cookie(value: &str, max_age_s: u64) -> String {
    format!("{COOKIE_NAME}={value}; Path=/; Max-Age={max_age_s}; HttpOnly; SameSite=Strict")
}

fn session_id(cookies: &str) -> Option<RequestId> {
    let mut pairs = cookies
        .split(';')
        .filter_map(|pair| pair.trim().split_once('='));
    let value = pairs.find(|(name, _)| *name == COOKIE_NAME)?.1;
    value.parse().ok()
}
