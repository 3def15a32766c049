//! Checks that the policy keeps the seven rules. Generated events are passed to the policy and to a referee, a slow and
//! simple model of the rules, which checks every action. Scripts that break each rule check the referee itself.

#[path = "../common/mod.rs"]
mod common;

mod event_player;
mod generated_events;
mod referee;
mod referee_controls;
mod violation;
