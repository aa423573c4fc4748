//! The daemon.

#![deny(unsafe_code)]

mod args;
mod controller;

fn main() -> std::process::ExitCode {
    controller::run(&argh::from_env())
}
