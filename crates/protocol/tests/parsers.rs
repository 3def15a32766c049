//! Tests the parsers on complete, truncated, concatenated and corrupted messages.

use ironstair_protocol::dns::{self, AnswerError};
use ironstair_protocol::json::Reader;
use ironstair_protocol::lines::{self, LoadValue, ReplyKind};
use ironstair_protocol::rpc::{
    self, CallError, ErrorCode, ErrorResponse, FrameHeader, OutOfBounds,
};
use ironstair_protocol::statement;

const CALL: &[u8] =
    br#"{"jsonrpc":"2.0","id":7,"method":"report","params":{"id":"9b1f03aa5c7e2d41","wait":1500.5,
    "retry":1,"cost":820.0,"new":[{"a":[null,true,-1e3]}],"ram":96,"bytes":"U0VM\u0052\/Q=="}}"#;

fn framed(message: &[u8]) -> Vec<u8> {
    [
        format!(
            "Content-Type: x\r\ncontent-length:{}\r\n\r\n",
            message.len()
        )
        .as_bytes(),
        message,
    ]
    .concat()
}

#[test]
fn call_is_read_once_complete() {
    let bytes = framed(CALL);
    let header_bytes = bytes.len() - CALL.len();
    for length in 0..header_bytes {
        assert_eq!(rpc::frame_header(&bytes[..length]), Ok(None), "{length}");
    }
    let header = FrameHeader {
        header_bytes,
        message_bytes: CALL.len(),
    };
    assert_eq!(rpc::frame_header(&bytes), Ok(Some(header)));

    let call = rpc::read_call(CALL).unwrap();
    let params = call.params;
    assert_eq!(call.id, Some(7));
    assert_eq!(&*call.method, b"report");
    assert_eq!(
        params.string("id").as_deref(),
        Some(&b"9b1f03aa5c7e2d41"[..])
    );
    assert_eq!(params.bounded_number("wait", 2e3), Ok(Some(1500.5)));
    assert_eq!(params.bounded_number("no", 1.0), Ok(None));
    assert_eq!(params.number("ram"), Some(96.0));
    assert_eq!(
        params.string("bytes").as_deref(),
        Some(&b"U0VMR/Q=="[..]),
        "escape sequences are decoded"
    );
    assert_eq!(params.number("bytes"), None);
    assert_eq!(params.string("wait"), None);
    assert_eq!(params.unsigned("no"), None);
}

#[test]
fn number_out_of_bounds_is_not_taken_for_missing() {
    let params = rpc::read_call(CALL).unwrap().params;
    let out_of_bounds = |max| Err(OutOfBounds { max });
    assert_eq!(params.bounded_number("wait", 1e3), out_of_bounds(1e3));
    assert_eq!(params.bounded_number("bytes", 1e9), out_of_bounds(1e9));
    for value in ["-1", "null", "\"1\"", "[1]", "true"] {
        let message = format!(r#"{{"id":1,"method":"a","params":{{"cost":{value}}}}}"#);
        let params = rpc::read_call(message.as_bytes()).unwrap().params;
        assert_eq!(
            params.bounded_number("cost", 9.0),
            out_of_bounds(9.0),
            "{value}"
        );
    }
}

#[test]
fn malformed_call_is_reported_with_its_number_and_error_code() {
    let read = |message: &[u8]| rpc::read_call(message).unwrap_err();
    let error = |call_id, code| CallError { call_id, code };
    let parse_error = error(None, ErrorCode::ParseError);
    assert_eq!(read(b"{\"id\":3"), error(Some(3), ErrorCode::ParseError));
    assert_eq!(
        read(b"{\"id\":3}"),
        error(Some(3), ErrorCode::InvalidRequest)
    );
    assert_eq!(read(b"{\"method\":\"a\"} x"), parse_error);
    assert_eq!(
        read(&b"[".repeat(100_000)),
        parse_error,
        "brackets do not overflow the stack"
    );
    let nested = [&b"{\"a\":"[..], &b"[".repeat(100_000)].concat();
    assert_eq!(read(&nested), parse_error);
    assert_eq!(ErrorCode::ParseError.value(), -32700);
    assert_eq!(ErrorCode::InvalidRequest.value(), -32600);
}

#[test]
fn malformed_frame_header_is_rejected() {
    let frame_header = |bytes: &[u8]| rpc::frame_header(bytes);
    assert!(frame_header(b"Content-Length: 999999999\r\n\r\n").is_err());
    assert!(
        frame_header(&[b'x'; rpc::MAX_HEADER_BYTES]).is_err(),
        "a header without an end is rejected at the maximum length"
    );
    assert!(frame_header(b"Content-Length: -1\r\n\r\n").is_err());
}

#[test]
fn response_frame_states_its_length() {
    for call in [1, 9, 10, 4294967296] {
        let mut output = Vec::new();
        rpc::write_result_start(&mut output, call, 4);
        output.extend(b"AAAA");
        output.extend(rpc::RESULT_END.as_bytes());
        let header = rpc::frame_header(&output).unwrap().unwrap();
        assert_eq!(
            output.len(),
            header.header_bytes + header.message_bytes,
            "{call}"
        );
        let message = &output[header.header_bytes..];
        assert!(Reader::new(message).skip_value().is_some());
    }
    let mut output = Vec::new();
    let error = ErrorResponse {
        call_id: Some(7),
        code: ErrorCode::Rejected,
        message: "turned back",
        retry_after_ms: 200.0,
    };
    error.write(&mut output);
    assert!(output.ends_with(
        br#""id":7,"error":{"code":-32014,"message":"turned back","data":{"after":200}}}"#
    ));
}

#[test]
fn engine_reply_is_read_once_complete() {
    let first_reply =
        b"9b1f03aa5c7e2d41 DONE pages=3,cost=81.5,load=inflight:7;util:0.61 5\r\na\tb\r\n\r\n";
    let second_reply = b"r1 UNFIT - 0\r\n\r\n";
    let bytes = [&first_reply[..], second_reply].concat();
    for length in 0..first_reply.len() {
        assert_eq!(lines::read_reply(&bytes[..length]), Ok(None), "{length}");
    }

    let reply = lines::read_reply(&bytes).unwrap().unwrap();
    assert_eq!(reply.id, b"9b1f03aa5c7e2d41");
    assert_eq!(reply.kind, ReplyKind::Done);
    assert_eq!(reply.body, b"a\tb\r\n");
    assert_eq!(reply.fields.number("pages"), Some(3.0));
    assert_eq!(reply.fields.number("cost"), Some(81.5));
    let load: Vec<LoadValue> = reply.fields.load().collect();
    let load_value = |name, value| LoadValue { name, value };
    assert_eq!(
        load,
        [load_value(b"inflight", 7.0), load_value(b"util", 0.61)]
    );
    assert_eq!(reply.encoded_bytes, first_reply.len());

    let reply = lines::read_reply(&bytes[first_reply.len()..])
        .unwrap()
        .unwrap();
    assert_eq!(reply.encoded_bytes, second_reply.len());
    assert_eq!(reply.kind, ReplyKind::NotReady);
}

#[test]
fn malformed_engine_reply_is_rejected() {
    for malformed in [
        &b"x DONE - 99999\r\n"[..],
        b"x WHAT - 0\r\n\r\n",
        b"x DONE - 1\r\nabc",
        b"\r\n",
        b"x DONE - 1\n",
        &[b'x'; lines::MAX_LINE_BYTES],
    ] {
        assert!(
            lines::read_reply(malformed).is_err(),
            "{:?}",
            String::from_utf8_lossy(malformed)
        );
    }
}

#[test]
fn table_group_is_found_in_statement() {
    for (text, group) in [
        ("select * from sales_17.orders", Some(17)),
        (
            "SELECT a.id, 'from lake_0.decoy', \"x_9\" FROM /* mart_1.a /* b */ */ ops_5.orders a",
            Some(5),
        ),
        (
            "select n -- was: from mart_1.old\nfrom mart_3.lines where t = 'it''s from a_2.b'",
            Some(3),
        ),
        (
            "with w as (select * from lake_7.stock) select id from w group by id",
            Some(7),
        ),
        (
            "select t_4.id from \"sales_17\".\"orders\" t_4 where t_4.n > 1.5",
            Some(17),
        ),
        (
            "insert into staging.load_3 select * from sales_8.orders",
            Some(8),
        ),
        (
            "insert into staging_3.load select * from sales_8.orders",
            Some(8),
        ),
        ("update ops_6.stock set n = n + 1", Some(6)),
        (
            "select $q$ from a_1.b $q$, $1 from ops_12 . lines",
            Some(12),
        ),
        ("select sales_9.id, ops_5.id where lake_3.n = 1", Some(9)),
        ("select 1", None),
        ("select * from sales_.x, _4.y, sales_x4.z", None),
    ] {
        assert_eq!(statement::table_group(text.as_bytes()), group, "{text}");
    }
}

fn record(owner: &[u8], record_type: u16, data: &[u8]) -> Vec<u8> {
    let record_type = record_type.to_be_bytes();
    let length = (data.len() as u16).to_be_bytes();
    let class_and_ttl = [0, 1, 0, 0, 0, 0];
    [owner, &record_type, &class_and_ttl, &length, data].concat()
}

const HOST_TEXTS: [&[u8]; 2] = [b"\x08kind=std\x06cell=2", b"\x0dstarted=12345"];

/// A list of one draining engine, whose names contain pointers back into the message.
fn endpoint_list() -> Vec<u8> {
    let service = b"\x05_data\x04_tcp\x04farm\x03lan\x00";
    let mut message = vec![0, 9, 0x84, 0, 0, 1, 0, 1, 0, 1, 0, 3];
    message.extend(service);
    message.extend([0, 33, 0, 1]);
    let target_position = message.len() + 12 + 6;
    let target_name = b"\x0as-00c41f7a\x04East\x05hosts\x00";
    let priority_weight_port = [0, 1, 0, 40, 0x1F, 0x90];
    let srv_data = [&priority_weight_port, &target_name[..]].concat();
    message.extend(record(&[0xC0, 12], 33, &srv_data));
    let soa_data = [&[0xC0, 12, 0xC0, 12][..], &41u32.to_be_bytes(), &[0; 16]].concat();
    message.extend(record(&[0xC0, 12], 6, &soa_data));
    let owner = (0xC000 | target_position as u16).to_be_bytes();
    message.extend(record(&owner, 1, &[10, 1, 0, 9]));
    for text in HOST_TEXTS {
        message.extend(record(&owner, 16, text));
    }
    message
}

fn read_list(message: &[u8]) -> Result<u32, AnswerError> {
    dns::read_answer(message, |id| id == 9, |_| ())
}

#[test]
fn endpoint_list_is_read_completely_or_rejected() {
    let message = endpoint_list();
    let mut hosts = 0;
    let serial = dns::read_answer(
        &message,
        |id| id == 9,
        |host| {
            assert_eq!(host.name, "s-00c41f7a");
            assert_eq!(host.zone, "east");
            assert_eq!(host.priority, 1);
            assert_eq!(host.port, 8080);
            assert_eq!(host.attribute("kind"), Some("std"));
            assert_eq!(host.attribute("cell"), Some("2"));
            assert_eq!(host.attribute("started"), Some("12345"));
            assert_eq!(host.address.octets(), [10, 1, 0, 9]);
            hosts += 1;
        },
    );
    assert_eq!(serial, Ok(41));
    assert_eq!(hosts, 1);
    // A truncated answer must not make engines appear gone or without a machine type.
    for length in 0..message.len() {
        assert!(read_list(&message[..length]).is_err(), "{length}");
    }
}

#[test]
fn malformed_endpoint_list_is_rejected_with_its_error() {
    let message = endpoint_list();
    assert_eq!(
        dns::read_answer(&message, |id| id == 8, |_| ()),
        Err(AnswerError::UnexpectedId(9)),
        "the answer to another query"
    );
    assert_eq!(
        read_list(&[&message[..], b"x"].concat()),
        Err(AnswerError::TrailingBytes)
    );
    let mut without_text = message.clone();
    without_text[11] = 1;
    let owner = &[0xC0, 12];
    let text_records = HOST_TEXTS.map(|text| record(owner, 16, text).len());
    without_text.truncate(message.len() - text_records.iter().sum::<usize>());
    assert_eq!(read_list(&without_text), Err(AnswerError::IncompleteHost));
    let mut circular_name = message.clone();
    circular_name[12..14].copy_from_slice(&[0xC0, 12]);
    assert_eq!(read_list(&circular_name), Err(AnswerError::MalformedName));
}

#[test]
fn query_encodes_the_service_name_as_the_answer_does() {
    let mut query = Vec::new();
    dns::write_query(&mut query, 9, "_data._tcp.farm.lan");
    assert_eq!(query[12..33], endpoint_list()[12..33]);
}

/// Corrupts the message at a random position: changes or removes the byte there, or truncates the message after it.
fn corrupt(message: &mut Vec<u8>, random: u64) {
    let position = (random >> 33) as usize % message.len();
    let byte = random >> 20;
    match random >> 62 {
        0 => message.truncate(position + 1),
        1 => message[position] = byte as u8,
        2 => message[position] = b"\"\\{}[],:;= \r\n*/$'"[byte as usize % 17],
        _ => drop(message.remove(position)),
    }
    if message.is_empty() {
        message.push(0);
    }
}

#[test]
fn corrupted_bytes_never_panic_a_parser() {
    let messages = [
        framed(CALL),
        CALL.to_vec(),
        b"9b1f03aa5c7e2d41 MORE page=2,load=a:1;b:2 4\r\nabcd\r\n".to_vec(),
        b"select $a$ '\" /* -- from sales_17.orders where x.y = `q`".to_vec(),
        endpoint_list(),
    ];
    let mut random = 0x2545_F491_4F6C_DD1Du64;
    for round in 0..40_000 {
        let mut message = messages[round % 5].clone();
        for _ in 0..1 + round % 4 {
            random = random
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            corrupt(&mut message, random);
        }
        let _ = rpc::frame_header(&message);
        if let Ok(call) = rpc::read_call(&message) {
            let _ = call.params.string("bytes");
        }
        if let Ok(Some(reply)) = lines::read_reply(&message) {
            assert!(reply.fields.load().count() < 1000);
        }
        let _ = statement::table_group(&message);
        let _ = dns::read_answer(
            &message,
            |id| id == 9,
            |host| {
                let kind = host.attribute("kind");
                assert!(kind.is_none_or(|kind| kind.len() < 256));
            },
        );
    }
}
