//! How customers' quotas and services' places are divided among gateways.
//!
//! Each gateway reports what it was asked for lately; its share is in proportion to
//! that, with a part divided evenly so that a gateway that had no demand can begin. A
//! gateway keeps its last share while there is no leader, so the sum stays whole.

use crate::{derives::record, document::QuotaPolicy, units::*};
use std::collections::{BTreeMap, BTreeSet};

/// The part of a service's places that is divided evenly, in thousandths: a quarter leaves
/// a gateway without demand room to begin, and takes little from those that need it.
const EVEN_PER_MILLE: u64 = 250;
/// The part of each quota that stays with the leader, in thousandths, for gateways whose
/// own part does not suffice: callers come in clumps, and each stays with one gateway.
const POOL_PER_MILLE: u64 = 300;
/// How long a gateway that does not reach the leader goes by its parts; then by a tenth of
/// them.
pub const SHARE_LEASE_MS: u64 = 10_000;
/// How long the leader gives a silent gateway's parts to nobody else: the lease, and the time
/// that a renewal may have been on its way.
const RESERVED_MS: u64 = SHARE_LEASE_MS + 2000;
/// A whole, in millionths.
pub const WHOLE_PPM: u64 = 1_000_000;
/// What stays with the leader of each quota, in millionths.
pub const POOL_PPM: u64 = WHOLE_PPM * POOL_PER_MILLE / 1000;

record! {
    /// What a gateway was asked for lately.
    #[derive(Default)]
    pub struct Demand {
        /// Units of each customer's quota a second, and the part that is in use.
        pub customers: BTreeMap<CustomerName, QuotaDemand>,
        /// Requests of each service in progress or waiting.
        pub services: BTreeMap<ServiceName, u64>,
    }

    /// What a gateway was asked for of one customer's quota.
    #[derive(Copy, Default)]
    pub struct QuotaDemand {
        /// Units a second, of late.
        pub units_per_s: u64,
        /// The part that the gateway goes by, in millionths.
        pub held_ppm: u64,
    }

    /// A gateway's parts, in millionths.
    #[derive(Default)]
    pub struct Shares {
        /// How many gateways there are.
        pub gateways: u64,
        /// Of each customer's quota.
        pub customers: BTreeMap<CustomerName, u64>,
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
    /// Until then gateways that were never heard of may go by parts of an earlier leader.
    unknown_until_ms: u64,
    /// The part of each quota that each gateway held when it was first heard of: so much is
    /// known to be held by nobody out of reach.
    taken_over: BTreeMap<CustomerName, BTreeMap<ProcessName, u64>>,
}

struct Reported {
    demand: Demand,
    at_ms: u64,
    is_silent: bool,
}

impl Demands {
    /// The demand that a leader knows who was elected at `now_ms`: none yet.
    pub fn new(now_ms: u64) -> Self {
        Self {
            unknown_until_ms: now_ms + RESERVED_MS,
            ..Self::default()
        }
    }

    /// Takes what a gateway reports.
    pub fn report(&mut self, gateway: ProcessName, demand: Demand, now_ms: u64) {
        if now_ms < self.unknown_until_ms {
            for (customer, QuotaDemand { held_ppm, .. }) in &demand.customers {
                let held = self.taken_over.entry(customer.clone()).or_default();
                held.entry(gateway.clone()).or_insert(*held_ppm);
            }
        }
        let reported = Reported {
            demand,
            at_ms: now_ms,
            is_silent: false,
        };
        self.reported.insert(gateway, reported);
    }

    /// Notes the parts that a gateway was told, which it goes by from now on.
    pub fn told(&mut self, gateway: &ProcessName, shares: &Shares) {
        if let Some(Reported { demand, .. }) = self.reported.get_mut(gateway) {
            for (customer, held_ppm) in &shares.customers {
                demand
                    .customers
                    .entry(customer.clone())
                    .or_default()
                    .held_ppm = *held_ppm;
            }
        }
    }

    /// Drops a gateway that has stopped.
    pub fn remove(&mut self, gateway: &ProcessName) {
        self.reported.remove(gateway);
    }

    /// Notes that a gateway is silent. It may be cut off and go on with its parts.
    pub fn silence(&mut self, gateway: &ProcessName) {
        if let Some(reported) = self.reported.get_mut(gateway) {
            reported.is_silent = true;
            reported.demand.services.clear();
            for demand in reported.demand.customers.values_mut() {
                demand.units_per_s = 0;
            }
        }
    }

    /// Drops what gateways held that have been silent for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.reported
            .retain(|_, reported| !reported.is_silent || now_ms < reported.at_ms + RESERVED_MS);
    }

    fn demands(&self) -> impl Iterator<Item = (&ProcessName, &Demand)> {
        self.reported
            .iter()
            .map(|(name, reported)| (name, &reported.demand))
    }

    /// How much of a quota may be divided among the gateways that are known.
    fn divided_ppm(&self, customer: &CustomerName, now_ms: u64) -> u64 {
        let most_ppm = WHOLE_PPM - POOL_PPM;
        match now_ms < self.unknown_until_ms {
            true => {
                let held = self.taken_over.get(customer);
                held.map_or(0, |held| held.values().sum()).min(most_ppm)
            }
            false => most_ppm,
        }
    }

    /// The parts of one gateway.
    pub fn shares_of(&self, gateway: &ProcessName, now_ms: u64) -> Shares {
        let Some(Reported { demand: own, .. }) = self.reported.get(gateway) else {
            return Shares::default();
        };
        let live = self
            .reported
            .values()
            .filter(|reported| !reported.is_silent);
        let gateways = live.count() as u64;
        let asked: BTreeSet<&CustomerName> = self
            .demands()
            .flat_map(|(_, d)| d.customers.keys())
            .collect();
        let customers = asked.into_iter().map(|customer| {
            let wanted = own
                .customers
                .get(customer)
                .map_or(0, |demand| demand.units_per_s);
            let all = || {
                self.demands()
                    .filter_map(|(name, d)| Some((name, d.customers.get(customer)?)))
            };
            let wanted_by_all = all().map(|(_, demand)| demand.units_per_s).sum();
            let others = all().filter(|(name, _)| *name != gateway);
            let held_ppm: u64 = others.map(|(_, demand)| demand.held_ppm).sum();
            // What others still go by is not given twice.
            let divided_ppm = self.divided_ppm(customer, now_ms);
            let free_ppm = divided_ppm.saturating_sub(held_ppm);
            let part_ppm = share_ppm(wanted, wanted_by_all, gateways) * divided_ppm / WHOLE_PPM;
            (customer.clone(), part_ppm.min(free_ppm))
        });
        let services = own.services.iter().map(|(service, wanted)| {
            let all = self.demands().filter_map(|(_, d)| d.services.get(service));
            let wanted_by_all = all.sum();
            let ppm = share_ppm(*wanted, wanted_by_all, gateways);
            (service.clone(), PlaceShare { ppm, wanted_by_all })
        });
        Shares {
            gateways,
            customers: customers.collect(),
            services: services.collect(),
        }
    }
}

/// What stays with the leader of each quota, as buckets that refill.
#[derive(Default)]
pub struct Pools {
    pools: BTreeMap<CustomerName, Pool>,
    beyond_per_s: u64,
}

#[derive(Default)]
struct Pool {
    milli_units: u64,
    filled_ms: u64,
}

impl Pools {
    /// Empty buckets. `beyond_per_s` is how far each quota may be passed, as the operator
    /// tolerates it.
    pub fn new(beyond_per_s: u64) -> Self {
        Self {
            beyond_per_s,
            ..Self::default()
        }
    }

    /// Takes units for a gateway; returns whether there were enough.
    pub fn take(
        &mut self,
        customer: &CustomerName,
        quota: QuotaPolicy,
        units: u64,
        now_ms: u64,
    ) -> bool {
        let rate_per_s = quota.rate_per_s * POOL_PPM / WHOLE_PPM + self.beyond_per_s;
        let most_milli = quota.burst * POOL_PPM / WHOLE_PPM * 1000;
        let pool = self.pools.entry(customer.clone()).or_insert(Pool {
            milli_units: 0,
            filled_ms: now_ms,
        });
        let filled_milli = (now_ms - pool.filled_ms).saturating_mul(rate_per_s);
        pool.milli_units = (pool.milli_units + filled_milli).min(most_milli);
        pool.filled_ms = now_ms;
        let left = pool.milli_units.checked_sub(units * 1000);
        pool.milli_units = left.unwrap_or(pool.milli_units);
        left.is_some()
    }
}

/// A gateway's own part of a quota, in millionths.
pub fn quota_share_ppm(wanted: u64, wanted_by_all: u64, gateways: u64) -> u64 {
    let divided = u128::from(WHOLE_PPM - POOL_PPM);
    match wanted_by_all {
        0 => divided as u64 / gateways.max(1),
        all => (divided * u128::from(wanted) / u128::from(all)) as u64,
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
