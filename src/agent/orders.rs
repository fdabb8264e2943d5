//! Orders on their way to the target beside the agent.
//!
//! Only a leader with a lease answers the agent, and the agent's view takes no
//! lower fencing number than it has seen. So an order of a leader that has been
//! replaced ends here, also for engines that ignore fencing numbers, and an
//! agent that has restarted gives none before it has heard from a leader.

use super::{Announcement, target};
use crate::{control::orders::TargetOrders, control_view::View, units::FencingNumber};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

/// What the target was last told, and under which number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Given(Option<(TargetOrders, FencingNumber)>);

impl Given {
    /// Gives the target the orders in force, if it has others. Orders that it
    /// did not take are given again.
    pub async fn follow(&mut self, view: &View, announcement: &Announcement) {
        let wanted = (view.orders.clone(), view.fencing);
        let known = self
            .0
            .as_ref()
            .is_some_and(|(orders, _)| *orders == wanted.0);
        let empty = wanted.0.model.is_none() && wanted.0.role.is_none();
        if known || empty || !view.holds() {
            return;
        }
        match give(announcement, &wanted.0, wanted.1).await {
            true => {
                tracing::info!("agent: gave orders: {} (fencing {})", wanted.0, wanted.1);
                self.0 = Some(wanted);
            }
            false => tracing::warn!("agent: the target did not take orders: {}", wanted.0),
        }
    }
}

async fn give(announcement: &Announcement, orders: &TargetOrders, fencing: FencingNumber) -> bool {
    let body = serde_json::json!({
        "model": orders.model, "role": orders.role, "fencing": fencing,
    });
    let request = Request::put("/orders")
        .header("host", announcement.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a fixed path and an address make a valid request");
    target::accepts(announcement.address, request).await
}
