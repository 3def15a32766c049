use super::{Command, CommandLine};
use clap::{CommandFactory, Parser};

#[test]
fn arguments_of_every_command_have_distinct_ids() {
    CommandLine::command().debug_assert();
}

#[test]
fn first_seed_of_a_comparison_is_not_parsed_as_a_file() {
    let line = "ironstair-simulate compare a.json b.json --first 7";
    let parsed = CommandLine::parse_from(line.split(' '));
    let Command::Compare {
        reference,
        candidate,
        seeds,
    } = parsed.command
    else {
        panic!("{line}");
    };
    assert_eq!(reference.to_str(), Some("a.json"));
    assert_eq!(candidate.to_str(), Some("b.json"));
    assert_eq!(seeds.first, 7);
}
