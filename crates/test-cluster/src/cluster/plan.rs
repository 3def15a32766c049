//! Configuration of a test's fleet.

use serde_json::Value;

/// Contents of the files that a gateway process reads at startup.
pub struct StartupFiles {
    /// The platform's configuration.
    pub config: Value,
    /// The operator's file, with the sections management, fleet, recovery and cells.
    pub operator: Value,
}

/// Edits the startup files of the gateway with the given index.
pub type ConfigEdit = fn(usize, &mut StartupFiles);

/// A safety check in the gateway that a control test disables, to show that the actual test detects its absence.
#[derive(Clone, Copy, Debug)]
pub struct DisabledGuard {
    /// The gateway that disables it, or `None` for all gateways.
    pub gateway: Option<usize>,
    /// A value of the environment variable `IRONSTAIR_DISABLED_GUARDS`.
    pub name: &'static str,
}

/// Size, timing and special settings of a test's fleet. The default is five gateways with leases of one second.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) gateway_count: usize,
    pub(super) lease_ms: u32,
    pub(super) steady_gateways: Vec<usize>,
    pub(super) service_time_ms: u64,
    pub(super) disabled_guards: Vec<DisabledGuard>,
    pub(super) config_edit: Option<ConfigEdit>,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            gateway_count: 5,
            lease_ms: 1000,
            steady_gateways: Vec::new(),
            service_time_ms: 5,
            disabled_guards: Vec::new(),
            config_edit: None,
        }
    }
}

impl Plan {
    /// Sets the number of gateways. The first three are voters.
    #[must_use]
    pub fn gateway_count(mut self, gateway_count: usize) -> Plan {
        self.gateway_count = gateway_count;
        self
    }

    /// Sets the duration of a member's lease in milliseconds.
    #[must_use]
    pub fn lease_ms(mut self, lease_ms: u32) -> Plan {
        self.lease_ms = lease_ms;
        self
    }

    /// Configures a gateway to keep serving without a lease (`cut_off: steady`).
    #[must_use]
    pub fn steady_gateway(mut self, gateway: usize) -> Plan {
        self.steady_gateways.push(gateway);
        self
    }

    /// Sets the time that a stub engine takes to answer an attempt, in milliseconds.
    #[must_use]
    pub fn service_time_ms(mut self, service_time_ms: u64) -> Plan {
        self.service_time_ms = service_time_ms;
        self
    }

    /// Disables a guard at every gateway.
    #[must_use]
    pub fn disable_guard(mut self, name: &'static str) -> Plan {
        let gateway = None;
        self.disabled_guards.push(DisabledGuard { gateway, name });
        self
    }

    /// Disables a guard at one gateway.
    #[must_use]
    pub fn disable_guard_at(mut self, gateway: usize, name: &'static str) -> Plan {
        let gateway = Some(gateway);
        self.disabled_guards.push(DisabledGuard { gateway, name });
        self
    }

    /// Sets a function that edits each gateway's startup files before they are written.
    #[must_use]
    pub fn edit_config(mut self, config_edit: ConfigEdit) -> Plan {
        self.config_edit = Some(config_edit);
        self
    }

    /// Names of the guards that are disabled at one gateway.
    pub(super) fn disabled_guards_of(&self, gateway: usize) -> Vec<&'static str> {
        self.disabled_guards
            .iter()
            .filter(|guard| guard.gateway.is_none_or(|only| only == gateway))
            .map(|guard| guard.name)
            .collect()
    }
}
