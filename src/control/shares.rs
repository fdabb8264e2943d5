//! Divides the slots of each service, and the quota that may be charged without a leader,
//! among gateways.
//!
//! Each gateway reports its requests in progress; its share of a service's slots is
//! proportional to that demand, except for a part that is divided evenly so that a gateway
//! without demand can start. Sums are maintained per report, so that the cost of a reply depends
//! only on the services that the gateway itself uses.
//!
//! Quotas are charged to the leader's accounts ([`super::accounts`]). A gateway that cannot
//! reach them charges its local share, and the leader withholds the shares of silent gateways,
//! so that both together stay within the quota.

use crate::{derives::record, units::*};
use std::collections::BTreeMap;

/// The part of a service's slots that is divided evenly, in thousandths. It lets a gateway
/// without demand start requests; a quarter takes little from those with demand.
const EVEN_SHARE_PER_MILLE: u64 = 250;
/// The part of each quota that gateways may charge without the leader, in millionths. The rest
/// covers the seconds in which a gateway is already disconnected, but not yet known to be silent,
/// so that the leader does not withhold its share yet.
pub const LOCAL_QUOTA_PPM: u64 = 700_000;
/// Time that a gateway uses its full local share without reaching the leader; afterwards it
/// uses a tenth of it.
pub const LOCAL_SHARE_LEASE_MS: u64 = 10_000;
/// Time that the leader withholds a silent gateway's share: the lease, plus the time that a
/// renewal may have been in transit.
const SHARE_WITHHOLD_MS: u64 = LOCAL_SHARE_LEASE_MS + 2000;
/// Largest demand of a gateway for a service that counts, in requests: sums of such numbers fit 64
/// bits.
const MAX_DEMAND: u64 = 1_000_000_000;
/// One, in millionths.
pub const PPM_PER_UNIT: u64 = 1_000_000;

record! {
    /// The demand reported by a gateway.
    #[derive(Default)]
    pub struct Demand {
        /// Requests in progress or queued, by service.
        pub services: BTreeMap<ServiceName, u64>,
    }

    /// A gateway's shares.
    #[derive(Default)]
    pub struct Shares {
        /// Number of gateways that may use a local share, whether or not the leader hears them;
        /// each has the same share of every quota.
        pub gateways: u64,
        /// Its share of the slots, by service.
        pub services: BTreeMap<ServiceName, SlotShare>,
    }

    /// A gateway's share of a service's slots.
    #[derive(Copy, Default)]
    pub struct SlotShare {
        /// The share, in millionths.
        pub ppm: u64,
        /// Requests in progress or queued at all gateways.
        pub wanted_by_all: u64,
    }
}

/// The demand of all gateways, as of their last renewals.
///
/// Also tracks silent gateways, whose local shares are withheld.
#[derive(Default)]
pub struct DemandTable {
    reports: BTreeMap<ProcessName, GatewayReport>,
    wanted_by_all: BTreeMap<ServiceName, u64>,
    silent: u64,
    /// Number of gateways under the previous leader, and the time until which those of them
    /// that have not reported yet may use their local shares.
    previous_gateways: u64,
    withhold_end_ms: u64,
}

struct GatewayReport {
    demand: Demand,
    reported_ms: u64,
    is_silent: bool,
}

impl DemandTable {
    /// Creates the demand table, empty, of a leader elected at `now_ms`. `previous_gateways` is
    /// the number of gateways under the previous leader.
    pub fn new(previous_gateways: u64, now_ms: u64) -> Self {
        Self {
            previous_gateways,
            withhold_end_ms: now_ms + SHARE_WITHHOLD_MS,
            ..Self::default()
        }
    }

    /// Records a gateway's report.
    pub fn report(&mut self, gateway: ProcessName, demand: Demand, now_ms: u64) {
        self.remove(&gateway);
        let mut demand = demand;
        for (service, wanted) in &mut demand.services {
            *wanted = (*wanted).min(MAX_DEMAND);
            *self.wanted_by_all.entry(service.clone()).or_default() += *wanted;
        }
        let report = GatewayReport {
            demand,
            reported_ms: now_ms,
            is_silent: false,
        };
        self.reports.insert(gateway, report);
    }

    /// Removes a gateway that has stopped.
    pub fn remove(&mut self, gateway: &ProcessName) {
        if let Some(GatewayReport {
            demand, is_silent, ..
        }) = self.reports.remove(gateway)
        {
            self.silent -= u64::from(is_silent);
            self.subtract_demand(demand);
        }
    }

    /// Marks a gateway as silent. It may be disconnected and still use its local share.
    pub fn mark_silent(&mut self, gateway: &ProcessName) {
        let Some(report) = self.reports.get_mut(gateway) else {
            return;
        };
        if !std::mem::replace(&mut report.is_silent, true) {
            self.silent += 1;
            let demand = std::mem::take(&mut report.demand);
            self.subtract_demand(demand);
        }
    }

    /// Removes gateways that have been silent for longer than their share is withheld.
    pub fn expire(&mut self, now_ms: u64) {
        if self.silent > 0 {
            self.reports.retain(|_, report| {
                !report.is_silent || now_ms < report.reported_ms + SHARE_WITHHOLD_MS
            });
            let silent = self.reports.values().filter(|report| report.is_silent);
            self.silent = silent.count() as u64;
        }
    }

    /// Number of gateways that are not silent.
    pub fn live_gateways(&self) -> u64 {
        self.reports.len() as u64 - self.silent
    }

    /// Number of gateways that may use a local share: those known, and those of the previous leader
    /// that have not reported yet. A silent gateway counts until its share has expired.
    pub fn share_holders(&self, now_ms: u64) -> u64 {
        self.reports.len() as u64 + self.missing(now_ms)
    }

    /// Number of gateways of the previous leader that may use their local shares and have not
    /// reported yet.
    fn missing(&self, now_ms: u64) -> u64 {
        match now_ms < self.withhold_end_ms {
            true => self
                .previous_gateways
                .saturating_sub(self.reports.len() as u64),
            false => 0,
        }
    }

    /// The part of each quota that unreachable gateways may charge locally, in millionths.
    pub fn reserved_ppm(&self, now_ms: u64) -> u64 {
        let unreachable = u128::from(self.silent + self.missing(now_ms));
        let holders = u128::from(self.share_holders(now_ms).max(1));
        let reserved_ppm = u128::from(LOCAL_QUOTA_PPM) * unreachable / holders;
        u64::try_from(reserved_ppm).unwrap_or(LOCAL_QUOTA_PPM)
    }

    /// The shares of a gateway.
    pub fn shares_of(&self, gateway: &ProcessName, now_ms: u64) -> Shares {
        let Some(GatewayReport { demand: own, .. }) = self.reports.get(gateway) else {
            return Shares::default();
        };
        let gateways = self.live_gateways();
        let services = own.services.iter().map(|(service, wanted)| {
            let wanted_by_all = self.wanted_by_all.get(service).copied().unwrap_or(0);
            let ppm = share_ppm(*wanted, wanted_by_all, gateways);
            (service.clone(), SlotShare { ppm, wanted_by_all })
        });
        Shares {
            gateways: self.share_holders(now_ms),
            services: services.collect(),
        }
    }

    fn subtract_demand(&mut self, demand: Demand) {
        for (service, wanted) in demand.services {
            if let Some(all) = self.wanted_by_all.get_mut(&service) {
                *all -= wanted;
            }
        }
        self.wanted_by_all.retain(|_, wanted| *wanted > 0);
    }
}

/// A gateway's share, in millionths, given its own and the total demand.
pub fn share_ppm(wanted: u64, wanted_by_all: u64, gateways: u64) -> u64 {
    let even_ppm = PPM_PER_UNIT * EVEN_SHARE_PER_MILLE / 1000 / gateways.max(1);
    let rest_ppm = PPM_PER_UNIT - PPM_PER_UNIT * EVEN_SHARE_PER_MILLE / 1000;
    match wanted_by_all {
        0 => PPM_PER_UNIT / gateways.max(1),
        all => {
            even_ppm
                + u64::try_from(u128::from(rest_ppm) * u128::from(wanted) / u128::from(all))
                    .unwrap_or(rest_ppm)
        }
    }
}
