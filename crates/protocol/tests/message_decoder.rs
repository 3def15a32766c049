//! Tests the decoder of a client's byte stream on every division into parts, and with messages that are skipped.

use ironstair_protocol::message_decoder::{MessageDecoder, SkippedCall};
use proptest::prelude::*;

fn framed(message: &str) -> Vec<u8> {
    format!("Content-Length: {}\r\n\r\n{message}", message.len()).into_bytes()
}

/// Pushes the bytes in parts of these lengths, and collects the messages.
fn decode(decoder: &mut MessageDecoder, bytes: &[u8], part_lengths: &[usize]) -> Vec<Vec<u8>> {
    let mut messages = Vec::new();
    let mut rest = bytes;
    let mut lengths = part_lengths.iter().cycle();
    while !rest.is_empty() {
        let length = lengths
            .next()
            .map_or(rest.len(), |&length| length.min(rest.len()));
        let (part, later) = rest.split_at(length);
        decoder.push(part);
        while let Some(message) = decoder.next_message().unwrap() {
            messages.push(message.to_vec());
        }
        decoder.trim();
        rest = later;
    }
    messages
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(57), failure_persistence: None, ..Default::default() })]

    #[test]
    fn messages_do_not_depend_on_the_parts_in_which_they_arrive(
        messages in prop::collection::vec("[ -~]{0,300}", 1..8),
        part_lengths in prop::collection::vec(1usize..200, 1..8),
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|message| framed(message)).collect();
        let mut decoder = MessageDecoder::default();
        let decoded = decode(&mut decoder, &bytes, &part_lengths);
        let expected: Vec<Vec<u8>> = messages.iter().map(|message| message.clone().into_bytes()).collect();
        prop_assert_eq!(decoded, expected);
        prop_assert!(!decoder.is_incomplete());
        prop_assert_eq!(decoder.trim(), 0, "nothing is held between two messages");
    }

    #[test]
    fn skipped_message_is_known_by_its_id_and_costs_no_later_message(
        call_id in 1u64..1_000_000,
        id_is_first in any::<bool>(),
        text in r#"[a-z{}\[\],:]{0,400}"#,
        skipped_after in 0.0f64..1.0,
        part_lengths in prop::collection::vec(1usize..200, 1..8),
    ) {
        let other = format!(r#""name\"id\":5":{{"id":7,"x":["id",{{"id":8}}]}},"text":"{text}\\""#);
        let message = match id_is_first {
            true => format!(r#"{{"id":{call_id},{other}}}"#),
            false => format!(r#"{{{other},"id" : {call_id}}}"#),
        };
        let frame = framed(&message);
        let header_bytes = frame.len() - message.len();
        let skipped_at = header_bytes + (skipped_after * (message.len() - 1) as f64) as usize;
        let mut decoder = MessageDecoder::default();
        decoder.push(&frame[..skipped_at]);
        prop_assert!(decoder.skip_message());
        prop_assert_eq!(decoder.trim(), 0, "a skipped message holds no memory");
        let bytes = [&frame[skipped_at..], &framed("next")].concat();
        let messages = decode(&mut decoder, &bytes, &part_lengths);
        prop_assert_eq!(decoder.take_skipped_call(), Some(SkippedCall::Id(call_id)));
        prop_assert_eq!(decoder.take_skipped_call(), None);
        prop_assert_eq!(messages, vec![b"next".to_vec()]);
    }
}

#[test]
fn memory_follows_the_bytes_that_arrived_and_not_the_stated_length() {
    // A client that announces a long message and sends little of it must not hold memory for all of it.
    let mut decoder = MessageDecoder::default();
    decoder.push(b"Content-Length: 200000\r\n\r\n{");
    assert!(decoder.trim() < 100);
    decoder.push(&[b' '; 10_000]);
    assert!((10_000..21_000).contains(&decoder.trim()));
}

#[test]
fn message_of_unknown_length_is_not_skipped() {
    let mut decoder = MessageDecoder::default();
    decoder.push(b"Content-Len");
    assert!(!decoder.skip_message());
    decoder.push(b"gth: 2\r\n\r\n{}");
    assert_eq!(decoder.next_message(), Ok(Some(&b"{}"[..])));
}

#[test]
fn skipped_message_without_an_id_is_reported_at_its_end() {
    let mut decoder = MessageDecoder::default();
    decoder.push(b"Content-Length: 20\r\n\r\n{\"method\"");
    assert!(decoder.skip_message());
    assert_eq!(decoder.take_skipped_call(), None);
    decoder.push(b":\"lookup\" }");
    assert_eq!(decoder.take_skipped_call(), Some(SkippedCall::Unknown));
    assert!(!decoder.is_incomplete());
}
