//! How customers' quotas and services' places are divided among gateways.
//!
//! Each gateway reports what it was asked for lately; its share is in proportion to
//! that, with a part divided evenly so that a gateway that had no demand can begin. A
//! gateway keeps its last share while there is no leader, so the sum stays whole.

use crate::{derives::record, units::*};
use std::collections::BTreeMap;

/// The part of each quota that is divided evenly, in thousandths: a quarter leaves a
/// gateway without demand room to begin, and takes little from those that need it.
const EVEN_PER_MILLE: u64 = 250;
/// A whole, in millionths.
pub const WHOLE_PPM: u64 = 1_000_000;

record! {
    /// What a gateway was asked for lately.
    #[derive(Default)]
    pub struct Demand {
        /// Units of each customer's quota a second.
        pub customers: BTreeMap<CustomerName, u64>,
        /// Requests of each service in progress or waiting.
        pub services: BTreeMap<ServiceName, u64>,
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
pub struct Demands(BTreeMap<ProcessName, Demand>);

impl Demands {
    /// Takes what a gateway reports.
    pub fn report(&mut self, gateway: ProcessName, demand: Demand) {
        self.0.insert(gateway, demand);
    }

    /// Drops a gateway that is gone.
    pub fn remove(&mut self, gateway: &ProcessName) {
        self.0.remove(gateway);
    }

    /// The parts of one gateway.
    pub fn shares_of(&self, gateway: &ProcessName) -> Shares {
        let Some(own) = self.0.get(gateway) else {
            return Shares::default();
        };
        let gateways = self.0.len() as u64;
        let customers = own.customers.iter().map(|(customer, wanted)| {
            let all = self.0.values().filter_map(|d| d.customers.get(customer));
            (customer.clone(), share_ppm(*wanted, all.sum(), gateways))
        });
        let services = own.services.iter().map(|(service, wanted)| {
            let all = self.0.values().filter_map(|d| d.services.get(service));
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
