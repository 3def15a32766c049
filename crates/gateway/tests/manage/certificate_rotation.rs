//! The certificates of the gateway and of its clients are replaced while streams are open.
//!
//! The test guards against a replacement that closes open streams or is ignored, against a gateway that still accepts
//! clients of the old authority, and against an invalid file that puts the current key out of use.

use crate::managed::{
    connect_to_endpoint, current_thread_runtime, get_json, open_subscription, set_value,
    start_managed_gateway_with, subscription_request, GnmiClient,
};
use ironstair_gnmi::proto::gnmi::{
    g_nmi_client::GNmiClient, subscribe_response::Response, typed_value, SubscribeResponse,
    SubscriptionMode,
};
use ironstair_test_cluster::stub::Gateway;
use serde_json::json;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tonic::transport::{Certificate, ClientTlsConfig, Endpoint, Identity};
use tonic::{Code, Streaming};

/// A setting that the test changes; its value is a number.
const ADVICE_PATH: &str = "/settings/advice";
/// The last value that the test sets while the certificates are replaced.
const LAST_ADVICE: u64 = 59;

/// A certificate and its key, as PEM.
struct KeyPair {
    certificate: String,
    key: String,
}

/// A certificate authority for one test.
struct Authority {
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
    certificate: String,
}

impl Authority {
    fn new(name: &str) -> Authority {
        let mut params = rcgen::CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        params
            .distinguished_name
            .push(rcgen::DnType::CommonName, name);
        let key = rcgen::KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap().pem();
        Authority {
            issuer: rcgen::Issuer::new(params, key),
            certificate,
        }
    }

    fn sign_client(&self, name: &str) -> KeyPair {
        self.sign(params_named(name))
    }

    fn sign_expired_client(&self, name: &str) -> KeyPair {
        let mut params = params_named(name);
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(2020, 2, 1);
        self.sign(params)
    }

    fn sign_gateway(&self, address: IpAddr) -> KeyPair {
        let mut params = params_named("gateway");
        params
            .subject_alt_names
            .push(rcgen::SanType::IpAddress(address));
        self.sign(params)
    }

    fn sign(&self, params: rcgen::CertificateParams) -> KeyPair {
        let key = rcgen::KeyPair::generate().unwrap();
        KeyPair {
            certificate: params.signed_by(&key, &self.issuer).unwrap().pem(),
            key: key.serialize_pem(),
        }
    }
}

fn params_named(name: &str) -> rcgen::CertificateParams {
    let mut params = rcgen::CertificateParams::new(Vec::new()).unwrap();
    params.distinguished_name = rcgen::DistinguishedName::new();
    params
        .distinguished_name
        .push(rcgen::DnType::CommonName, name);
    params
}

fn tls_endpoint(gnmi_address: SocketAddr, server: &Authority, client: &KeyPair) -> Endpoint {
    let tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(&server.certificate))
        .identity(Identity::from_pem(&client.certificate, &client.key));
    Endpoint::from_shared(format!("https://{gnmi_address}"))
        .unwrap()
        .tls_config(tls)
        .unwrap()
}

/// Whether a client with the given certificate can connect and read a setting.
async fn may_read(gnmi_address: SocketAddr, server: &Authority, client: &KeyPair) -> bool {
    match tls_endpoint(gnmi_address, server, client).connect().await {
        Err(_) => false,
        Ok(channel) => get_json(&mut GNmiClient::new(channel), ADVICE_PATH)
            .await
            .is_ok(),
    }
}

async fn await_may_read(
    gnmi_address: SocketAddr,
    server: &Authority,
    client: &KeyPair,
    timeout: Duration,
    poll_interval: Duration,
    failure: &str,
) {
    let deadline = Instant::now() + timeout;
    while !may_read(gnmi_address, server, client).await {
        assert!(Instant::now() < deadline, "{failure}");
        tokio::time::sleep(poll_interval).await;
    }
}

/// Writes the gateway's certificate and key, and the certificate of the authority that signs its clients.
fn write_tls_files(dir: &Path, gateway: &KeyPair, clients: &Authority) {
    std::fs::write(dir.join("cert.pem"), &gateway.certificate).unwrap();
    std::fs::write(dir.join("key.pem"), &gateway.key).unwrap();
    std::fs::write(dir.join("clients.pem"), &clients.certificate).unwrap();
}

/// Starts a gateway with a certificate signed by `authority`. Clients named `ops-*` may change settings, and the client
/// `reader` may read them. Returns the gateway, its gNMI address and the directory of the certificate files.
fn tls_gateway(authority: &Authority) -> (Gateway, SocketAddr, PathBuf) {
    let mut tls_dir = PathBuf::new();
    let (gateway, gnmi_address) = start_managed_gateway_with("case-5", &[], |operator, dir| {
        let listen = operator["management"]["listen"].as_str().unwrap();
        let listen: SocketAddr = listen.parse().unwrap();
        write_tls_files(dir, &authority.sign_gateway(listen.ip()), authority);
        operator["management"]["tls"] = json!({"certificate": dir.join("cert.pem"), "key": dir.join("key.pem"),
            "clients": dir.join("clients.pem"), "change": ["ops-*"], "read": ["reader"]});
        tls_dir = dir.to_path_buf();
    });
    (gateway, gnmi_address, tls_dir)
}

async fn assert_denied_to_others(gnmi_address: SocketAddr, old: &Authority, new: &Authority) {
    for (wrong, reason) in [
        (old.sign_expired_client("ops-2"), "expired"),
        (new.sign_client("ops-1"), "signed by another authority"),
        (old.sign_client("stranger"), "without a role"),
    ] {
        assert!(!may_read(gnmi_address, old, &wrong).await, "{reason}");
    }
    let without_tls = Endpoint::from_shared(format!("http://{gnmi_address}")).unwrap();
    if let Ok(channel) = without_tls.connect().await {
        let read = get_json(&mut GNmiClient::new(channel), "/settings").await;
        assert!(read.is_err());
    }
}

async fn assert_reader_may_not_change(reader: &mut GnmiClient) {
    let denied = set_value(reader, ADVICE_PATH, json!(2)).await.unwrap_err();
    assert_eq!(
        (denied.code(), denied.message()),
        (
            Code::PermissionDenied,
            "client reader may read settings but not change them"
        )
    );
}

/// Reads until a notification whose last value is [`LAST_ADVICE`].
async fn read_until_last_advice(stream: &mut Streaming<SubscribeResponse>) {
    loop {
        let message = stream.message().await.unwrap().unwrap();
        let Some(Response::Update(notification)) = message.response else {
            continue;
        };
        let last = notification
            .update
            .last()
            .and_then(|update| update.val.clone());
        if last.and_then(|value| value.value) == Some(typed_value::Value::UintVal(LAST_ADVICE)) {
            return;
        }
    }
}

#[test]
fn certificates_are_replaced_under_open_streams_and_wrong_ones_change_nothing() {
    let (old, new) = (Authority::new("old"), Authority::new("new"));
    let (gateway, gnmi_address, dir) = tls_gateway(&old);
    let ops = old.sign_client("ops-1");
    current_thread_runtime().block_on(async {
        let mut client = connect_to_endpoint(tls_endpoint(gnmi_address, &old, &ops)).await;
        let reader = old.sign_client("reader");
        let mut reader = connect_to_endpoint(tls_endpoint(gnmi_address, &old, &reader)).await;
        set_value(&mut client, ADVICE_PATH, json!(1)).await.unwrap();
        assert_reader_may_not_change(&mut reader).await;
        assert_denied_to_others(gnmi_address, &old, &new).await;
        assert_eq!(get_json(&mut reader, ADVICE_PATH).await.unwrap(), json!(1));

        let request = subscription_request(ADVICE_PATH, SubscriptionMode::OnChange);
        let mut stream = open_subscription(&mut reader, request).await.unwrap();
        let changing = tokio::spawn(async move {
            for advice in 2..=LAST_ADVICE {
                set_value(&mut client, ADVICE_PATH, json!(advice))
                    .await
                    .unwrap();
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        write_tls_files(&dir, &new.sign_gateway(gnmi_address.ip()), &new);
        gateway.signal("-HUP");
        let renewed = new.sign_client("ops-1");
        let (timeout, interval) = (Duration::from_secs(5), Duration::from_millis(20));
        let failure = "the gateway does not use the new certificates after SIGHUP";
        await_may_read(gnmi_address, &new, &renewed, timeout, interval, failure).await;
        assert!(
            !may_read(gnmi_address, &old, &ops).await,
            "clients of the old authority must be refused"
        );
        changing.await.unwrap();
        // The stream, which was opened with the old certificates, receives the last change. That change was also sent
        // over a connection with the old certificates.
        tokio::time::timeout(Duration::from_secs(5), read_until_last_advice(&mut stream))
            .await
            .unwrap();

        // After an invalid key file, the gateway continues to use the current key.
        std::fs::write(dir.join("key.pem"), "no key").unwrap();
        gateway.signal("-HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut client = connect_to_endpoint(tls_endpoint(gnmi_address, &new, &renewed)).await;
        set_value(&mut client, ADVICE_PATH, json!(60))
            .await
            .unwrap();

        // The gateway also reads changed files without a signal.
        write_tls_files(&dir, &old.sign_gateway(gnmi_address.ip()), &old);
        let (timeout, interval) = (Duration::from_secs(20), Duration::from_millis(100));
        let failure = "the gateway does not read changed certificate files without a signal";
        await_may_read(gnmi_address, &old, &ops, timeout, interval, failure).await;
    });
}
