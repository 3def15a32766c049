//! The network model: delays between processes, and the delay after which gateways discover changes of the engines.

use crate::clients::random_index;
use ironstair::random::Pcg;
use ironstair::Millis;

/// One-way delay between two processes: assumed.
pub(crate) const NETWORK_DELAY: Millis = 0.5;
/// Upper bound of the time until a gateway discovers a change while the name service is available: assumed.
const MAX_DISCOVERY_DELAY: Millis = 1500.0;
/// Time until a client whose gateway's process has ended reaches another gateway: assumed.
pub(crate) const RECONNECT_DELAY: Millis = 50.0;

/// The state of the name service.
#[derive(Default)]
pub(crate) struct Network {
    /// Gateways discover nothing before this time.
    pub(crate) name_service_down_until: Millis,
}

impl Network {
    /// The random time until a gateway discovers a change that occurs now. During an outage of the name service it
    /// counts from the end of the outage.
    pub(crate) fn discovery_delay(&self, now: Millis, random: &mut Pcg) -> Millis {
        let outage = (self.name_service_down_until - now).max(0.0);
        outage + random_index(random, MAX_DISCOVERY_DELAY as usize) as f64
    }
}
