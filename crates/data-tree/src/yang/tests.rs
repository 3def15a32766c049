use super::*;

#[test]
fn strings_comments_and_nesting_are_read() {
    let text =
        "module m { // one\n /* two */ leaf \"a\" + 'b' { pattern '[a-z\\-]'; x \"q\\\"\\n\"; } }";
    let m = parse(text).unwrap();
    let leaf = m.first("leaf").unwrap();
    assert_eq!((leaf.argument.as_str(), leaf.line), ("ab", 2));
    assert_eq!(
        (leaf.argument_of("pattern"), leaf.argument_of("x")),
        (Some("[a-z\\-]"), Some("q\"\n"))
    );
}

#[test]
fn what_is_no_module_is_refused_with_its_line() {
    for (text, why) in [
        ("", "line 1: a word"),
        ("module m {\n leaf \"a", "line 2: the string is not closed"),
        ("module m { /* ", "line 1: the comment"),
        ("module m { leaf a 'b' }", "line 1: neither"),
        ("module m { x \"\\z\"; }", "line 1: unknown escape"),
        ("module m; more;", "line 1: text after"),
    ] {
        let reported = parse(text).unwrap_err().to_string();
        assert!(reported.starts_with(why), "{text}: {reported}");
    }
    let reported = parse(&"a { ".repeat(99)).unwrap_err().to_string();
    assert!(reported.contains("nested too deeply"));
}
