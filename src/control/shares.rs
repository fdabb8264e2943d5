//! How services' places, and what may be charged without a leader, are divided among gateways.
//!
//! Each gateway reports what it has in progress; its share of a service's places is in
//! proportion to that, with a part divided evenly so that a gateway that had no demand can
//! begin. Sums are kept as reports come, so that a reply costs what the gateway itself uses.
//!
//! Quotas are charged at the leader's accounts ([`super::accounts`]). A gateway that cannot
//! reach them charges its own part, and the leader withholds the parts of gateways that are
//! silent, so that both together stay within the quota.

use crate::{derives::record, units::*};
use std::collections::BTreeMap;

/// The part of a service's places that is divided evenly, in thousandths: a quarter leaves
/// a gateway without demand room to begin, and takes little from those that need it.
const EVEN_PER_MILLE: u64 = 250;
/// The part of each quota that gateways may charge without the leader, in millionths. The
/// rest covers the seconds in which a gateway is cut off and not yet known to be silent.
pub const OWN_PPM: u64 = 700_000;
/// How long a gateway that does not reach the leader goes by its part; then by a tenth of it.
pub const SHARE_LEASE_MS: u64 = 10_000;
/// How long the leader withholds a silent gateway's part: the lease, and the time that a
/// renewal may have been on its way.
const RESERVED_MS: u64 = SHARE_LEASE_MS + 2000;
/// A whole, in millionths.
pub const WHOLE_PPM: u64 = 1_000_000;

record! {
    /// What a gateway has in progress.
    #[derive(Default)]
    pub struct Demand {
        /// Requests of each service in progress or waiting.
        pub services: BTreeMap<ServiceName, u64>,
    }

    /// A gateway's parts.
    #[derive(Default)]
    pub struct Shares {
        /// How many gateways there are; each may charge the same part of a quota by itself.
        pub gateways: u64,
        /// Of each service's places.
        pub services: BTreeMap<ServiceName, PlaceShare>,
    }

    /// A gateway's part of the places of a service.
    #[derive(Copy, Default)]
    pub struct PlaceShare {
        /// The part, in millionths.
        pub ppm: u64,
        /// Requests in progress or waiting at all gateways.
        pub wanted_by_all: u64,
    }
}

/// The demand of all gateways, as of their last renewals.
#[derive(Default)]
pub struct Demands {
    reported: BTreeMap<ProcessName, Reported>,
    wanted_by_all: BTreeMap<ServiceName, u64>,
    silent: u64,
    /// How many gateways there were under the leader before, and until when those of them
    /// that were not heard of may go by their parts.
    before: u64,
    unknown_until_ms: u64,
}

struct Reported {
    demand: Demand,
    at_ms: u64,
    is_silent: bool,
}

impl Demands {
    /// The demand that a leader knows who was elected at `now_ms`: none yet. `before` is how
    /// many gateways there were.
    pub fn new(before: u64, now_ms: u64) -> Self {
        Self {
            before,
            unknown_until_ms: now_ms + RESERVED_MS,
            ..Self::default()
        }
    }

    /// Takes what a gateway reports.
    pub fn report(&mut self, gateway: ProcessName, demand: Demand, now_ms: u64) {
        self.remove(&gateway);
        for (service, wanted) in &demand.services {
            *self.wanted_by_all.entry(service.clone()).or_default() += wanted;
        }
        let reported = Reported {
            demand,
            at_ms: now_ms,
            is_silent: false,
        };
        self.reported.insert(gateway, reported);
    }

    /// Drops a gateway that has stopped.
    pub fn remove(&mut self, gateway: &ProcessName) {
        if let Some(Reported {
            demand, is_silent, ..
        }) = self.reported.remove(gateway)
        {
            self.silent -= u64::from(is_silent);
            self.forget(demand);
        }
    }

    /// Notes that a gateway is silent. It may be cut off and go on with its part.
    pub fn silence(&mut self, gateway: &ProcessName) {
        let Some(reported) = self.reported.get_mut(gateway) else {
            return;
        };
        if !std::mem::replace(&mut reported.is_silent, true) {
            self.silent += 1;
            let demand = std::mem::take(&mut reported.demand);
            self.forget(demand);
        }
    }

    /// Drops gateways that have been silent for long.
    pub fn expire(&mut self, now_ms: u64) {
        if self.silent > 0 {
            self.reported
                .retain(|_, reported| !reported.is_silent || now_ms < reported.at_ms + RESERVED_MS);
            let silent = self.reported.values().filter(|reported| reported.is_silent);
            self.silent = silent.count() as u64;
        }
    }

    /// How many gateways there are that are not silent.
    pub fn live(&self) -> u64 {
        self.reported.len() as u64 - self.silent
    }

    /// The part of each quota that gateways out of reach may charge by themselves, in
    /// millionths.
    pub fn reserved_ppm(&self, now_ms: u64) -> u64 {
        let known = self.reported.len() as u64;
        let unheard = match now_ms < self.unknown_until_ms {
            true => self.before.saturating_sub(known),
            false => 0,
        };
        OWN_PPM * (self.silent + unheard) / (known + unheard).max(1)
    }

    /// The parts of one gateway.
    pub fn shares_of(&self, gateway: &ProcessName) -> Shares {
        let Some(Reported { demand: own, .. }) = self.reported.get(gateway) else {
            return Shares::default();
        };
        let gateways = self.live();
        let services = own.services.iter().map(|(service, wanted)| {
            let wanted_by_all = self.wanted_by_all.get(service).copied().unwrap_or(0);
            let ppm = share_ppm(*wanted, wanted_by_all, gateways);
            (service.clone(), PlaceShare { ppm, wanted_by_all })
        });
        Shares {
            gateways,
            services: services.collect(),
        }
    }

    fn forget(&mut self, demand: Demand) {
        for (service, wanted) in demand.services {
            if let Some(all) = self.wanted_by_all.get_mut(&service) {
                *all -= wanted;
            }
        }
        self.wanted_by_all.retain(|_, wanted| *wanted > 0);
    }
}

/// A gateway's part of a whole, in millionths.
pub fn share_ppm(wanted: u64, wanted_by_all: u64, gateways: u64) -> u64 {
    let even_ppm = WHOLE_PPM * EVEN_PER_MILLE / 1000 / gateways.max(1);
    let rest_ppm = WHOLE_PPM - WHOLE_PPM * EVEN_PER_MILLE / 1000;
    match wanted_by_all {
        0 => WHOLE_PPM / gateways.max(1),
        all => {
            even_ppm
                + u64::try_from(u128::from(rest_ppm) * u128::from(wanted) / u128::from(all))
                    .unwrap_or(rest_ppm)
        }
    }
}
