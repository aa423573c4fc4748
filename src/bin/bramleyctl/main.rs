//! The operators' command-line tool.

#![deny(unsafe_code)]

mod args;
mod client;
mod controller;
mod printer;

fn main() -> std::process::ExitCode {
    controller::run(argh::from_env())
}
