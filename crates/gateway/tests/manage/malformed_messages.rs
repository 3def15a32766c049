//! Mutated protobuf messages, an unknown method, a very large message, and values that are not valid JSON.
//!
//! The test guards against a malformed message that ends the gateway, changes a setting or makes the gateway's memory
//! grow.

use crate::managed::{
    commit_extension, commit_with_rollback_after, connect_without_tls, current_thread_runtime,
    get_json, json_update, parse_path, send_set_request, set_request, start_managed_gateway,
    subscription_request, GnmiClient,
};
use crate::support::resident_memory_kib;
use ironstair_gnmi::proto::gnmi::{self, typed_value, SubscriptionMode, TypedValue};
use prost::Message;
use serde_json::json;
use std::time::Duration;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// A codec that sends and receives messages as they are, well-formed or not.
#[derive(Clone, Default)]
struct RawBytes;

impl Codec for RawBytes {
    type Encode = Vec<u8>;
    type Decode = Vec<u8>;
    type Encoder = RawBytes;
    type Decoder = RawBytes;
    fn encoder(&mut self) -> RawBytes {
        RawBytes
    }
    fn decoder(&mut self) -> RawBytes {
        RawBytes
    }
}

impl Encoder for RawBytes {
    type Item = Vec<u8>;
    type Error = Status;
    fn encode(&mut self, item: Vec<u8>, to: &mut EncodeBuf) -> Result<(), Status> {
        bytes::BufMut::put_slice(to, &item);
        Ok(())
    }
}

impl Decoder for RawBytes {
    type Item = Vec<u8>;
    type Error = Status;
    fn decode(&mut self, from: &mut DecodeBuf) -> Result<Option<Vec<u8>>, Status> {
        let length = bytes::Buf::remaining(from);
        Ok(Some(bytes::Buf::copy_to_bytes(from, length).to_vec()))
    }
}

/// Calls a method with the given bytes as the message. A stream that is still open after 20 ms counts as a success,
/// because the gateway has accepted its request.
async fn call_raw(channel: &Channel, method: &str, message: Vec<u8>) -> Result<(), Status> {
    let mut grpc = tonic::client::Grpc::new(channel.clone());
    grpc.ready()
        .await
        .map_err(|error| Status::unavailable(error.to_string()))?;
    let method_path = format!("/gnmi.gNMI/{method}").parse().unwrap();
    let once = tokio_stream::once(message);
    let mut stream = grpc
        .streaming(tonic::Request::new(once), method_path, RawBytes)
        .await?
        .into_inner();
    let read_to_end = async {
        while stream.message().await?.is_some() {}
        Ok(())
    };
    tokio::time::timeout(Duration::from_millis(20), read_to_end)
        .await
        .unwrap_or(Ok(()))
}

/// Maps an input to a pseudo-random number, so that every run uses the same messages.
fn pseudo_random(input: u64) -> u64 {
    let mixed = (input ^ 0x9E37_79B9_7F4A_7C15).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (mixed ^ (mixed >> 29)).wrapping_mul(0x94D0_49BB_1331_11EB) >> 16
}

/// A method and a well-formed request for it, which the mutations start from.
struct Template {
    method: &'static str,
    message: Vec<u8>,
}

fn templates() -> [Template; 3] {
    let get = gnmi::GetRequest {
        path: vec![parse_path("/state/engine[name=x]")],
        encoding: 4,
        ..Default::default()
    };
    let set = gnmi::SetRequest {
        update: vec![json_update(
            "/settings/band[name=lookup]/expected",
            json!(0),
        )],
        delete: vec![parse_path("/state/process")],
        extension: commit_extension("x", commit_with_rollback_after(-5, 7)),
        ..Default::default()
    };
    let subscribe = subscription_request("/state/band[name=lookup]", SubscriptionMode::Sample);
    [
        ("Get", get.encode_to_vec()),
        ("Set", set.encode_to_vec()),
        ("Subscribe", subscribe.encode_to_vec()),
    ]
    .map(|(method, message)| Template { method, message })
}

/// The message after one to six mutations, each of which truncates or extends it or changes a byte.
fn mutated(template: &[u8], message_index: u64) -> Vec<u8> {
    let mut message = template.to_vec();
    for mutation_index in 0..1 + pseudo_random(message_index) % 6 {
        let random = pseudo_random(message_index * 31 + mutation_index);
        match random % 4 {
            0 if !message.is_empty() => message.truncate(random as usize / 4 % message.len()),
            1 => message.extend(
                (0..random / 4 % 40).map(|offset| pseudo_random(message_index + offset) as u8),
            ),
            _ if !message.is_empty() => {
                let position = random as usize / 4 % message.len();
                message[position] = pseudo_random(random) as u8;
            }
            _ => {}
        }
    }
    message
}

/// Sends 900 mutated messages. Returns the gateway's resident memory in KiB after the first 101 of them.
async fn send_mutated_messages(channel: &Channel, gateway_pid: u32) -> u64 {
    let templates = templates();
    let mut early_resident_kib = 0;
    let mut refused = 0;
    for message_index in 0..900u64 {
        let Template { method, message } = &templates[message_index as usize % 3];
        let message = mutated(message, message_index);
        refused += u32::from(call_raw(channel, method, message).await.is_err());
        if message_index == 100 {
            early_resident_kib = resident_memory_kib(gateway_pid);
        }
    }
    assert!(refused > 300, "{refused} of 900 messages refused");
    early_resident_kib
}

async fn assert_bad_json_refused(client: &mut GnmiClient) {
    let nested = format!("{}1{}", "[".repeat(5000), "]".repeat(5000));
    let long_number = "9".repeat(400);
    for value in ["{", "nul", "1e999", &nested, "\"\\ud800\"", &long_number] {
        let val = Some(TypedValue {
            value: Some(typed_value::Value::JsonIetfVal(value.into())),
        });
        let update = vec![gnmi::Update {
            path: Some(parse_path("/settings/advice")),
            val,
            duplicates: 0,
        }];
        let refused = send_set_request(client, set_request(update, Vec::new()))
            .await
            .unwrap_err();
        assert_eq!(
            refused.code(),
            Code::InvalidArgument,
            "{value}: {refused:?}"
        );
        assert!(
            refused.message().starts_with("/settings/advice"),
            "{refused:?}"
        );
    }
}

#[test]
fn malformed_messages_are_refused_and_change_nothing() {
    let (mut gateway, gnmi_address) = start_managed_gateway("case-7", &[]);
    let pid = gateway.process.id();
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;
        let before = get_json(&mut client, "/settings").await.unwrap();
        let endpoint = Endpoint::from_shared(format!("http://{gnmi_address}")).unwrap();
        let channel = endpoint.connect().await.unwrap();

        let early_resident_kib = send_mutated_messages(&channel, pid).await;
        for (method, message) in [("Get", vec![0x12; 2 << 20]), ("Nothing", Vec::new())] {
            let called = call_raw(&channel, method, message).await;
            assert!(called.is_err(), "{method}");
        }
        assert_bad_json_refused(&mut client).await;

        assert_eq!(
            get_json(&mut client, "/settings").await.unwrap(),
            before,
            "malformed messages must not change the settings"
        );
        let growth_kib = resident_memory_kib(pid).saturating_sub(early_resident_kib);
        assert!(
            growth_kib < 16 << 10,
            "resident memory has grown by {growth_kib} KiB"
        );
    });
    assert!(
        gateway.process.try_wait().unwrap().is_none(),
        "the gateway must still run"
    );
}
