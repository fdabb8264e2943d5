//! Messages between gateways and the leader's quota accounts.

use crate::{
    control::accounts::ChargeResult,
    derives::{quantity, record},
    request_limit::RequestLimit,
    units::{CustomerName, TargetName},
};

quantity! {
    /// Identifies a charge on one link between a gateway and the accounts.
    ChargeNumber(u64)
}

record! {
    /// Message from a gateway to the accounts.
    pub enum ToAccounts {
        /// Charges units to a customer.
        Charge {
            /// Identifies the charge on this link.
            number: ChargeNumber,
            /// Customer whose quota is charged.
            customer: CustomerName,
            /// Number of units.
            units: u64,
            /// Maximum time that the request may wait for the units.
            #[serde(rename = "patience_ms")]
            max_wait_ms: u64,
        },
        /// Refunds units of a request that did not run.
        #[serde(rename = "GiveBack")]
        Refund {
            /// Customer whose quota was charged.
            customer: CustomerName,
            /// Number of units.
            units: u64,
        },
        /// Asks for a request to a target that states a limit.
        ChargeTarget {
            /// Identifies the charge on this link.
            number: ChargeNumber,
            /// The target.
            target: TargetName,
            /// Start time of that run of the target.
            started_unix_ms: u64,
            /// Its limit, as the gateway knows it.
            limit: RequestLimit,
            /// Maximum time that the request may wait.
            max_wait_ms: u64,
        },
        /// Returns a request to a target that was not sent.
        RefundTarget {
            /// The target.
            target: TargetName,
            /// Start time of that run of the target.
            started_unix_ms: u64,
        },
    }

    /// Message from the accounts to a gateway.
    pub enum FromAccounts {
        /// Outcome of a charge.
        #[serde(rename = "Told")]
        Outcome {
            /// See [`ToAccounts::Charge`].
            number: ChargeNumber,
            /// See [`ChargeResult`].
            charge: ChargeResult,
        },
        /// This instance is not the leader, so nothing was charged.
        #[serde(rename = "NotLeading")]
        NotLeader {
            /// See [`ToAccounts::Charge`].
            number: ChargeNumber,
        },
    }
}
