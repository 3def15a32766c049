//! The connection to a gateway's management interface, and the reads that several commands share.

use super::arguments::Target;
use super::encoding::{json_value, parse_path};
use super::error::CommandError;
use ironstair_gnmi::proto::gnmi;
use ironstair_gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use ironstair_gnmi::FLEET;
use serde_json::Value as Json;
use std::path::Path;
use std::time::Duration;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

/// The largest response to accept: a tree of thousands of engines takes some megabytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A connected gNMI client.
pub(super) type Client = GNmiClient<Channel>;

/// Connects to the gateway that the arguments name.
///
/// # Errors
/// The address or the TLS keys are invalid, or the connection fails.
pub(super) async fn connect(target: &Target) -> Result<Client, CommandError> {
    let endpoint = endpoint(target)?.connect_timeout(CONNECT_TIMEOUT);
    let connected = endpoint.connect().await;
    let channel = connected.map_err(|source| CommandError::Unreachable {
        address: target.address.clone(),
        source,
    })?;
    Ok(GNmiClient::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES))
}

fn endpoint(target: &Target) -> Result<Endpoint, CommandError> {
    let scheme = match target.ca {
        Some(_) => "https",
        None => "http",
    };
    let endpoint =
        Channel::from_shared(format!("{scheme}://{}", target.address)).map_err(|source| {
            CommandError::InvalidAddress {
                address: target.address.clone(),
                source,
            }
        })?;
    match tls_config(target)? {
        Some(tls) => endpoint.tls_config(tls).map_err(CommandError::InvalidKeys),
        None => Ok(endpoint),
    }
}

fn tls_config(target: &Target) -> Result<Option<ClientTlsConfig>, CommandError> {
    let (Some(ca), Some(cert), Some(key)) = (&target.ca, &target.cert, &target.key) else {
        return Ok(None);
    };
    let authority = Certificate::from_pem(read_pem(ca)?);
    let identity = Identity::from_pem(read_pem(cert)?, read_pem(key)?);
    let tls = ClientTlsConfig::new()
        .ca_certificate(authority)
        .identity(identity);
    Ok(Some(match &target.server_name {
        Some(name) => tls.domain_name(name),
        None => tls,
    }))
}

fn read_pem(path: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path).map_err(|source| CommandError::ReadPem {
        path: path.to_path_buf(),
        source,
    })
}

/// Reads the leaves at a path of the gateway's tree.
///
/// # Errors
/// The path is invalid, the connection fails, or the gateway responds with an error status.
pub(super) async fn read(
    target: &Target,
    at_path: &str,
    encoding: gnmi::Encoding,
) -> Result<Vec<gnmi::Update>, CommandError> {
    let request = gnmi::GetRequest {
        path: vec![parse_path(at_path)?],
        encoding: encoding as i32,
        ..Default::default()
    };
    let response = connect(target).await?.get(request).await?.into_inner();
    let notifications = response.notification.into_iter();
    Ok(notifications
        .flat_map(|notification| notification.update)
        .collect())
}

/// The path prefix of a request, which selects the fleet's tree or the gateway's own.
pub(super) fn tree_prefix(is_fleet: bool) -> Option<gnmi::Path> {
    is_fleet.then(|| gnmi::Path {
        origin: FLEET.into(),
        ..Default::default()
    })
}

/// Reads the fleet's state as the gateway knows it.
///
/// # Errors
/// The connection fails, the gateway responds with an error status, or its response contains no state.
pub(super) async fn fleet_state(target: &Target) -> Result<Json, CommandError> {
    let request = gnmi::GetRequest {
        prefix: tree_prefix(true),
        ..Default::default()
    };
    let response = connect(target).await?.get(request).await?.into_inner();
    let updates = response
        .notification
        .into_iter()
        .flat_map(|notification| notification.update);
    let state = updates.map(|update| json_value(update.val.as_ref())).next();
    state.ok_or(CommandError::NoFleetState)
}
