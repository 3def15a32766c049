//! Guards the helpers against a comparison that accepts any text: changes of the pinned forms would then go unnoticed.

use ironstair_pinned_forms::{bytes_of_hex, hex, schema_without_descriptions, PinnedForms};
use serde_json::json;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

#[test]
fn same_text_is_accepted() {
    FORMS.assert_same("text.txt", "one\ntwo\n");
}

#[test]
#[should_panic(expected = "text.txt")]
fn text_without_its_final_line_feed_is_rejected() {
    FORMS.assert_same("text.txt", "one\ntwo");
}

#[test]
#[should_panic(expected = "absent.txt")]
fn absent_file_is_rejected() {
    FORMS.assert_same("absent.txt", "");
}

#[test]
fn hex_is_decoded_and_encoded() {
    assert_eq!(hex(&[0, 10, 255]), "000aff");
    assert_eq!(bytes_of_hex("000aff\n"), [0, 10, 255]);
}

#[test]
#[should_panic(expected = "hexadecimal")]
fn hex_with_white_space_inside_is_rejected() {
    bytes_of_hex("00 aff");
}

#[test]
fn titles_of_a_schema_are_removed_but_not_a_property_of_that_name() {
    let schema = json!({"title": "T", "properties": {"title": {"$ref": "#/$defs/Name"}},
        "$defs": {"Name": {"type": "string", "description": "for people"}}});
    let expected = json!({"properties": {"title": {"type": "string"}}});
    assert_eq!(schema_without_descriptions(&schema), expected);
}
