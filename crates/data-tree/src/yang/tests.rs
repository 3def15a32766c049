use super::*;

#[test]
fn strings_comments_and_nesting_are_parsed() {
    let text =
        "module m { // one\n /* two */ leaf \"a\" + 'b' { pattern '[a-z\\-]'; x \"q\\\"\\n\"; } }";
    let module = parse(text).unwrap();
    let leaf = module.first("leaf").unwrap();
    assert_eq!((leaf.argument.as_str(), leaf.line), ("ab", 2));
    assert_eq!(
        (leaf.argument_of("pattern"), leaf.argument_of("x")),
        (Some("[a-z\\-]"), Some("q\"\n"))
    );
}

#[test]
fn invalid_module_is_rejected_with_the_line_of_the_error() {
    for (text, expected) in [
        ("", "line 1: expected a keyword or an argument"),
        ("module m {\n leaf \"a", "line 2: unterminated string"),
        ("module m { /* ", "line 1: unterminated comment"),
        ("module m { leaf a 'b' }", "line 1: expected ; or {"),
        ("module m { x \"\\z\"; }", "line 1: unknown escape sequence"),
        ("module m; more;", "line 1: unexpected text after"),
    ] {
        let reported = parse(text).unwrap_err().to_string();
        assert!(reported.starts_with(expected), "{text}: {reported}");
    }
    let reported = parse(&"a { ".repeat(99)).unwrap_err().to_string();
    assert!(reported.contains("nested too deeply"));
}
