//! Delivery of orders from the control group to the target.
//!
//! Only a leader with a valid lease replies to the agent, and the agent's view rejects fencing
//! numbers lower than the highest it has seen. Orders of a replaced leader therefore stop here,
//! even for engines that ignore fencing numbers, and a restarted agent sends no orders until a
//! leader has replied to it.

use super::{Announcement, target};
use crate::{control::orders::TargetOrders, control_view::View, units::FencingNumber};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

/// The orders that the target last accepted, with their fencing number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedOrders(Option<(TargetOrders, FencingNumber)>);

impl AcceptedOrders {
    /// Sends the current orders to the target unless it has already accepted them. Rejected
    /// orders are sent again on the next call.
    pub async fn sync(&mut self, view: &View, announcement: &Announcement) {
        let current = (view.orders.clone(), view.fencing);
        let is_accepted = self
            .0
            .as_ref()
            .is_some_and(|(orders, _)| *orders == current.0);
        let is_empty = current.0.model.is_none() && current.0.role.is_none();
        if is_accepted || is_empty || !view.is_valid() {
            return;
        }
        match send(announcement, &current.0, current.1).await {
            true => {
                tracing::info!(
                    "agent: target accepted orders: {} (fencing {})",
                    current.0,
                    current.1
                );
                self.0 = Some(current);
            }
            false => tracing::warn!("agent: target did not accept orders: {}", current.0),
        }
    }
}

async fn send(announcement: &Announcement, orders: &TargetOrders, fencing: FencingNumber) -> bool {
    let body = serde_json::json!({
        "model": orders.model, "role": orders.role, "fencing": fencing,
    });
    let request = Request::put("/orders")
        .header("host", announcement.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a fixed path and an address make a valid request");
    target::send_order(announcement.address, request).await
}
