use super::*;

fn path(text: &str) -> Path {
    Pattern::read(text).unwrap().stem()
}

#[test]
fn paths_are_written_in_the_form_in_which_they_are_read() {
    for text in [
        "/",
        "/settings",
        "/settings/band[name=a\\]b]/expected",
        "/state/revision[number=3]/who",
    ] {
        assert_eq!(path(text).to_string(), text);
        assert_eq!(Pattern::read(text).unwrap().to_string(), text);
    }
    assert_eq!(
        path("ironstair-gateway:settings/gateways"),
        path("/settings/gateways")
    );
}

#[test]
fn patterns_cover_what_is_at_or_below_them() {
    let leaf = path("/settings/band[name=lookup]/expected");
    for (pattern, covers) in [
        ("/", true),
        ("/settings/band", true),
        ("/settings/band[name=*]/expected", true),
        ("/*/band/expected", true),
        ("/.../expected", true),
        ("/settings/...", true),
        ("/settings/.../payoff", false),
        ("/settings/band[name=post]", false),
        ("/settings/band[name=lookup]/expected/more", false),
        ("/state", false),
    ] {
        assert_eq!(
            Pattern::read(pattern).unwrap().covers(&leaf),
            covers,
            "{pattern}"
        );
    }
}

#[test]
fn invalid_paths_are_rejected() {
    let deep = "/a".repeat(99);
    let long = "a".repeat(9999);
    for text in [
        "/a[b]",
        "/a[b=c",
        "/a[b=c]d",
        "/a[b=c][d=e]",
        "/a//b",
        &deep,
        &long,
    ] {
        assert!(Pattern::read(text).is_err(), "{text}");
    }
}
